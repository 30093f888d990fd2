//! Simulated clients and operators, which send commands, reads, leadership transfers and membership
//! changes to random replicas.

use violetgate_raft::*;

use crate::cluster::SimulatedCluster;
use crate::faults::InjectedBug;

/// New replicas are added only while there are fewer voters than this number.
const MAX_VOTERS: usize = 5;

impl SimulatedCluster {
    /// Sends a random request to a random replica.
    pub fn client_request(&mut self) {
        let id = self.draw_replica();
        let kind = self.draw(20);
        let target = self.draw_replica();
        let now = self.now;
        let replica = self.replica(id);
        if replica.paused_until > now || replica.node.is_none() {
            return;
        }
        match kind {
            0..=12 => self.propose_command(id),
            13..=17 => self.read(id),
            18 => drop(replica.node().transfer_leadership(target)),
            _ => self.change_membership(id, target),
        }
        self.perform_actions(id);
    }

    fn propose_command(&mut self, id: NodeId) {
        let command = self.last_event.to_be_bytes().to_vec();
        if self.replica(id).node().propose(command.clone()).is_ok() {
            self.observed.commands.insert(command, None);
        }
    }

    fn read(&mut self, id: NodeId) {
        let read_id = self.last_event;
        self.observed.begin_read(read_id);
        if self.bug == InjectedBug::ReadsWithoutQuorum {
            let index = self.replica(id).node().commit();
            self.check_read(read_id, index);
        } else {
            self.replica(id).node().read_index(read_id);
        }
    }

    fn change_membership(&mut self, id: NodeId, target: NodeId) {
        let event = self.last_event;
        let node = self.replica(id).node();
        let membership = node.membership();
        let next_id = membership.highest_id + 1;
        let is_full = membership.voters.len() >= MAX_VOTERS;
        let change = match (membership.learners.first().copied(), event % 3) {
            (Some(learner), 0 | 1) => MembershipChange::PromoteLearner(learner),
            (None, 0) if !is_full => MembershipChange::AddLearner(next_id),
            _ => MembershipChange::Remove(target),
        };
        if node.propose_membership_change(change).is_ok() {
            self.observed.membership_changes += 1;
            if let MembershipChange::AddLearner(id) = change {
                // The new replica starts with an empty membership, and gets the current one from
                // the leader.
                self.join(id, SnapshotMetadata::default());
            }
        }
    }
}
