//! The Raft consensus algorithm (Ongaro and Ousterhout) without I/O. It replicates one log to the
//! replicas of a cluster.
//!
//! The caller drives a [`RaftNode`]: it passes in the time ([`RaftNode::tick`]), messages
//! ([`RaftNode::step`]), proposals and completed writes, and gets back a list of [`Action`]s to
//! persist, send and apply. The node reads no clock, opens no socket or file and draws its random
//! numbers from a seed, so that a failed run can be replayed. A vote, a term or an acknowledgement
//! of entries is sent only once it is durable: messages that depend on a write are held back until
//! [`RaftNode::persisted`] confirms the write.
//!
//! Besides elections and replication, the crate implements pre-votes, linearizable reads by the
//! read-index protocol, snapshot transfer in chunks, leadership transfer, and membership changes of
//! one replica at a time. Commands are opaque bytes.
//!
//! ```
//! use violetgate_raft::{Action, Config, Membership, RaftNode, Restored, Role, SnapshotMetadata};
//!
//! // A cluster of one node elects itself.
//! let restored = Restored {
//!     snapshot: SnapshotMetadata {
//!         membership: Membership::bootstrap([1]),
//!         ..SnapshotMetadata::default()
//!     },
//!     ..Restored::default()
//! };
//! let mut node = RaftNode::new(1, Config::default(), 7, restored, 0);
//! let mut applied = Vec::new();
//! node.tick(0);
//! loop {
//!     let actions = node.take_actions();
//!     if actions.is_empty() {
//!         break;
//!     }
//!     for action in actions {
//!         match action {
//!             // A real caller makes the write durable first.
//!             Action::Persist(write) => node.persisted(write.sequence),
//!             Action::Apply(entries) => applied.extend(entries),
//!             other => panic!("unexpected action: {other:?}"),
//!         }
//!     }
//! }
//! assert_eq!(node.role(), Role::Leader);
//! assert_eq!(applied.len(), 1, "the blank entry that begins its term");
//! ```

mod action;
mod append_entries;
mod commit;
mod config;
mod durability;
mod election;
mod entry;
mod heartbeat;
mod leadership_transfer;
mod log;
mod membership;
mod membership_change;
mod message;
mod progress;
mod proposal;
mod raft_node;
mod read_index;
mod replication;
mod role;
mod snapshot;

pub use action::{Action, StorageWrite};
pub use config::{Config, ConfigError};
pub use entry::{Entry, HardState, LogPosition, Payload};
pub use log::{EffectiveMembership, Log};
pub use membership::{Membership, MembershipChange};
pub use message::{AppendOutcome, Message};
pub use proposal::ProposalError;
pub use raft_node::{RaftNode, Restored};
pub use role::Role;
pub use snapshot::{SnapshotChunk, SnapshotMetadata};

/// A point in time or a duration, in microseconds of a monotonic clock.
pub type Micros = u64;
/// The id of a node, which equals the id of its replica. The cluster assigns ids and never reuses
/// one.
pub type NodeId = u64;
/// The number of a term, in which at most one leader is elected.
pub type Term = u64;
/// The index of a log entry, counted from 1.
pub type Index = u64;
