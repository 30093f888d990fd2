//! Membership changes of one replica at a time (section 4.1 of Ongaro's thesis).

use crate::log::EffectiveMembership;
use crate::progress::Progress;
use crate::role::{LeaderState, RoleState};
use crate::{LogPosition, MembershipChange, NodeId, Payload, ProposalError, RaftNode};

impl RaftNode {
    /// Proposes a membership change, and returns the position of its entry. The new membership
    /// takes effect at once, but may be overwritten until the entry is committed.
    ///
    /// # Errors
    ///
    /// Returns an error if this node is not the leader, or if the change is not allowed now or at
    /// all.
    pub fn propose_membership_change(
        &mut self,
        change: MembershipChange,
    ) -> Result<LogPosition, ProposalError> {
        let RoleState::Leader(leader) = &self.role else {
            return Err(ProposalError::NotLeader);
        };
        // With two uncommitted changes, or a change before an entry of this term is committed,
        // there could be two majorities that share no replica.
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

    /// Returns whether a learner lacks at most `promotion_threshold` entries.
    fn has_caught_up(&self, leader: &LeaderState, id: NodeId) -> bool {
        leader.progress.get(&id).is_some_and(|progress| {
            let missing = self.log.last_index().saturating_sub(progress.match_index);
            missing <= self.config.promotion_threshold
        })
    }

    /// Switches to a new membership, and starts and stops replication to the nodes that it adds and
    /// removes.
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
