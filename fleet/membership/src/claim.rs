//! What is said of a member, and which of two sayings holds. Merging is the same in any order, so views that have
//! heard the same agree. It must never look at the time or at who brought a claim.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A member's name, the same over all its lives.
pub type Name = Arc<str>;

/// The most bytes of a name.
pub const LONGEST_NAME: usize = 64;

/// How a member is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum State {
    /// It answers.
    Alive,
    /// Some that watch it have no answer; it can still refute.
    Suspect,
    /// Enough of those that watch it had none for long enough.
    Dead,
    /// It said that it goes; only a new life brings it back.
    Left,
}

/// One saying of a member.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Claim {
    /// Of whom.
    pub name: Name,
    /// Where it is reached.
    pub addr: SocketAddr,
    /// When this life of it began, in Unix microseconds: a restart is a new one, and of two the newer holds.
    pub life: u64,
    /// How often it has refuted in this life. Only the member itself raises it.
    pub turn: u32,
    /// How it is.
    pub state: State,
    /// Of a suspicion: who has no answer.
    pub by: Option<Name>,
}

impl Claim {
    /// What decides between two claims of one name: the newer life, then having left, then the later turn, and in one
    /// turn the worse state. A refutation is a later turn, so it holds against any older suspicion or death.
    #[must_use]
    pub fn rank(&self) -> (u64, bool, u32, State) {
        (self.life, self.state == State::Left, self.turn, self.state)
    }

    /// At most so many bytes it takes in a message.
    pub(crate) fn most_bytes(&self) -> u64 {
        const BESIDE_NAMES: usize = 42;
        (self.name.len() + self.by.as_ref().map_or(0, |by| by.len()) + BESIDE_NAMES) as u64
    }

    /// Whether it can be used at all: a peer may send anything.
    #[must_use]
    pub fn is_sound(&self) -> bool {
        let plain = |n: &str| {
            (1..=LONGEST_NAME).contains(&n.len()) && n.bytes().all(|b| b.is_ascii_graphic())
        };
        let by = (self.state == State::Suspect) == self.by.is_some();
        plain(&self.name) && self.by.as_deref().is_none_or(plain) && by && self.addr.port() != 0
    }
}

/// A number that stays with a name and a ring, and is as good as drawn for each pair: FNV-1a, then mixed.
#[must_use]
pub fn place(name: &str, ring: u64) -> u64 {
    let mut h = 0xcbf2_9ce4_8422_2325u64 ^ ring.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    for b in name.bytes() {
        h = (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3);
    }
    h = (h ^ (h >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    h = (h ^ (h >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    h ^ (h >> 31)
}
