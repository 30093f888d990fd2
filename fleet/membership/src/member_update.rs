//! What is said of a member, and which of two updates takes precedence.
//!
//! Precedence depends on the updates alone, not on when or by whom they arrive, so views that have
//! received the same updates in any order are equal.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A member's name, the same over all its restarts.
pub type MemberName = Arc<str>;

/// The longest name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// The state of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// It answers probes.
    Alive,
    /// Some of its observers have no answer; it can still refute that.
    Suspect,
    /// Enough of its observers had no answer for the suspicion timeout.
    Dead,
    /// It has announced its shutdown; only a new incarnation brings it back.
    Left,
}

/// What is said of a member. It travels by postcard: the order of the fields is the wire format.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// The member's name.
    pub name: MemberName,
    /// Where it receives datagrams.
    pub addr: SocketAddr,
    /// When its process started, in Unix microseconds. A restart is a newer incarnation.
    pub incarnation: u64,
    /// How often it has refuted a suspicion in this incarnation. Only the member itself raises it.
    ///
    /// SWIM's incarnation number is the pair of `incarnation` and `refutations`.
    pub refutations: u32,
    /// Its state.
    pub state: MemberState,
    /// Of a suspicion: the observer that has no answer.
    pub accuser: Option<MemberName>,
}

/// The order of updates of one member: the greater one holds.
///
/// A newer incarnation comes first, then having left, then the later refutation, then the worse
/// state. So a refutation overrides any suspicion or death that it answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Precedence {
    /// When the member's process started.
    pub incarnation: u64,
    /// Whether it has left.
    pub has_left: bool,
    /// How often it has refuted.
    pub refutations: u32,
    /// Its state.
    pub state: MemberState,
}

impl MemberUpdate {
    /// Encoded bytes beside the two names, at most.
    const MAX_ENCODED_BYTES_WITHOUT_NAMES: usize = 42;

    /// What decides between two updates of one member.
    #[must_use]
    pub fn precedence(&self) -> Precedence {
        Precedence {
            incarnation: self.incarnation,
            has_left: self.state == MemberState::Left,
            refutations: self.refutations,
            state: self.state,
        }
    }

    /// How many bytes it takes in a message, at most.
    pub(crate) fn max_encoded_bytes(&self) -> u64 {
        let accuser_bytes = self.accuser.as_ref().map_or(0, |accuser| accuser.len());
        (self.name.len() + accuser_bytes + Self::MAX_ENCODED_BYTES_WITHOUT_NAMES) as u64
    }

    /// Whether names, address and accuser are usable: a peer may send anything.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        let has_accuser_if_suspect = (self.state == MemberState::Suspect) == self.accuser.is_some();
        is_valid_name(&self.name)
            && self.accuser.as_deref().is_none_or(is_valid_name)
            && has_accuser_if_suspect
            && self.addr.port() != 0
    }
}

fn is_valid_name(name: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&name.len()) && name.bytes().all(|byte| byte.is_ascii_graphic())
}
