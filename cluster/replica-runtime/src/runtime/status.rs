//! The state of a replica, for operators and tests.

use violetgate_raft::{Index, Membership, NodeId, Role, Term};
use violetgate_replicated_state::{Revision, Stale};

use super::ReplicaRuntime;
use crate::clock::boot_time;

/// How far another replica's log matches the leader's.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MatchedIndex {
    /// The replica.
    pub id: NodeId,
    /// The last index at which its log is known to match.
    pub index: Index,
}

/// The state of a replica.
#[derive(Debug, Clone)]
pub struct ReplicaStatus {
    /// Its id.
    pub id: NodeId,
    /// Its role in Raft.
    pub role: Role,
    /// The term.
    pub term: Term,
    /// The leader, as far as it is known here.
    pub leader: Option<NodeId>,
    /// The last index that is known here to be committed.
    pub commit: Index,
    /// The last index that is applied here.
    pub applied: Index,
    /// The membership.
    pub members: Membership,
    /// The store's revision, as it is applied here.
    pub revision: Revision,
    /// Whether requests may be routed on the state, or how old it is.
    pub freshness: Result<(), Stale>,
    /// At the leader, how far each other replica is; elsewhere empty.
    pub progress: Vec<MatchedIndex>,
}

impl ReplicaRuntime {
    /// The state of this replica.
    #[must_use]
    pub fn status(&self) -> ReplicaStatus {
        let replica = self.replica.borrow();
        let raft = replica.raft();
        let progress = raft.match_indexes().into_iter();
        ReplicaStatus {
            id: raft.id(),
            role: raft.role(),
            term: raft.term(),
            leader: raft.leader(),
            commit: raft.commit(),
            applied: replica.applied(),
            members: replica.membership().clone(),
            revision: replica.store().revision(),
            freshness: replica.may_route(boot_time()),
            progress: progress
                .map(|(id, index)| MatchedIndex { id, index })
                .collect(),
        }
    }
}
