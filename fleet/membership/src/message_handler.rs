//! Entry point for received messages.

use std::net::SocketAddr;

use crate::member_update::{MemberName, MemberUpdate};
use crate::membership::{Action, Membership};
use crate::merging::UpdateSource;
use crate::message::{InvalidMessage, Message, MessageBody};
use crate::Micros;

impl Membership {
    /// Handles a message. Answers go to the address in the sender's update, not to the source
    /// address of the datagram, which address translation may have changed.
    ///
    /// # Errors
    ///
    /// Returns an [`InvalidMessage`] if the message is rejected. The state is then unchanged.
    pub fn handle_message(
        &mut self,
        now: Micros,
        message: &Message,
        actions: &mut Vec<Action>,
    ) -> Result<(), InvalidMessage> {
        let sender = message.validated_sender()?;
        self.now = now.max(self.now);
        if self.has_stopped() {
            return Ok(());
        }
        self.merge_updates(message, actions);
        if sender.name == self.own.name {
            return Ok(());
        }
        let known = self.peers.get(&sender.name);
        // A message of an older incarnation doesn't show that the current one is alive.
        if known.is_some_and(|peer| peer.update.incarnation == sender.incarnation) {
            self.record_message_from(sender, &message.body, actions);
            self.dispatch(message, sender, actions);
        }
        Ok(())
    }

    fn merge_updates(&mut self, message: &Message, actions: &mut Vec<Action>) {
        let source_of_others = match message.body {
            MessageBody::BucketTransfer => UpdateSource::Transfer,
            _ => UpdateSource::Gossip,
        };
        for (index, update) in message.updates.iter().enumerate() {
            // The sender's update about itself is passed on even if the message is a transfer.
            let source = match index {
                0 => UpdateSource::Gossip,
                _ => source_of_others,
            };
            self.merge(update.clone(), source, actions);
        }
    }

    /// Records that a message of a member has arrived. If the sender is dead or has left according
    /// to the view, sends it that update so that it can refute its death. Answers to probes, gossip
    /// and transfers don't cause such a notification.
    fn record_message_from(
        &mut self,
        sender: &MemberUpdate,
        body: &MessageBody,
        actions: &mut Vec<Action>,
    ) {
        let Some(peer) = self.peers.get_mut(&sender.name) else {
            return;
        };
        if peer.is_serving() {
            peer.last_message_at = self.now;
            self.health.record_sender(&sender.name);
            return;
        }
        let needs_no_notice = matches!(
            body,
            MessageBody::Ack { .. } | MessageBody::Gossip | MessageBody::BucketTransfer
        );
        if !needs_no_notice {
            let update = MemberUpdate::clone(&peer.update);
            let message = self.message(MessageBody::Gossip, Some(update));
            let to = sender.addr;
            actions.push(Action::Send { to, message });
        }
    }

    fn dispatch(&mut self, message: &Message, sender: &MemberUpdate, actions: &mut Vec<Action>) {
        let from = sender.addr;
        match &message.body {
            MessageBody::Ping { sequence } => self.send_ack(&sender.name, from, *sequence, actions),
            MessageBody::Ack { sequence } => self.on_ack(*sequence, actions),
            MessageBody::IndirectPing {
                sequence,
                target,
                addr,
            } => self.on_indirect_ping(from, *sequence, target, *addr, actions),
            MessageBody::IndirectAck { sequence, .. } => self.on_indirect_ack(*sequence),
            MessageBody::ViewDigest { digest } => {
                self.on_view_digest(message, *digest, from, actions);
            }
            MessageBody::BucketSums(sums) => self.on_bucket_sums(sums, from, actions),
            MessageBody::BucketRequest(request) => self.on_bucket_request(request, from, actions),
            MessageBody::Gossip | MessageBody::BucketTransfer => {}
        }
    }

    fn send_ack(
        &mut self,
        prober: &MemberName,
        to: SocketAddr,
        sequence: u64,
        actions: &mut Vec<Action>,
    ) {
        let update = self.update_to_refute(prober);
        let message = self.message(MessageBody::Ack { sequence }, update);
        actions.push(Action::Send { to, message });
    }
}
