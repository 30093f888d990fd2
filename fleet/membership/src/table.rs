//! The table of all others that are known, with the indexes that keep a turn's cost flat: who is suspected, who is
//! gone, who is on the rings, and a digest by bucket of names. Every change of a claim goes through
//! [`PeerTable::insert`] and [`PeerTable::remove`], so that no index can differ from the table.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use rand_chacha::rand_core::RngCore;

use crate::claim::{Name, State};
use crate::digest::BucketDigests;
use crate::membership::Peer;

/// The others, by name.
#[derive(Debug, Clone, Default)]
pub(crate) struct PeerTable {
    peers: BTreeMap<Name, Peer>,
    suspects: BTreeSet<Name>,
    gone: BTreeSet<Name>,
    /// Those on the rings, in no order; each peer knows its place here.
    serving: Vec<Name>,
    digests: BucketDigests,
}

impl PeerTable {
    pub fn get(&self, name: &str) -> Option<&Peer> {
        self.peers.get(name)
    }

    /// A peer to change everything of but its claim.
    pub fn get_mut(&mut self, name: &str) -> Option<&mut Peer> {
        self.peers.get_mut(name)
    }

    pub fn values(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut Peer> {
        self.peers.values_mut()
    }

    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// How many are on the rings.
    pub fn serving(&self) -> usize {
        self.serving.len()
    }

    /// Those that are suspected.
    pub fn suspects(&self) -> impl Iterator<Item = &Peer> {
        self.suspects.iter().filter_map(|name| self.peers.get(name))
    }

    /// Those that are dead or have left.
    pub fn gone(&self) -> impl Iterator<Item = &Peer> {
        self.gone.iter().filter_map(|name| self.peers.get(name))
    }

    /// What all claims come to, by bucket.
    pub fn digests(&self) -> &BucketDigests {
        &self.digests
    }

    /// Puts a peer in place of what was known under its name.
    pub fn insert(&mut self, mut peer: Peer) {
        let name = Name::clone(&peer.claim.name);
        let old_place = self.unindex(&name);
        self.digests.add(&peer.claim);
        match peer.claim.state {
            State::Suspect => _ = self.suspects.insert(Name::clone(&name)),
            State::Dead | State::Left => _ = self.gone.insert(Name::clone(&name)),
            State::Alive => {}
        }
        peer.place = match (old_place, peer.on_rings()) {
            (Some(place), true) => Some(place),
            (Some(place), false) => {
                self.leave_place(place);
                None
            }
            (None, true) => {
                self.serving.push(Name::clone(&name));
                u32::try_from(self.serving.len() - 1).ok()
            }
            (None, false) => None,
        };
        self.peers.insert(name, peer);
    }

    /// Drops the room that the table holds in reserve.
    pub fn shrink(&mut self) {
        self.peers = std::mem::take(&mut self.peers).into_iter().collect();
        self.serving.shrink_to_fit();
    }

    /// Forgets a peer.
    pub fn remove(&mut self, name: &Name) {
        if let Some(place) = self.unindex(name) {
            self.leave_place(place);
        }
        self.peers.remove(name);
    }

    /// Takes the claim that is known of a name out of the indexes by state and out of the digests; its place among
    /// those that serve.
    fn unindex(&mut self, name: &Name) -> Option<u32> {
        let old = self.peers.get(name)?;
        self.digests.remove(&old.claim);
        match old.claim.state {
            State::Suspect => _ = self.suspects.remove(name),
            State::Dead | State::Left => _ = self.gone.remove(name),
            State::Alive => {}
        }
        old.place
    }

    fn leave_place(&mut self, place: u32) {
        let at = place as usize;
        if at >= self.serving.len() {
            return;
        }
        self.serving.swap_remove(at);
        let moved = self
            .serving
            .get(at)
            .and_then(|name| self.peers.get_mut(name));
        moved.into_iter().for_each(|peer| peer.place = Some(place));
    }

    /// Some of those on the rings, at random, without one: where they are reached.
    pub fn some_serving(
        &self,
        count: usize,
        without: &Name,
        rng: &mut impl RngCore,
    ) -> Vec<SocketAddr> {
        let total = self.serving.len();
        let skipped = self.peers.get(without).and_then(|peer| peer.place);
        let wanted = count.min(total - usize::from(skipped.is_some()));
        let mut drawn = BTreeSet::new();
        let mut found = Vec::with_capacity(wanted);
        while found.len() < wanted {
            let place = (rng.next_u64() % total as u64) as u32;
            if Some(place) != skipped && drawn.insert(place) {
                let peer = self
                    .serving
                    .get(place as usize)
                    .and_then(|name| self.peers.get(name));
                found.extend(peer.map(|peer| peer.claim.addr));
            }
        }
        found
    }
}
