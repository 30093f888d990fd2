//! Merges updates into the view. The same updates in any order result in the same view.

use std::cmp::Ordering;

use rand_chacha::rand_core::RngCore;

use crate::config::Mutant;
use crate::member_update::{MemberName, MemberState, MemberUpdate};
use crate::membership::{Action, Membership};
use crate::peer::Peer;

/// Maximum number of accusers that are stored for one suspicion.
const MAX_ACCUSERS: usize = 8;

/// How an update arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum UpdateSource {
    /// In a message other than a transfer, as the sender's update about itself, or from this
    /// member's own failure detector.
    Gossip,
    /// In a transfer that anti-entropy requested. Other members already know the update.
    Transfer,
}

impl Membership {
    /// Merges an update into the view.
    pub(crate) fn merge(
        &mut self,
        update: MemberUpdate,
        source: UpdateSource,
        actions: &mut Vec<Action>,
    ) {
        if update.name == self.own.name {
            return self.merge_own(&update, actions);
        }
        let Some(known) = self.peers.get(&update.name) else {
            return self.merge_unknown(update, source, actions);
        };
        match update.precedence().cmp(&known.update.precedence()) {
            Ordering::Equal => self.merge_equal(update),
            Ordering::Less if !self.accepts_outdated(&update, known, source) => {}
            Ordering::Less | Ordering::Greater => {
                let peer = self.updated_peer(known, &update);
                // An update about a known member is passed on even if it was transferred.
                self.gossip.push(update);
                self.store(peer, actions);
            }
        }
    }

    fn merge_unknown(
        &mut self,
        update: MemberUpdate,
        source: UpdateSource,
        actions: &mut Vec<Action>,
    ) {
        if self.peers.len() >= self.config.max_members {
            let rejected = update.name;
            return actions.push(Action::TableFull { rejected });
        }
        let first_probe_delay = self.rng.next_u64() % self.config.probe_interval;
        let mut peer = Peer::new(update.clone(), self.now);
        peer.next_probe_at = self.now + first_probe_delay;
        self.advance_probe_of_suspect(&mut peer);
        // A transferred update about a member that was unknown here isn't passed on: its sender and
        // other members already know it.
        if source == UpdateSource::Gossip {
            self.gossip.push(update);
        }
        self.store(peer, actions);
    }

    /// Merges an update of equal precedence. If the member is alive, records that another member
    /// has sent the update (see `record_receipt`). If the member is suspected, adds the update's
    /// accuser.
    fn merge_equal(&mut self, update: MemberUpdate) {
        if update.state == MemberState::Alive {
            let transmit_limit = self.transmit_limit();
            return self.gossip.record_receipt(&update, transmit_limit);
        }
        let Some(peer) = self.peers.get_mut(&update.name) else {
            return;
        };
        let Some(accuser) = update.accuser.clone() else {
            return;
        };
        if peer.accusers.len() < MAX_ACCUSERS && peer.accusers.insert(accuser) {
            self.gossip.push(update);
        }
    }

    /// Returns whether an injected fault makes this member merge an outdated update. Always `false`
    /// outside mutation tests.
    fn accepts_outdated(&self, update: &MemberUpdate, known: &Peer, source: UpdateSource) -> bool {
        let is_alive = update.state == MemberState::Alive;
        let is_same_incarnation = known.update.incarnation == update.incarnation;
        (is_alive && is_same_incarnation && self.has_mutant(Mutant::IgnoresRefutationCount))
            || (is_alive && self.has_mutant(Mutant::IgnoresIncarnation))
            || (source == UpdateSource::Transfer && self.has_mutant(Mutant::AcceptsStaleTransfer))
    }

    /// Returns the peer with an update that overrides the known one.
    fn updated_peer(&self, known: &Peer, update: &MemberUpdate) -> Peer {
        let is_same_incarnation = known.update.incarnation == update.incarnation;
        let is_revival =
            known.update.state == MemberState::Dead && update.state == MemberState::Alive;
        let mut peer = Peer::new(update.clone(), self.now);
        if known.update.state == update.state {
            peer.state_since = known.state_since;
        }
        peer.last_message_at = known.last_message_at;
        peer.next_probe_at = known.next_probe_at;
        if is_same_incarnation {
            peer.link_cut_since = known.link_cut_since;
            peer.revivals = known.revivals + u32::from(is_revival);
        }
        self.advance_probe_of_suspect(&mut peer);
        peer
    }

    /// Probes a suspect within the probe timeout, so that it learns of the suspicion and can refute
    /// it.
    fn advance_probe_of_suspect(&self, peer: &mut Peer) {
        if peer.update.state == MemberState::Suspect {
            let soon = self.now + self.config.probe_timeout;
            peer.next_probe_at = peer.next_probe_at.min(soon);
        }
    }

    /// Stores a peer, updates the observer rings, and reports a change of the peer's state.
    fn store(&mut self, peer: Peer, actions: &mut Vec<Action>) {
        let member = MemberName::clone(&peer.update.name);
        let state = peer.update.state;
        let is_serving = peer.is_serving();
        let known = self.peers.get(&member);
        let was_serving = known.is_some_and(Peer::is_serving);
        let has_changed = known.is_none_or(|known| known.update.state != state);
        self.peers.insert(peer);
        if was_serving != is_serving {
            if is_serving {
                self.rings.add(&member);
            } else {
                self.rings.remove(&member);
            }
            self.observed_members = None;
        }
        if has_changed {
            actions.push(Action::StateChanged { member, state });
        }
    }

    /// Merges an update about this member itself. A newer incarnation supersedes this process, an
    /// older one is answered with this member's own update, and a suspicion or death is refuted.
    fn merge_own(&mut self, update: &MemberUpdate, actions: &mut Vec<Action>) {
        let is_newer = update.incarnation > self.own.incarnation;
        if is_newer && !self.has_mutant(Mutant::IgnoresIncarnation) {
            if !std::mem::replace(&mut self.is_superseded, true) {
                actions.push(Action::Superseded);
            }
        } else if update.incarnation < self.own.incarnation {
            self.gossip.push(self.own.clone());
        } else if update.refutations >= self.own.refutations
            && update.state != MemberState::Alive
            && !self.has_mutant(Mutant::NeverRefutes)
        {
            self.own.refutations = update.refutations.saturating_add(1);
            // A process that others suspect although it runs is probably slow.
            self.health.worsen(1);
            self.gossip.push(self.own.clone());
        }
    }
}
