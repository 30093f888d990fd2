//! The roles of a node, and the state that belongs to one of them.

use std::collections::{BTreeMap, BTreeSet};

use crate::leadership_transfer::Transfer;
use crate::progress::Progress;
use crate::read_index::PendingRead;
use crate::{Index, Micros, NodeId};

/// The role of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// It follows a leader, or waits for one.
    Follower,
    /// It requests votes or pre-votes.
    Candidate,
    /// It leads.
    Leader,
}

/// The role with its state.
pub(crate) enum RoleState {
    Follower,
    PreCandidate {
        /// The nodes that would vote for this one.
        votes: BTreeSet<NodeId>,
    },
    Candidate {
        /// The nodes that have voted for this one.
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

/// The state of a leader.
#[derive(Default)]
pub(crate) struct LeaderState {
    /// What is known of each other node.
    pub(crate) progress: BTreeMap<NodeId, Progress>,
    /// The latest heartbeat round.
    pub(crate) round: u64,
    pub(crate) next_heartbeat: Micros,
    /// The first entry of this leader's term.
    pub(crate) first_index: Index,
    pub(crate) pending_reads: Vec<PendingRead>,
    pub(crate) transfer: Option<Transfer>,
    pub(crate) uncommitted_bytes: usize,
    /// Something was appended, or a read begun, that was not sent to the others yet.
    pub(crate) has_unsent: bool,
}
