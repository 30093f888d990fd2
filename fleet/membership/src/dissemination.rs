//! Dissemination of updates: added to every message, in rounds of gossip, and at once when this
//! member leaves.

use crate::member_update::{MemberName, MemberState, MemberUpdate};
use crate::membership::{Action, Membership};
use crate::message::{Message, MessageBody, MAX_UPDATES_PER_MESSAGE};

/// The number of times that an update is sent, as a multiple of the binary logarithm of the number
/// of members.
const TRANSMIT_FACTOR: f64 = 3.0;
/// The number of other members that this member notifies when it leaves, as a multiple of the
/// gossip fanout.
const LEAVE_FANOUT_FACTOR: usize = 3;

impl Membership {
    /// Builds a message with this member's own update, `first_updates`, and as much gossip as fits.
    pub(crate) fn message(
        &mut self,
        body: MessageBody,
        first_updates: impl IntoIterator<Item = MemberUpdate>,
    ) -> Message {
        let mut updates = vec![self.own.clone()];
        updates.extend(first_updates);
        let remaining = MAX_UPDATES_PER_MESSAGE - updates.len();
        let transmit_limit = self.transmit_limit();
        updates.extend(self.gossip.take_next(remaining, transmit_limit));
        Message { body, updates }
    }

    /// Returns how many times this member sends an update, so that it reaches enough members,
    /// before removing it from the gossip queue.
    pub(crate) fn transmit_limit(&self) -> u32 {
        let fleet_size = self.peers.len() as f64 + 2.0;
        (TRANSMIT_FACTOR * fleet_size.log2()).ceil() as u32
    }

    /// Returns the known update of a member if its state is not `Alive`. Probes and their answers
    /// carry it to that member, which can only refute a suspicion or death that it receives.
    pub(crate) fn update_to_refute(&self, name: &MemberName) -> Option<MemberUpdate> {
        let peer = self.peers.get(name)?;
        (peer.update.state != MemberState::Alive).then(|| MemberUpdate::clone(&peer.update))
    }

    /// Sends a round of gossip if one is due and the queue is not empty.
    pub(crate) fn send_gossip(&mut self, actions: &mut Vec<Action>) {
        if self.gossip.is_empty() || self.now < self.schedule.next_gossip_at {
            return;
        }
        self.schedule.next_gossip_at = self.now + self.config.gossip_interval;
        for to in self.random_members(self.config.gossip_fanout, &self.own.name.clone()) {
            if self.gossip.is_empty() {
                break;
            }
            let message = self.message(MessageBody::Gossip, None);
            actions.push(Action::Send { to, message });
        }
    }

    /// Leaves the fleet and notifies some other members at once.
    pub fn leave(&mut self, actions: &mut Vec<Action>) {
        self.own.state = MemberState::Left;
        let count = LEAVE_FANOUT_FACTOR * self.config.gossip_fanout;
        for to in self.random_members(count, &self.own.name.clone()) {
            let message = Message {
                body: MessageBody::Gossip,
                updates: vec![self.own.clone()],
            };
            actions.push(Action::Send { to, message });
        }
    }
}
