//! What a member is at, for operators and tests.

use std::collections::BTreeMap;

use violetgate_raft::{Index, Membership, NodeId, Role, Term};
use violetgate_replicated_state::{Revision, Stale};

use super::ReplicaRuntime;
use crate::clock::boot_time;

/// What a member is at.
#[derive(Debug, Clone)]
pub struct ReplicaStatus {
    /// Its id.
    pub id: NodeId,
    /// What it is.
    pub role: Role,
    /// The term.
    pub term: Term,
    /// The leader that it knows.
    pub leader: Option<NodeId>,
    /// The last entry that is agreed on, and the last one that is applied here.
    pub commit: Index,
    /// The same, applied.
    pub applied: Index,
    /// The members.
    pub members: Membership,
    /// The store's revision, as it is applied here.
    pub revision: Revision,
    /// Whether state may be routed on, or how old it is.
    pub freshness: Result<(), Stale>,
    /// For a leader, what each other member is known to have.
    pub progress: BTreeMap<NodeId, Index>,
}

impl ReplicaRuntime {
    /// What the member is at.
    #[must_use]
    pub fn status(&self) -> ReplicaStatus {
        let member = self.member.borrow();
        let node = member.raft();
        ReplicaStatus {
            id: node.id(),
            role: node.role(),
            term: node.term(),
            leader: node.leader(),
            commit: node.commit(),
            applied: member.applied(),
            members: member.membership().clone(),
            revision: member.store().revision(),
            freshness: member.may_route(boot_time()),
            progress: node.match_indexes(),
        }
    }
}
