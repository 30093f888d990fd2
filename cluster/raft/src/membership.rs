//! The membership of a cluster and its changes. Each change concerns one replica, so that any
//! majority before the change and any majority after it share a replica.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::{NodeId, ProposalError};

#[cfg(test)]
mod tests;

/// The voters and learners of a cluster, and the highest id assigned so far.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Membership {
    /// Replicas that vote and count for majorities.
    pub voters: BTreeSet<NodeId>,
    /// Replicas that receive the log but neither vote nor count for majorities.
    pub learners: BTreeSet<NodeId>,
    /// The highest id ever assigned. A replica that was removed, or whose disk was replaced, must
    /// not return under its old id: without a record of its vote it could vote twice in a term.
    pub highest_id: NodeId,
}

/// A change of the membership by one replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum MembershipChange {
    /// Adds a new replica as a learner.
    AddLearner(NodeId),
    /// Turns a learner that has caught up into a voter.
    PromoteLearner(NodeId),
    /// Removes a replica permanently.
    Remove(NodeId),
}

impl Membership {
    /// Creates the first membership of a new cluster, in which all given replicas are voters.
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

    /// Returns the number of voters that are a majority.
    #[must_use]
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns whether the voters for which `included` returns `true` are a majority. Without any
    /// voters nothing is a majority.
    pub fn is_quorum(&self, included: impl Fn(NodeId) -> bool) -> bool {
        !self.voters.is_empty()
            && self.voters.iter().filter(|id| included(**id)).count() >= self.quorum()
    }

    /// Returns the ids of all replicas: the voters, then the learners.
    pub fn ids(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.voters.iter().chain(&self.learners).copied()
    }

    /// Returns whether the replica is a voter or a learner.
    #[must_use]
    pub fn contains(&self, id: NodeId) -> bool {
        self.voters.contains(&id) || self.learners.contains(&id)
    }

    /// Returns the membership after a change.
    ///
    /// # Errors
    ///
    /// Returns an error if the id of a new replica was assigned before, if the replica to promote
    /// or remove does not exist, or if no voter would remain.
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
