//! Merging updates into the view. The same updates give the same view in any order.

use std::cmp::Ordering;

use rand_chacha::rand_core::RngCore;

use crate::config::Mutant;
use crate::member_update::{MemberName, MemberState, MemberUpdate};
use crate::membership::{Action, Membership};
use crate::peer::Peer;

/// The most accusers that are stored of one suspicion.
const MAX_ACCUSERS: usize = 8;

/// How an update has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum UpdateSource {
    /// Along with a message or a round of gossip, or from this member's own failure detector.
    Gossip,
    /// On request, by anti-entropy: others know of the member.
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
            Ordering::Equal => self.confirm(update),
            Ordering::Less if !self.accepts_outdated(&update, known, source) => {}
            Ordering::Less | Ordering::Greater => {
                let peer = self.replacement(known, &update);
                // A change of a member that was known here is passed on whatever its source.
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
        self.hasten_probe_of_suspect(&mut peer);
        // Whoever has transferred it on request knows of the member, and so do others.
        if source == UpdateSource::Gossip {
            self.gossip.push(update);
        }
        self.store(peer, actions);
    }

    /// An update of equal precedence: gossip that has come back, or a further accuser.
    fn confirm(&mut self, update: MemberUpdate) {
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

    /// Whether an update is merged though a newer one is known: a wrong decision that tests have to
    /// notice.
    fn accepts_outdated(&self, update: &MemberUpdate, known: &Peer, source: UpdateSource) -> bool {
        let is_alive = update.state == MemberState::Alive;
        let is_same_incarnation = known.update.incarnation == update.incarnation;
        (is_alive && is_same_incarnation && self.has_mutant(Mutant::IgnoresRefutationCount))
            || (is_alive && self.has_mutant(Mutant::IgnoresIncarnation))
            || (source == UpdateSource::Transfer && self.has_mutant(Mutant::AcceptsStaleTransfer))
    }

    /// The peer after an update that overrides what is known of it.
    fn replacement(&self, known: &Peer, update: &MemberUpdate) -> Peer {
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
        self.hasten_probe_of_suspect(&mut peer);
        peer
    }

    /// A suspect is probed soon, so that it learns of the suspicion and can refute it.
    fn hasten_probe_of_suspect(&self, peer: &mut Peer) {
        if peer.update.state == MemberState::Suspect {
            let soon = self.now + self.config.probe_timeout;
            peer.next_probe_at = peer.next_probe_at.min(soon);
        }
    }

    /// Stores a peer, updates the rings, and reports a change of its state.
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
            self.subjects = None;
        }
        if has_changed {
            actions.push(Action::StateChanged { member, state });
        }
    }

    /// What others say of this member: a newer incarnation supersedes it, a suspicion or a death is
    /// refuted.
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
            // A process that others suspect wrongly is likely to be slow itself.
            self.health.worsen(1);
            self.gossip.push(self.own.clone());
        }
    }
}
