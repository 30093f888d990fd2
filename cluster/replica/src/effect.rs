//! What a replica requests from its caller, and how it responds to calls.

use std::rc::Rc;

use serde::{Deserialize, Serialize};
use violetgate_raft::{Message, NodeId, ProposalError, SnapshotMetadata, StorageWrite};
use violetgate_replicated_state::Outcome;

/// A client's call, by the number that the caller gives it.
pub type CallId = u64;

/// How a call ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Response {
    /// The command was committed, and applied here.
    Applied(Outcome),
    /// The membership change was committed, or leadership is being transferred.
    MembershipChanged,
    /// The store may be read: it holds everything that was committed before the call.
    ReadReady,
    /// This replica is not the leader; the leader, if it knows it.
    NotLeader(Option<NodeId>),
    /// It was rejected, and nothing was done.
    Rejected(ProposalError),
    /// The leader was deposed before it was committed. It may still be: repeat it under the same
    /// request id.
    OutcomeUnknown,
}

/// One thing to be done by the caller. The effects of
/// [`Replica::take_effects`](crate::Replica::take_effects) are to be carried out in their order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Make this durable, then call [`Replica::persisted`](crate::Replica::persisted).
    Persist(StorageWrite),
    /// Send a message to another replica.
    Send {
        /// The receiver.
        to: NodeId,
        /// The message.
        message: Message,
    },
    /// Respond to a call.
    Respond {
        /// The call.
        call: CallId,
        /// The response.
        response: Response,
    },
    /// Save this snapshot durably, then call
    /// [`Replica::snapshot_saved`](crate::Replica::snapshot_saved).
    SaveSnapshot {
        /// What it stands for.
        metadata: SnapshotMetadata,
        /// The encoded state.
        state: Rc<Vec<u8>>,
    },
    /// Put this snapshot of the leader's in place of everything on disk but the hard state, then
    /// call [`Replica::snapshot_installed`](crate::Replica::snapshot_installed).
    InstallSnapshot {
        /// The leader that sent it.
        from: NodeId,
        /// What it stands for.
        metadata: SnapshotMetadata,
        /// The encoded state.
        state: Rc<Vec<u8>>,
    },
}
