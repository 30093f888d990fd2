//! The membership of a cluster, and the changes of it that are safe: one replica at a time, so
//! that any majority before a change and any majority after it share a replica.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::{NodeId, ProposalError};

#[cfg(test)]
mod tests;

/// The replicas of a cluster.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Membership {
    /// Replicas that vote and count for majorities.
    pub voters: BTreeSet<NodeId>,
    /// Replicas that receive the log but neither vote nor count.
    pub learners: BTreeSet<NodeId>,
    /// The highest id ever assigned. A replica that was removed, or whose disk was replaced, never
    /// returns under its old id: it could vote twice in a term that it has forgotten.
    pub highest_id: NodeId,
}

/// One change of the membership.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum MembershipChange {
    /// Adds a new replica, as a learner.
    AddLearner(NodeId),
    /// Makes a learner that has caught up a voter.
    PromoteLearner(NodeId),
    /// Removes a replica for good.
    Remove(NodeId),
}

impl Membership {
    /// The first membership of a new cluster: all of these vote.
    #[must_use]
    pub fn bootstrap(voters: impl IntoIterator<Item = NodeId>) -> Self {
        let voters: BTreeSet<_> = voters.into_iter().collect();
        let highest_id = voters.last().copied().unwrap_or(0);
        Membership {
            voters,
            learners: BTreeSet::new(),
            highest_id,
        }
    }

    /// How many voters make a majority.
    #[must_use]
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Whether the voters that `included` accepts make a majority.
    pub fn is_quorum(&self, included: impl Fn(NodeId) -> bool) -> bool {
        !self.voters.is_empty()
            && self.voters.iter().filter(|id| included(**id)).count() >= self.quorum()
    }

    /// The ids of all replicas: the voters, then the learners.
    pub fn ids(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.voters.iter().chain(&self.learners).copied()
    }

    /// Whether this replica is a voter or a learner.
    #[must_use]
    pub fn contains(&self, id: NodeId) -> bool {
        self.voters.contains(&id) || self.learners.contains(&id)
    }

    /// The membership after a change.
    ///
    /// # Errors
    ///
    /// The change is not allowed for this membership.
    pub fn after_change(&self, change: MembershipChange) -> Result<Membership, ProposalError> {
        let mut next = self.clone();
        match change {
            MembershipChange::AddLearner(id) if id <= self.highest_id => {
                return Err(ProposalError::IdAlreadyUsed);
            }
            MembershipChange::AddLearner(id) => {
                next.highest_id = id;
                next.learners.insert(id);
            }
            MembershipChange::PromoteLearner(id) => {
                if !next.learners.remove(&id) {
                    return Err(ProposalError::UnknownMember);
                }
                next.voters.insert(id);
            }
            MembershipChange::Remove(id) => {
                if !next.learners.remove(&id) && !next.voters.remove(&id) {
                    return Err(ProposalError::UnknownMember);
                }
                if next.voters.is_empty() {
                    return Err(ProposalError::LastVoter);
                }
            }
        }
        Ok(next)
    }
}
