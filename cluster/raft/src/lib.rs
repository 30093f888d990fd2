//! The Raft consensus algorithm (Ongaro and Ousterhout) without I/O: the replicas' agreement on
//! one log.
//!
//! [`RaftNode`] is driven by its caller: it is given time ([`RaftNode::tick`]), messages
//! ([`RaftNode::step`]), proposals and completed writes, and returns what is to be persisted, sent
//! and applied as a list of [`Action`]s. It reads no clock, opens no socket or file and draws its
//! random numbers from a seed, so that a failed run can be replayed. No vote, term or entry is
//! sent before it is durable: messages that depend on a write are held back until
//! [`RaftNode::persisted`] confirms it.
//!
//! Besides elections and replication it has pre-votes, linearizable reads by the read-index
//! protocol, snapshots in chunks, leadership transfer, and membership changes of one replica at a
//! time. Entries are opaque bytes.
//!
//! ```
//! use violetgate_raft::{Action, Config, Membership, RaftNode, Restored, Role, SnapshotMetadata};
//!
//! // A cluster of one: it needs nobody's vote but its own.
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
//!             other => panic!("nobody to talk to: {other:?}"),
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

/// A moment or a span in microseconds, on one clock that never goes backwards.
pub type Micros = u64;
/// The id of a node, which is a replica's part in Raft and goes by the replica's id. Ids are
/// assigned by the cluster and never reused.
pub type NodeId = u64;
/// The number of a term.
pub type Term = u64;
/// The index of a log entry, from 1.
pub type Index = u64;
