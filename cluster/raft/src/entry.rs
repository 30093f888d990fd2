//! Log entries, and the hard state that a node keeps across restarts.

use serde::{Deserialize, Serialize};

use crate::{Index, Membership, NodeId, Term};

/// The content of a log entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// No content. A leader appends a blank entry at the start of its term.
    Blank,
    /// A command for the state machine, opaque to Raft.
    Command(Vec<u8>),
    /// The membership of the cluster, which takes effect with this entry.
    Membership(Membership),
}

impl Payload {
    /// Returns the approximate size in memory and in a message, in bytes.
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

/// An entry of the replicated log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The term of the leader that created the entry.
    pub term: Term,
    /// The index of the entry in the log.
    pub index: Index,
    /// The content of the entry.
    pub payload: Payload,
}

impl Entry {
    /// Returns the term and index of the entry.
    #[must_use]
    pub fn position(&self) -> LogPosition {
        LogPosition {
            term: self.term,
            index: self.index,
        }
    }
}

/// The term and index of an entry. Positions are ordered as Raft compares logs: first by term, then
/// by index; the greater position is more up to date.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct LogPosition {
    /// The term in which a leader created the entry.
    pub term: Term,
    /// The place of the entry in the log.
    pub index: Index,
}

/// The term and vote, which must be durable before any message that depends on them is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct HardState {
    /// The latest term that the node has seen.
    pub term: Term,
    /// The candidate that this node voted for in that term.
    pub vote: Option<NodeId>,
}
