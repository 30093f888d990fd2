//! How updates reach the others: along with every message, in rounds of gossip, and at once when
//! this member leaves.

use crate::member_update::{MemberName, MemberState, MemberUpdate};
use crate::membership::{Action, Membership};
use crate::message::{Message, MessageBody, MAX_UPDATES_PER_MESSAGE};

/// An update is sent this many times the logarithm of the fleet's size.
const TRANSMIT_FACTOR: f64 = 3.0;
/// How many times the gossip fanout are notified when this member leaves.
const LEAVE_FANOUT_FACTOR: usize = 3;

impl Membership {
    /// Makes a message: this member's own update, those given, and as much gossip as fits.
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

    /// How often an update is sent until enough members have it.
    pub(crate) fn transmit_limit(&self) -> u32 {
        let fleet_size = self.peers.len() as f64 + 2.0;
        (TRANSMIT_FACTOR * fleet_size.log2()).ceil() as u32
    }

    /// What is known of a member that is not taken for alive. It is sent along with each message to
    /// that member, which can only refute what it receives.
    pub(crate) fn update_to_refute(&self, name: &MemberName) -> Option<MemberUpdate> {
        let peer = self.peers.get(name)?;
        (peer.update.state != MemberState::Alive).then(|| MemberUpdate::clone(&peer.update))
    }

    /// Sends a round of gossip if it is due and there is any.
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

    /// Leaves the fleet: some others are notified at once.
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
