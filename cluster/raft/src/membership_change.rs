//! Membership changes of one replica at a time (section 4.1 of Ongaro's thesis).

use crate::log::EffectiveMembership;
use crate::progress::Progress;
use crate::role::{LeaderState, RoleState};
use crate::{LogPosition, MembershipChange, NodeId, Payload, ProposalError, RaftNode};

impl RaftNode {
    /// Proposes one change of the membership; the position of its entry. It takes effect at once,
    /// and is safe when it is committed.
    ///
    /// # Errors
    ///
    /// This node is not the leader, or the change is not allowed, or not for now.
    pub fn propose_membership_change(
        &mut self,
        change: MembershipChange,
    ) -> Result<LogPosition, ProposalError> {
        let RoleState::Leader(leader) = &self.role else {
            return Err(ProposalError::NotLeader);
        };
        // Two changes at a time, or one before an entry of this term is committed, could make two
        // majorities that share no replica.
        let uncommitted = self.membership.index > self.commit || leader.first_index > self.commit;
        if uncommitted || leader.transfer.is_some() {
            return Err(ProposalError::ChangeInProgress);
        }
        let membership = self.membership().after_change(change)?;
        if let MembershipChange::PromoteLearner(id) = change {
            if !self.has_caught_up(leader, id) {
                return Err(ProposalError::LearnerBehind);
            }
        }
        let position = self.append_as_leader(Payload::Membership(membership.clone()));
        self.adopt_membership(EffectiveMembership {
            index: position.index,
            membership,
        });
        Ok(position)
    }

    /// Whether a learner lacks few enough entries to be promoted.
    fn has_caught_up(&self, leader: &LeaderState, id: NodeId) -> bool {
        leader.progress.get(&id).is_some_and(|progress| {
            let missing = self.log.last_index().saturating_sub(progress.match_index);
            missing <= self.config.promotion_threshold
        })
    }

    /// Uses a new membership, and replicates to its nodes and no others.
    fn adopt_membership(&mut self, effective: EffectiveMembership) {
        self.membership = effective;
        let next_index = self.log.last_index() + 1;
        let membership = &self.membership.membership;
        let RoleState::Leader(leader) = &mut self.role else {
            return;
        };
        leader.progress.retain(|id, _| membership.contains(*id));
        for id in membership.ids().filter(|id| *id != self.id) {
            leader
                .progress
                .entry(id)
                .or_insert_with(|| Progress::new(next_index, self.now));
        }
    }
}
