//! Failure detection: direct probes, indirect probes through other members, suspicion, and death.
//!
//! As in Lifeguard, a member doesn't suspect others if missing answers may be its own fault. After
//! a pause of its process it suspects nobody until it receives messages of others again, and the
//! worse its local health, the longer its timeouts.

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

/// Number of observers that must accuse a member before it is declared dead. If the member has
/// fewer observers, all of them must.
const ACCUSERS_FOR_DEATH: usize = 2;
/// Maximum number of times that revivals, which are returns of a member that was declared dead,
/// double the suspicion timeout.
const MAX_TIMEOUT_DOUBLINGS: u32 = 4;
/// Probe intervals are randomly shortened by up to the interval divided by this number, so that the
/// probes of several observers don't synchronize.
const PROBE_JITTER_DIVISOR: Micros = 10;

impl Membership {
    /// Handles a pause of this process that lasted for `pause`: forgets the probes in flight, makes
    /// new ones due, and moves the peers' other timestamps forward by the pause, because messages
    /// could not be handled in the meantime.
    pub(crate) fn recover_from_pause(&mut self, pause: Micros) {
        self.probes.clear();
        self.health.begin_recovery();
        for peer in self.peers.values_mut() {
            peer.state_since = (peer.state_since + pause).min(self.now);
            peer.last_message_at = (peer.last_message_at + pause).min(self.now);
            peer.next_probe_at = peer.next_probe_at.min(self.now);
        }
    }

    fn observed_members(&mut self) -> BTreeSet<MemberName> {
        let (rings, own_name) = (&self.rings, &self.own.name);
        self.observed_members
            .get_or_insert_with(|| rings.subjects_of(own_name))
            .clone()
    }

    /// Sends the probes that are due to the members that this one observes.
    pub(crate) fn send_probes(&mut self, actions: &mut Vec<Action>) {
        for target in self.observed_members() {
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

    /// Requests indirect probes for the probes that have no answer after the probe timeout, and
    /// ends the probes that still have none after the full timeout.
    pub(crate) fn check_probes(&mut self, actions: &mut Vec<Action>) {
        let timeout = self.config.probe_timeout;
        for sequence in self.probes.awaiting_indirect(self.now, timeout) {
            self.request_indirect_probes(sequence, actions);
        }
        // In bad local health the timeout is longer: an answer may have arrived and not been read
        // yet.
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

    /// Handles a probe without a direct answer: marks the link as cut if the member has answered an
    /// indirect probe or has sent a message since the probe, and otherwise suspects it unless this
    /// process is recovering from a pause.
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
        // The target has sent a message since the probe, so it runs, but the probe or its answer
        // was lost.
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

    /// Returns whether a message of any member has arrived within the last probe interval.
    fn has_recent_message(&self) -> bool {
        self.peers
            .values()
            .any(|peer| self.now.saturating_sub(peer.last_message_at) < self.config.probe_interval)
    }

    /// Handles the answer to a probe that this member sent for itself or for another observer.
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

    /// Handles the report that the target of a probe has answered an indirect probe.
    pub(crate) fn on_indirect_ack(&mut self, sequence: u64) {
        if let Some(probe) = self.probes.get_mut(sequence) {
            probe.indirect_acked = true;
        }
    }

    /// Probes a member for another observer if this member knows the target at the same address.
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

    /// Declares the suspects dead whose suspicion has expired, unless this process is recovering
    /// from a pause.
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

    /// Returns whether this member is to declare a suspect dead.
    ///
    /// Two observers must have accused the suspect, or one if it has only one observer, and this
    /// member must be among them. If an observer has not accused the suspect, the accusers may be
    /// the ones that are cut off, so the suspicion lasts longer for each such observer. A suspect
    /// that still sends messages is not declared dead.
    fn is_confirmed_dead(&self, peer: &Peer) -> bool {
        let own_name = &self.own.name;
        let timeout = self.health.extend(self.config.suspicion_timeout);
        if !peer.accusers.contains(own_name) || self.now < peer.state_since + timeout {
            return false;
        }
        let observers = self.rings.observers_of(&peer.update.name);
        // Accusers that are no longer observers don't count: they have stopped probing the member.
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

/// Returns how long a suspicion lasts before the member is declared dead: the timeout plus half of
/// it for each observer that has not accused the member. Each revival doubles the result, because
/// otherwise a member that repeatedly fails and returns would be declared dead again and again, and
/// the view would keep changing.
fn suspicion_span(peer: &Peer, timeout: Micros, not_accusing: usize) -> Micros {
    let span = timeout + timeout * not_accusing as u64 / 2;
    span << peer.revivals.min(MAX_TIMEOUT_DOUBLINGS)
}
