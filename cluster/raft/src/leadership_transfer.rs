//! Leadership transfer: the leader brings a voter's log up to date and makes it campaign at once.

use crate::election::CampaignReason;
use crate::role::RoleState;
use crate::{Message, Micros, NodeId, ProposalError, RaftNode, Term};

/// A leadership transfer in progress.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Transfer {
    pub(crate) target: NodeId,
    /// The time at which the transfer is abandoned, in microseconds.
    pub(crate) deadline: Micros,
}

impl RaftNode {
    /// Starts a transfer of leadership to another voter. Proposals are rejected until the transfer
    /// ends, for an election timeout at most.
    ///
    /// # Errors
    ///
    /// Returns an error if this node is not the leader, or if the target is not another voter.
    pub fn transfer_leadership(&mut self, target: NodeId) -> Result<(), ProposalError> {
        let deadline = self.now + self.config.election_timeout;
        let is_other_voter = self.membership().voters.contains(&target) && target != self.id;
        let RoleState::Leader(leader) = &mut self.role else {
            return Err(ProposalError::NotLeader);
        };
        if !is_other_voter {
            return Err(ProposalError::UnknownMember);
        }
        leader.transfer = Some(Transfer { target, deadline });
        self.try_finish_transfer(target);
        Ok(())
    }

    /// Makes `peer` campaign if it is the target of a transfer and has the complete log.
    pub(crate) fn try_finish_transfer(&mut self, peer: NodeId) {
        let RoleState::Leader(leader) = &self.role else {
            return;
        };
        let is_target = leader.transfer.is_some_and(|t| t.target == peer);
        let last = self.log.last_index();
        let is_current = |p: &crate::progress::Progress| p.match_index == last;
        if is_target && leader.progress.get(&peer).is_some_and(is_current) {
            let term = self.hard_state.term;
            self.send_now(peer, Message::TimeoutNow { term });
        }
    }

    pub(crate) fn on_timeout_now(&mut self, from: NodeId, term: Term) {
        let from_leader = term == self.hard_state.term && self.leader == Some(from);
        if from_leader && self.is_voter() {
            self.campaign(CampaignReason::LeadershipTransfer);
        }
    }
}
