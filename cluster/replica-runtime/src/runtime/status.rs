//! Reports the state of a replica to operators and tests.

use violetgate_raft::{Index, Membership, NodeId, Role, Term};
use violetgate_replicated_state::{Revision, Stale};

use super::ReplicaRuntime;
use crate::clock::boot_time;

/// The position up to which another replica's log is known to match the leader's.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MatchedIndex {
    /// The other replica's id.
    pub id: NodeId,
    /// The last index at which its log is known to match.
    pub index: Index,
}

/// The state of a replica at one moment, as that replica knows it.
#[derive(Debug, Clone)]
pub struct ReplicaStatus {
    /// The id of the node that holds the replica.
    pub id: NodeId,
    /// The replica's role in Raft.
    pub role: Role,
    /// The current Raft term.
    pub term: Term,
    /// The leader of this term, if it is known here.
    pub leader: Option<NodeId>,
    /// The last index that is known here to be committed.
    pub commit: Index,
    /// The last index that is applied here.
    pub applied: Index,
    /// The voters and learners of the cluster.
    pub members: Membership,
    /// The revision of this replica's store.
    pub revision: Revision,
    /// Whether requests may be routed on the state. The error holds the state's age.
    pub freshness: Result<(), Stale>,
    /// The other replicas' progress. It is empty unless this replica is the leader.
    pub progress: Vec<MatchedIndex>,
}

impl ReplicaRuntime {
    /// Returns the current state of this replica.
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
