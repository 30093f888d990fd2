//! The effects that a replica requests from its caller, and its responses to calls.

use std::rc::Rc;

use serde::{Deserialize, Serialize};
use violetgate_raft::{Message, NodeId, ProposalError, SnapshotMetadata, StorageWrite};
use violetgate_replicated_state::Outcome;

/// The id of a client's call, assigned by the caller of the replica.
pub type CallId = u64;

/// The result of a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Response {
    /// The command was committed and applied to the local store.
    Applied(Outcome),
    /// The membership change was committed, or leadership is being transferred.
    MembershipChanged,
    /// The store may be read: it holds everything that was committed before the call.
    ReadReady,
    /// This replica is not the leader, or it could not serve the read. Holds the leader if this
    /// replica knows it.
    NotLeader(Option<NodeId>),
    /// The call was rejected and had no effect.
    Rejected(ProposalError),
    /// The replica lost leadership, or could not decode the committed command. The call may have
    /// taken effect or may still do so: repeat it under the same request id.
    OutcomeUnknown,
}

/// An action that the caller has to carry out. The effects that
/// [`Replica::take_effects`](crate::Replica::take_effects) returns are carried out in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Make this write durable, then call [`Replica::persisted`](crate::Replica::persisted).
    Persist(StorageWrite),
    /// Send a message to another replica.
    Send {
        /// The replica that receives the message.
        to: NodeId,
        /// The Raft message to send.
        message: Message,
    },
    /// Respond to a call.
    Respond {
        /// The id of the call, as the caller passed it to the replica.
        call: CallId,
        /// The result of the call.
        response: Response,
    },
    /// Save this snapshot durably, then call
    /// [`Replica::snapshot_saved`](crate::Replica::snapshot_saved).
    SaveSnapshot {
        /// The log position and the membership of the snapshot.
        metadata: SnapshotMetadata,
        /// The encoded state of the store.
        state: Rc<Vec<u8>>,
    },
    /// Replace the stored snapshot and log with this snapshot from the leader and the entries of
    /// [`Replica::entries_after`](crate::Replica::entries_after). The hard state stays. Then call
    /// [`Replica::snapshot_installed`](crate::Replica::snapshot_installed).
    InstallSnapshot {
        /// The leader that sent the snapshot.
        from: NodeId,
        /// The log position and the membership of the snapshot.
        metadata: SnapshotMetadata,
        /// The encoded state of the store.
        state: Rc<Vec<u8>>,
    },
}
