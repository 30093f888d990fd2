//! The messages that replicas exchange after the hello.

use serde::{Deserialize, Serialize};
use violetgate_raft::{MembershipChange, Message, NodeId};
use violetgate_replica::Response;
use violetgate_replicated_state::Operation;
use violetgate_state_distribution::ProgressSummary;

/// A call that may be made at any replica and is carried out by the leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Call {
    /// Proposes a command that changes the store.
    Propose {
        /// The id that makes the command idempotent: it is applied once however often it is
        /// proposed.
        request_id: String,
        /// The client that makes the change, for the change log.
        actor: String,
        /// The operation on the store.
        operation: Operation,
    },
    /// Makes one change of the membership.
    ChangeMembership(MembershipChange),
    /// Transfers leadership to this replica.
    TransferLeadership(NodeId),
}

/// A message between replicas.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// A Raft message for the receiver's core.
    Raft(Message),
    /// A call for the receiver to carry out, as the sender takes it for the leader.
    ForwardCall {
        /// The id that the answer is to carry, unique among the calls of all processes of the
        /// sender.
        id: u64,
        /// The call to carry out.
        call: Call,
    },
    /// The answer to a forwarded call.
    CallAnswer {
        /// The id that the call was sent with.
        id: u64,
        /// The core's response to the call.
        answer: Response,
    },
    /// The progress of the sender's subscribers. A replica of a version without observers can't
    /// decode it and closes the connection, so all replicas have to be upgraded before the first
    /// one serves subscribers.
    Progress(ProgressSummary),
}
