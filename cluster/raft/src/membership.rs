//! Who belongs to the cluster, and which changes of it are safe: one step at a time, so that any majority before a
//! step and any after it share a member.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::NodeId;

/// The members.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Membership {
    /// They vote and count.
    pub voters: BTreeSet<NodeId>,
    /// They get the log, and neither vote nor count.
    pub learners: BTreeSet<NodeId>,
    /// The highest id ever given. One that has left, or lost its disk, never comes back under its old id: it
    /// could vote twice in a term that it has forgotten.
    pub highest_id: NodeId,
}

/// One step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum MembershipChange {
    /// A new member, which learns.
    AddLearner(NodeId),
    /// A learner that has caught up becomes a voter.
    PromoteLearner(NodeId),
    /// A member leaves, for good.
    Remove(NodeId),
}

/// Why a step is not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProposalError {
    /// This member does not lead.
    NotLeader,
    /// An earlier step, or the first entry of this leadership, is not agreed on yet.
    ChangeInProgress,
    /// The id was given before; ids are never used twice.
    IdAlreadyUsed,
    /// No such member, or not one of that kind.
    UnknownMember,
    /// The learner has not caught up.
    LearnerBehind,
    /// The last voter can't leave.
    LastVoter,
    /// Too much waits to be agreed on, or leadership is being handed over.
    Busy,
}

impl Membership {
    /// The first members of a cluster, all voters.
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

    /// Whether these make a majority.
    pub fn is_quorum(&self, of: impl Fn(NodeId) -> bool) -> bool {
        !self.voters.is_empty() && self.voters.iter().filter(|id| of(**id)).count() >= self.quorum()
    }

    /// All members.
    pub fn ids(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.voters.iter().chain(&self.learners).copied()
    }

    /// Whether it belongs.
    #[must_use]
    pub fn contains(&self, id: NodeId) -> bool {
        self.voters.contains(&id) || self.learners.contains(&id)
    }

    /// The members after one step.
    ///
    /// # Errors
    ///
    /// The step can't be taken.
    pub fn after_change(&self, change: MembershipChange) -> Result<Membership, ProposalError> {
        let mut next = self.clone();
        match change {
            MembershipChange::AddLearner(id) if id <= self.highest_id => {
                return Err(ProposalError::IdAlreadyUsed)
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

#[cfg(test)]
#[allow(clippy::unwrap_used)]
mod tests {
    use super::*;

    /// Any majority before a step and any after it share a member; no id comes twice.
    #[test]
    fn majorities_of_neighbours_meet() {
        let mut stack = vec![(Membership::bootstrap([1]), 0)];
        while let Some((members, depth)) = stack.pop() {
            let ids = 1..=members.highest_id + 1;
            let steps = ids.flat_map(|id| {
                [
                    MembershipChange::AddLearner(id),
                    MembershipChange::PromoteLearner(id),
                    MembershipChange::Remove(id),
                ]
            });
            for next in steps.filter_map(|step| members.after_change(step).ok()) {
                let before: Vec<_> = members.voters.iter().collect();
                for set in 0..1u32 << before.len() {
                    let chosen = |id: NodeId| {
                        before
                            .iter()
                            .position(|b| **b == id)
                            .is_some_and(|n| set >> n & 1 == 1)
                    };
                    // A majority before, and all that are not in it: those must be none after.
                    assert!(!(members.is_quorum(chosen) && next.is_quorum(|id| !chosen(id))));
                }
                if depth < 6 {
                    stack.push((next, depth + 1));
                }
            }
        }
        let gone = Membership::bootstrap([1, 2])
            .after_change(MembershipChange::Remove(2))
            .unwrap();
        assert_eq!(
            gone.after_change(MembershipChange::AddLearner(2)),
            Err(ProposalError::IdAlreadyUsed)
        );
        assert_eq!(
            gone.after_change(MembershipChange::Remove(1)),
            Err(ProposalError::LastVoter)
        );
    }
}
