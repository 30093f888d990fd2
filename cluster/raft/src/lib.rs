//! Agreement of the daemon's members on one log: Raft (Ongaro and Ousterhout) without I/O.
//!
//! [`RaftNode`] gets time, messages, proposals and what the disk has done, and says what is to be written, sent and
//! applied ([`Action`]). It keeps no clock, opens no socket or file and draws its random numbers from a seed, so
//! that a run that failed can be played again. A vote, a term or an entry is never spoken of before it is durable:
//! what depends on a write is held here until [`RaftNode::persisted`].
//!
//! It must never know what the entries mean.

mod log;
mod membership;
mod message;
mod node;

pub use log::Log;
pub use membership::{Membership, MembershipChange, ProposalError};
pub use message::{Action, Entry, HardState, Message, Payload, SnapshotMetadata, StorageWrite};
pub use node::{Config, RaftNode, Role};

/// A moment or a span in microseconds, on one clock that never goes backwards.
pub type Micros = u64;
/// A member. Ids are given by the cluster and never used twice.
pub type NodeId = u64;
/// The number of a leadership.
pub type Term = u64;
/// The place of an entry, from 1.
pub type Index = u64;
