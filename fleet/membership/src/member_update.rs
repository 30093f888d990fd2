//! Updates about members, and which of two updates takes precedence.
//!
//! Precedence depends only on the content of the updates, not on their sender or time of arrival.
//! Two views that have received the same updates in any order are therefore equal.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Name of a member. It stays the same when the member restarts.
pub type MemberName = Arc<str>;

/// Maximum length of a member's name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// State of a member in a view.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// The member answers probes.
    Alive,
    /// At least one observer has received no answer. The member can still refute the suspicion.
    Suspect,
    /// Enough observers received no answer until the suspicion expired.
    Dead,
    /// The member has announced its shutdown. Only a new incarnation can rejoin.
    Left,
}

/// An update about a member. It is encoded with postcard, so the order of the fields is part of the
/// wire format.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// Name of the member.
    pub name: MemberName,
    /// Address at which the member receives datagrams.
    pub addr: SocketAddr,
    /// Start time of the member's process, in Unix microseconds. A restart is a newer incarnation.
    pub incarnation: u64,
    /// Number of suspicions and deaths that the member has refuted in this incarnation. Only the
    /// member itself increases it.
    ///
    /// SWIM's incarnation number is the pair of `incarnation` and `refutations`.
    pub refutations: u32,
    /// State of the member.
    pub state: MemberState,
    /// If the state is `Suspect`: the observer that received no answer.
    pub accuser: Option<MemberName>,
}

/// Precedence of an update among those about the same member. The greatest one holds.
///
/// The incarnation is compared first, then whether the member has left, then the number of
/// refutations, then the state. A refutation therefore overrides the suspicion or death that it
/// refutes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Precedence {
    /// Start time of the member's process, in Unix microseconds.
    pub incarnation: u64,
    /// Whether the member has left.
    pub has_left: bool,
    /// Number of refutations in this incarnation.
    pub refutations: u32,
    /// State of the member.
    pub state: MemberState,
}

impl MemberUpdate {
    /// Maximum encoded size without the two names, in bytes.
    const MAX_ENCODED_BYTES_WITHOUT_NAMES: usize = 42;

    /// Returns the precedence of this update among those about the same member.
    #[must_use]
    pub fn precedence(&self) -> Precedence {
        Precedence {
            incarnation: self.incarnation,
            has_left: self.state == MemberState::Left,
            refutations: self.refutations,
            state: self.state,
        }
    }

    /// Returns the maximum encoded size, in bytes.
    pub(crate) fn max_encoded_bytes(&self) -> u64 {
        let accuser_bytes = self.accuser.as_ref().map_or(0, |accuser| accuser.len());
        (self.name.len() + accuser_bytes + Self::MAX_ENCODED_BYTES_WITHOUT_NAMES) as u64
    }

    /// Returns whether names, port and accuser are valid. Peers may send arbitrary values.
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
