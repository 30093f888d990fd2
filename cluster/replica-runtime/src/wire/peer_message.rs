//! The messages between replicas after the greeting.

use serde::{Deserialize, Serialize};
use violetgate_raft::{MembershipChange, Message, NodeId};
use violetgate_replica::Response;
use violetgate_replicated_state::Operation;
use violetgate_state_distribution::ProgressSummary;

/// A call that a client may make at any replica, and that the leader carries out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Call {
    /// A command. Its request id makes it idempotent.
    Propose {
        /// The request's id.
        request_id: String,
        /// The client, for the change log.
        actor: String,
        /// What it does.
        operation: Operation,
    },
    /// One change of the membership.
    ChangeMembership(MembershipChange),
    /// Leadership is to be handed over to this replica.
    TransferLeadership(NodeId),
}

/// A message between replicas.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// A message of Raft.
    Raft(Message),
    /// A call that the receiver is to carry out, as it is taken for the leader.
    ForwardCall {
        /// The sender's id of the call.
        id: u64,
        /// The call.
        call: Call,
    },
    /// The answer to a forwarded call.
    CallAnswer {
        /// The id that the call was sent with.
        id: u64,
        /// The answer.
        answer: Response,
    },
    /// How far the sender's subscribers are. A replica of a version without observers closes the
    /// connection over it: all replicas have to be upgraded before the first one serves
    /// subscribers.
    Progress(ProgressSummary),
}
