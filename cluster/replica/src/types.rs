//! What goes into a member and what comes out: its configuration, what its disk kept, effects and answers.

use std::rc::Rc;

use serde::{Deserialize, Serialize};
use violetgate_raft::{
    Config, Entry, HardState, Message, NodeId, ProposalError, SnapshotMetadata, StorageWrite,
};
use violetgate_replicated_state::{Micros, Outcome};

/// What a disk kept of a member.
#[derive(Debug, Clone, Default)]
pub struct InitialState {
    /// Term and vote.
    pub hard: HardState,
    /// What the snapshot stands for.
    pub base: SnapshotMetadata,
    /// The snapshot.
    pub state: Vec<u8>,
    /// The entries after it.
    pub entries: Vec<Entry>,
}

/// A client's call, by the name that the program gives it.
pub type CallId = u64;

/// How a call ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Response {
    /// The command was agreed on and carried out, here too.
    Applied(Outcome),
    /// The step of the membership was agreed on.
    MembershipChanged,
    /// The store may be read now: it was current at some moment after the call.
    ReadReady,
    /// Not here: ask the leader, if one is known.
    NotLeader(Option<NodeId>),
    /// It can't be taken, or not now; nothing was done.
    Rejected(ProposalError),
    /// Leadership was lost before it was agreed on. It may still come to be: ask again under the same request id.
    OutcomeUnknown,
}

/// What is to be done, in this order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Make this durable, and tell by [`Replica::persisted`](crate::Replica::persisted).
    Persist(StorageWrite),
    /// Send this.
    Send(NodeId, Message),
    /// Response a call.
    Respond(CallId, Response),
    /// Keep this snapshot durably, and tell by [`Replica::snapshot_saved`](crate::Replica::snapshot_saved).
    SaveSnapshot(SnapshotMetadata, Rc<Vec<u8>>),
    /// Put this snapshot of another member in place of all that is on disk but term and vote, and tell by
    /// [`Replica::snapshot_installed`](crate::Replica::snapshot_installed).
    InstallSnapshot(NodeId, SnapshotMetadata, Rc<Vec<u8>>),
}

/// How a member behaves beyond its core.
#[derive(Debug, Clone, Copy)]
pub struct ReplicaConfig {
    /// The core.
    pub raft: Config,
    /// A snapshot is kept after so many entries.
    pub snapshot_interval: u64,
    /// The drain limit: state older than this is not routed on.
    pub max_staleness: Micros,
    /// How often the state is confirmed.
    pub confirm_interval: Micros,
}

impl Default for ReplicaConfig {
    fn default() -> Self {
        let raft = Config::default();
        ReplicaConfig {
            raft,
            snapshot_interval: 10_000,
            max_staleness: 2_000_000,
            confirm_interval: 250_000,
        }
    }
}
