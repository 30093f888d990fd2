//! Log entries, and the state that a node must never forget.

use serde::{Deserialize, Serialize};

use crate::{Index, Membership, NodeId, Term};

/// What an entry holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Nothing: the first entry of a leader's term.
    Blank,
    /// A command for the state machine.
    Command(Vec<u8>),
    /// The membership of the cluster from this entry on.
    Membership(Membership),
}

impl Payload {
    /// Roughly how many bytes it takes in memory and in a message.
    #[must_use]
    pub fn approximate_bytes(&self) -> usize {
        match self {
            Payload::Blank => 16,
            Payload::Command(command) => 32 + command.len(),
            Payload::Membership(membership) => {
                64 + 16 * (membership.voters.len() + membership.learners.len())
            }
        }
    }
}

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The term of the leader that created it.
    pub term: Term,
    /// Its index.
    pub index: Index,
    /// What it holds.
    pub payload: Payload,
}

impl Entry {
    /// Its term and index.
    #[must_use]
    pub fn position(&self) -> LogPosition {
        LogPosition {
            term: self.term,
            index: self.index,
        }
    }
}

/// The term and index of an entry. Positions are ordered as Raft compares logs: the later term is
/// more up to date, and within a term the higher index.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct LogPosition {
    /// The entry's term.
    pub term: Term,
    /// The entry's index.
    pub index: Index,
}

/// What has to be durable before any message that depends on it is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct HardState {
    /// The latest term that the node knows.
    pub term: Term,
    /// The candidate that got this node's vote in that term.
    pub vote: Option<NodeId>,
}
