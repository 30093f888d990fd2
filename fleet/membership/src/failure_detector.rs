//! Failure detection by probes: direct probes, indirect probes through other members, suspicion,
//! and death.
//!
//! A silence that may be this process's own accuses nobody (Lifeguard): after a pause it suspects
//! no one until it receives messages of others again, and the worse its local health, the longer it
//! waits.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use rand_chacha::rand_core::RngCore;

use crate::config::Mutant;
use crate::member_update::{MemberName, MemberState, MemberUpdate};
use crate::membership::{Action, LinkState, Membership};
use crate::merging::UpdateSource;
use crate::message::MessageBody;
use crate::peer::Peer;
use crate::probe_table::{Probe, RelayedProbe};
use crate::Micros;

/// A death needs the accusations of so many observers, where a member has as many.
const ACCUSERS_FOR_DEATH: usize = 2;
/// Each revival doubles the suspicion timeout, so often at most.
const MAX_TIMEOUT_DOUBLINGS: u32 = 4;
/// Probe times vary by up to this part of the interval, so that observers don't fall into step.
const PROBE_JITTER_DIVISOR: Micros = 10;

impl Membership {
    /// This process was paused for `pause`: probes that it sent before are no longer waited for,
    /// and the time in which others could not reach it does not count against them.
    pub(crate) fn recover_from_pause(&mut self, pause: Micros) {
        self.probes.clear();
        self.health.begin_recovery();
        for peer in self.peers.values_mut() {
            peer.state_since = (peer.state_since + pause).min(self.now);
            peer.last_message_at = (peer.last_message_at + pause).min(self.now);
            peer.next_probe_at = peer.next_probe_at.min(self.now);
        }
    }

    fn subjects(&mut self) -> BTreeSet<MemberName> {
        let (rings, own_name) = (&self.rings, &self.own.name);
        self.subjects
            .get_or_insert_with(|| rings.subjects_of(own_name))
            .clone()
    }

    /// Probes the members that this one observes and whose probe is due.
    pub(crate) fn send_probes(&mut self, actions: &mut Vec<Action>) {
        for target in self.subjects() {
            let jitter = self.rng.next_u64();
            let Some(peer) = self.peers.get_mut(&target) else {
                continue;
            };
            if peer.next_probe_at > self.now {
                continue;
            }
            let interval = match peer.update.state {
                MemberState::Suspect => self.config.probe_timeout,
                _ => self.config.probe_interval,
            };
            let jitter = jitter % (interval / PROBE_JITTER_DIVISOR).max(1);
            peer.next_probe_at = self.now + interval - jitter;
            let addr = peer.update.addr;
            let name = MemberName::clone(&target);
            let sequence = self.probes.add(name, addr, self.now);
            self.send_ping(&target, addr, sequence, actions);
        }
    }

    fn send_ping(
        &mut self,
        target: &MemberName,
        to: SocketAddr,
        sequence: u64,
        actions: &mut Vec<Action>,
    ) {
        let update = self.update_to_refute(target);
        let message = self.message(MessageBody::Ping { sequence }, update);
        actions.push(Action::Send { to, message });
    }

    /// Asks for indirect probes where a probe has no answer, and ends the probes that have none
    /// after that either.
    pub(crate) fn check_probes(&mut self, actions: &mut Vec<Action>) {
        let timeout = self.config.probe_timeout;
        for sequence in self.probes.awaiting_indirect(self.now, timeout) {
            self.request_indirect_probes(sequence, actions);
        }
        // In bad health it waits longer: an answer may have arrived and not been read.
        let full_timeout = self.health.extend(2 * timeout);
        for sequence in self.probes.timed_out(self.now, full_timeout) {
            if let Some(probe) = self.probes.remove(sequence) {
                self.on_probe_timeout(&probe, actions);
            }
        }
        self.probes.expire_relayed(self.now);
    }

    fn request_indirect_probes(&mut self, sequence: u64, actions: &mut Vec<Action>) {
        let Some(probe) = self.probes.get_mut(sequence) else {
            return;
        };
        probe.indirect_requested = true;
        let (target, addr) = (MemberName::clone(&probe.target), probe.addr);
        for to in self.random_members(self.config.indirect_probes, &target) {
            let body = MessageBody::IndirectPing {
                sequence,
                target: MemberName::clone(&target),
                addr,
            };
            let message = self.message(body, None);
            actions.push(Action::Send { to, message });
        }
        self.send_ping(&target, addr, sequence, actions);
    }

    /// A probe has had no direct answer: the link is cut, the member is suspected, or this process
    /// may be at fault.
    fn on_probe_timeout(&mut self, probe: &Probe, actions: &mut Vec<Action>) {
        if probe.indirect_acked && !self.has_mutant(Mutant::TreatsCutLinkAsFailure) {
            return self.set_link(&probe.target, LinkState::Cut, actions);
        }
        if !self.has_recent_message() {
            self.health.worsen(1);
        }
        if self.health.is_recovering() {
            return;
        }
        let peer = self.peers.get(&probe.target);
        let Some(peer) = peer.filter(|peer| peer.is_serving()) else {
            return;
        };
        // A message of its own has arrived since: it runs, and doesn't receive this member's.
        if peer.last_message_at > probe.sent_at {
            return self.set_link(&probe.target, LinkState::Cut, actions);
        }
        let suspicion = MemberUpdate {
            state: MemberState::Suspect,
            accuser: Some(MemberName::clone(&self.own.name)),
            ..MemberUpdate::clone(&peer.update)
        };
        self.merge(suspicion, UpdateSource::Gossip, actions);
    }

    /// Whether a message of any member has arrived within the probe interval.
    fn has_recent_message(&self) -> bool {
        self.peers
            .values()
            .any(|peer| self.now.saturating_sub(peer.last_message_at) < self.config.probe_interval)
    }

    /// Handles the answer to a probe, one of this member or one made for another observer.
    pub(crate) fn on_ack(&mut self, sequence: u64, actions: &mut Vec<Action>) {
        if let Some(probe) = self.probes.remove(sequence) {
            self.health.improve();
            self.set_link(&probe.target, LinkState::Restored, actions);
        }
        if let Some(relayed) = self.probes.remove_relayed(sequence) {
            let body = MessageBody::IndirectAck {
                sequence: relayed.observer_sequence,
                target: relayed.target,
            };
            let to = relayed.observer_addr;
            let message = self.message(body, None);
            actions.push(Action::Send { to, message });
        }
    }

    /// Handles the report that another member has had an answer.
    pub(crate) fn on_indirect_ack(&mut self, sequence: u64) {
        if let Some(probe) = self.probes.get_mut(sequence) {
            probe.indirect_acked = true;
        }
    }

    /// Probes a member for another observer.
    pub(crate) fn on_indirect_ping(
        &mut self,
        observer_addr: SocketAddr,
        observer_sequence: u64,
        target: &MemberName,
        target_addr: SocketAddr,
        actions: &mut Vec<Action>,
    ) {
        let known = self.peers.get(target);
        if known.is_none_or(|peer| peer.update.addr != target_addr) {
            return;
        }
        let relayed = RelayedProbe {
            observer_addr,
            observer_sequence,
            target: MemberName::clone(target),
            expires_at: self.now + 2 * self.config.probe_timeout,
        };
        if let Some(sequence) = self.probes.add_relayed(relayed) {
            self.send_ping(target, target_addr, sequence, actions);
        }
    }

    fn set_link(&mut self, name: &MemberName, link: LinkState, actions: &mut Vec<Action>) {
        let is_cut = link == LinkState::Cut;
        let Some(peer) = self.peers.get_mut(name) else {
            return;
        };
        if peer.link_cut_since.is_some() == is_cut {
            return;
        }
        peer.link_cut_since = is_cut.then_some(self.now);
        let member = MemberName::clone(name);
        actions.push(Action::LinkChanged { member, link });
    }

    /// Declares the suspects dead whose suspicion has run out.
    pub(crate) fn declare_deaths(&mut self, actions: &mut Vec<Action>) {
        if self.health.is_recovering() {
            return;
        }
        let suspects = self.peers.suspects();
        let dead: Vec<MemberUpdate> = suspects
            .filter(|peer| self.is_confirmed_dead(peer))
            .map(|peer| MemberUpdate {
                state: MemberState::Dead,
                accuser: None,
                ..MemberUpdate::clone(&peer.update)
            })
            .collect();
        for update in dead {
            self.merge(update, UpdateSource::Gossip, actions);
        }
    }

    /// Whether a suspect is to be declared dead by this member.
    ///
    /// It takes two observers without an answer, this one among them, or one where there is no
    /// second. Both may be cut off, so the more observers have not accused the member, the longer
    /// it takes; and a member that still sends messages of its own is not dead.
    fn is_confirmed_dead(&self, peer: &Peer) -> bool {
        let own_name = &self.own.name;
        let timeout = self.health.extend(self.config.suspicion_timeout);
        if !peer.accusers.contains(own_name) || self.now < peer.state_since + timeout {
            return false;
        }
        let observers = self.rings.observers_of(&peer.update.name);
        // An accuser that is no longer an observer has not probed the member since.
        let accusing = observers
            .iter()
            .filter(|name| peer.accusers.contains(*name));
        let accusing = accusing.count();
        let needed = if self.has_mutant(Mutant::ConfirmsFailureAlone) {
            1
        } else {
            ACCUSERS_FOR_DEATH
        };
        observers.contains(own_name)
            && accusing >= observers.len().min(needed)
            && self.now
                >= peer.state_since + suspicion_span(peer, timeout, observers.len() - accusing)
            && self.now >= peer.last_message_at + timeout / 2
    }
}

/// How long a suspicion lasts until death: half the timeout more for each observer that has not
/// accused the member, and twice as long for each revival, or the view of a member that flaps would
/// never settle.
fn suspicion_span(peer: &Peer, timeout: Micros, not_accusing: usize) -> Micros {
    let span = timeout + timeout * not_accusing as u64 / 2;
    span << peer.revivals.min(MAX_TIMEOUT_DOUBLINGS)
}
