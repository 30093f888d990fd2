//! Periodically contacts dead members and seeds, so that the parts of a split fleet find each other
//! again, and removes members that departed long ago.

use std::net::SocketAddr;

use rand_chacha::rand_core::RngCore;

use crate::member_update::{MemberName, MemberState, MemberUpdate};
use crate::membership::{Action, Membership, SeedAddr};
use crate::peer::Peer;

/// Approximate limit on how often all members together contact one dead member or seed, per probe
/// interval (1 s by default).
const CONTACTS_PER_PROBE_INTERVAL: usize = 8;
/// Maximum number of addresses that one member contacts in a round.
const MAX_CONTACTS: usize = 2;

impl Membership {
    /// If a round is due, sends the view's digest to some dead members and to seeds at which no
    /// member is known.
    pub(crate) fn contact_dead_and_seeds(&mut self, actions: &mut Vec<Action>) {
        if self.now < self.schedule.next_reconnect_at {
            return;
        }
        self.schedule.next_reconnect_at = self.now + self.config.probe_interval;
        let mut addrs = self.dead_addrs();
        addrs.extend(self.unoccupied_seeds());
        for _ in 0..self.contact_count(addrs.len()) {
            let index = (self.rng.next_u64() % addrs.len() as u64) as usize;
            let to = addrs.swap_remove(index);
            let departed = self.peers.departed().find(|peer| peer.update.addr == to);
            let update = departed.map(|peer| MemberUpdate::clone(&peer.update));
            let message = self.view_digest_message(update);
            actions.push(Action::Send { to, message });
        }
    }

    fn dead_addrs(&self) -> Vec<SocketAddr> {
        let departed = self.peers.departed();
        let dead = departed.filter(|peer| peer.update.state == MemberState::Dead);
        dead.map(|peer| peer.update.addr).collect()
    }

    /// Returns how many of `addr_count` addresses to contact in this round. In a large fleet most
    /// members randomly skip a round, so that a member that is back does not receive messages of
    /// all members at once.
    fn contact_count(&mut self, addr_count: usize) -> usize {
        let count = addr_count.min(MAX_CONTACTS);
        let contact_limit = CONTACTS_PER_PROBE_INTERVAL * addr_count;
        let by_all_members = count * self.peers.serving_count();
        if contact_limit < by_all_members
            && self.rng.next_u64() % by_all_members as u64 >= contact_limit as u64
        {
            return 0;
        }
        count
    }

    /// Returns the seeds at which no member is known. The member at a seed is cached, so that the
    /// whole table is searched only while the seed has none.
    fn unoccupied_seeds(&mut self) -> Vec<SocketAddr> {
        let mut unoccupied = Vec::new();
        for SeedAddr { addr, member } in &mut self.seeds {
            let is_at_seed = |peer: &Peer| peer.update.addr == *addr;
            let remembered = member.as_ref().and_then(|name| self.peers.get(name));
            if remembered.is_some_and(is_at_seed) {
                continue;
            }
            let occupant = self.peers.values().find(|peer| is_at_seed(peer));
            *member = occupant.map(|peer| MemberName::clone(&peer.update.name));
            if member.is_none() {
                unoccupied.push(*addr);
            }
        }
        unoccupied
    }

    /// If due, removes the members that departed at least `forget_after` ago.
    pub(crate) fn forget_departed(&mut self) {
        if self.now < self.schedule.next_forget_at {
            return;
        }
        self.schedule.next_forget_at = self.now + self.config.probe_interval;
        let has_expired = |peer: &&Peer| self.now >= peer.state_since + self.config.forget_after;
        let departed = self.peers.departed().filter(has_expired);
        let names: Vec<MemberName> = departed
            .map(|peer| MemberName::clone(&peer.update.name))
            .collect();
        for name in names {
            self.peers.remove(&name);
        }
    }
}
