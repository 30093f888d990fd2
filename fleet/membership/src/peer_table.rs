//! Table of all other members, with indexes that avoid scans of the whole table on each tick.
//!
//! Every change of a peer's update goes through [`PeerTable::insert`] or [`PeerTable::remove`],
//! which keep the indexes consistent with the table.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use rand_chacha::rand_core::RngCore;

use crate::member_update::{MemberName, MemberState};
use crate::peer::Peer;
use crate::view_digest::BucketDigests;

/// All other members, by name, with indexes by state.
#[derive(Debug, Clone, Default)]
pub(crate) struct PeerTable {
    peers: BTreeMap<MemberName, Peer>,
    suspects: BTreeSet<MemberName>,
    departed: BTreeSet<MemberName>,
    /// Members that may be serving, in arbitrary order. Each peer stores its index in this vector.
    serving: Vec<MemberName>,
    digests: BucketDigests,
}

impl PeerTable {
    pub fn get(&self, name: &str) -> Option<&Peer> {
        self.peers.get(name)
    }

    /// Returns a peer for changes. Callers must not change its update or serving index.
    pub fn get_mut(&mut self, name: &str) -> Option<&mut Peer> {
        self.peers.get_mut(name)
    }

    pub fn values(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// Returns all peers for changes. Callers must not change their updates or serving indexes.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut Peer> {
        self.peers.values_mut()
    }

    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Returns the number of members that may be serving.
    pub fn serving_count(&self) -> usize {
        self.serving.len()
    }

    /// Returns the members that are suspected.
    pub fn suspects(&self) -> impl Iterator<Item = &Peer> {
        self.suspects.iter().filter_map(|name| self.peers.get(name))
    }

    /// Returns the members that are dead or have left.
    pub fn departed(&self) -> impl Iterator<Item = &Peer> {
        self.departed.iter().filter_map(|name| self.peers.get(name))
    }

    /// Returns the digests of all updates, by bucket.
    pub fn digests(&self) -> &BucketDigests {
        &self.digests
    }

    /// Inserts a peer, which replaces any peer of the same name.
    pub fn insert(&mut self, mut peer: Peer) {
        let name = MemberName::clone(&peer.update.name);
        let old_index = self.remove_from_indexes(&name);
        self.digests.add(&peer.update);
        match peer.update.state {
            MemberState::Suspect => _ = self.suspects.insert(MemberName::clone(&name)),
            MemberState::Dead | MemberState::Left => {
                self.departed.insert(MemberName::clone(&name));
            }
            MemberState::Alive => {}
        }
        peer.serving_index = match (old_index, peer.is_serving()) {
            (Some(index), true) => Some(index),
            (Some(index), false) => {
                self.remove_from_serving(index);
                None
            }
            (None, true) => {
                self.serving.push(MemberName::clone(&name));
                u32::try_from(self.serving.len() - 1).ok()
            }
            (None, false) => None,
        };
        self.peers.insert(name, peer);
    }

    /// Frees allocated memory that is not used.
    pub fn shrink_to_fit(&mut self) {
        self.peers = std::mem::take(&mut self.peers).into_iter().collect();
        self.serving.shrink_to_fit();
    }

    /// Removes a peer from the table and all indexes.
    pub fn remove(&mut self, name: &MemberName) {
        if let Some(index) = self.remove_from_indexes(name) {
            self.remove_from_serving(index);
        }
        self.peers.remove(name);
    }

    /// Removes a peer from the suspects, the departed members and the digests. Leaves it among the
    /// serving members and returns its index there, if it has one.
    fn remove_from_indexes(&mut self, name: &MemberName) -> Option<u32> {
        let old = self.peers.get(name)?;
        self.digests.remove(&old.update);
        match old.update.state {
            MemberState::Suspect => _ = self.suspects.remove(name),
            MemberState::Dead | MemberState::Left => _ = self.departed.remove(name),
            MemberState::Alive => {}
        }
        old.serving_index
    }

    fn remove_from_serving(&mut self, index: u32) {
        let at = index as usize;
        if at >= self.serving.len() {
            return;
        }
        self.serving.swap_remove(at);
        let moved = self.serving.get(at);
        if let Some(peer) = moved.and_then(|name| self.peers.get_mut(name)) {
            peer.serving_index = Some(index);
        }
    }

    /// Returns the addresses of up to `count` distinct random members that may be serving, other
    /// than `excluded`.
    pub fn random_serving(
        &self,
        count: usize,
        excluded: &MemberName,
        rng: &mut impl RngCore,
    ) -> Vec<SocketAddr> {
        let serving_count = self.serving.len();
        let excluded_index = self.peers.get(excluded).and_then(|peer| peer.serving_index);
        let wanted = count.min(serving_count - usize::from(excluded_index.is_some()));
        let mut chosen = BTreeSet::new();
        let mut addrs = Vec::with_capacity(wanted);
        while addrs.len() < wanted {
            let index = (rng.next_u64() % serving_count as u64) as u32;
            if Some(index) != excluded_index && chosen.insert(index) {
                let name = self.serving.get(index as usize);
                let peer = name.and_then(|name| self.peers.get(name));
                addrs.extend(peer.map(|peer| peer.update.addr));
            }
        }
        addrs
    }
}
