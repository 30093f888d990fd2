//! The roles of a node, and the state that exists only in a role.

use std::collections::{BTreeMap, BTreeSet};

use crate::leadership_transfer::Transfer;
use crate::progress::Progress;
use crate::read_index::PendingRead;
use crate::{Index, Micros, NodeId};

/// The role of a node in the current term.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// The node follows a leader, or waits for one.
    Follower,
    /// The node requests votes or pre-votes.
    Candidate,
    /// The node has won the election of its term and replicates its log to the others.
    Leader,
}

/// The role of a node together with the state of that role.
pub(crate) enum RoleState {
    Follower,
    PreCandidate {
        /// The nodes that have granted this node a pre-vote.
        votes: BTreeSet<NodeId>,
    },
    Candidate {
        /// The nodes that have voted for this node.
        votes: BTreeSet<NodeId>,
    },
    Leader(Box<LeaderState>),
}

impl RoleState {
    pub(crate) fn role(&self) -> Role {
        match self {
            RoleState::Follower => Role::Follower,
            RoleState::PreCandidate { .. } | RoleState::Candidate { .. } => Role::Candidate,
            RoleState::Leader(_) => Role::Leader,
        }
    }
}

/// The state that a node has only while it is the leader.
#[derive(Default)]
pub(crate) struct LeaderState {
    /// The replication progress of each other node.
    pub(crate) progress: BTreeMap<NodeId, Progress>,
    /// The number of the latest heartbeat round, counted from `first_round` of the term.
    pub(crate) round: u64,
    pub(crate) next_heartbeat: Micros,
    /// The index of the first entry of this leader's term.
    pub(crate) first_index: Index,
    pub(crate) pending_reads: Vec<PendingRead>,
    pub(crate) transfer: Option<Transfer>,
    pub(crate) uncommitted_bytes: usize,
    /// Whether appended entries have not been sent yet, or a new read needs a heartbeat round that
    /// has not begun.
    pub(crate) has_unsent: bool,
}
