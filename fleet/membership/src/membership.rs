//! One gateway's view of the fleet: its state and the methods that read it.
//!
//! Other modules change the state, each for one concern: [`crate::merging`],
//! [`crate::dissemination`], [`crate::failure_detector`], [`crate::anti_entropy`] and
//! [`crate::reconnect`]. [`crate::message_handler`] and [`crate::ticker`] are their entry points.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use rand_chacha::rand_core::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::config::{MembershipConfig, Mutant};
use crate::gossip_queue::GossipQueue;
use crate::local_health::LocalHealth;
use crate::member_update::{MemberName, MemberState, MemberUpdate};
use crate::message::Message;
use crate::observer_rings::ObserverRings;
use crate::peer::{Member, Peer};
use crate::peer_table::PeerTable;
use crate::probe_table::ProbeTable;
use crate::transfers::AntiEntropyState;
use crate::view_digest::BucketDigests;
use crate::Micros;

/// An action for the caller. Actions must be executed in the order in which they are returned.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a message. The protocol tolerates its loss.
    Send {
        /// Address of the receiver.
        to: SocketAddr,
        /// Message to send.
        message: Message,
    },
    /// Report that the state of a member has changed in the view.
    StateChanged {
        /// Name of the member.
        member: MemberName,
        /// New state of the member.
        state: MemberState,
    },
    /// Report that the link to a member was cut or restored.
    LinkChanged {
        /// Name of the member.
        member: MemberName,
        /// New state of the link.
        link: LinkState,
    },
    /// Report that a process with this member's name and a newer incarnation has appeared. This
    /// process takes no further part in the fleet.
    Superseded,
    /// Report that a member was not added to the view because [`MembershipConfig::max_members`]
    /// are known.
    TableFull {
        /// Name of the member that was not added.
        rejected: MemberName,
    },
}

/// State of the link between this member and another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkState {
    /// The other member is alive but its answers to this member's probes don't arrive.
    Cut,
    /// The other member's answers to this member's probes arrive again.
    Restored,
}

/// Identity of a new member.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Name of the member. It stays the same when the member restarts.
    pub name: MemberName,
    /// Address at which other members reach this one.
    pub addr: SocketAddr,
    /// Start time of the member's process, in Unix microseconds.
    pub incarnation: u64,
}

/// An address at which another member may be found.
#[derive(Debug, Clone)]
pub(crate) struct SeedAddr {
    pub addr: SocketAddr,
    /// The member that was last known at this address.
    pub member: Option<MemberName>,
}

/// Times at which periodic work is due.
#[derive(Debug, Clone, Default)]
pub(crate) struct Schedule {
    pub next_gossip_at: Micros,
    pub next_comparison_at: Micros,
    pub next_reconnect_at: Micros,
    pub next_forget_at: Micros,
}

/// One gateway's view of the fleet.
#[derive(Debug, Clone)]
pub struct Membership {
    pub(crate) config: MembershipConfig,
    pub(crate) own: MemberUpdate,
    pub(crate) seeds: Vec<SeedAddr>,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) now: Micros,
    pub(crate) health: LocalHealth,
    pub(crate) peers: PeerTable,
    pub(crate) rings: ObserverRings,
    /// Cache of the members that this one observes. `None` if the rings have changed since.
    pub(crate) observed_members: Option<BTreeSet<MemberName>>,
    pub(crate) probes: ProbeTable,
    pub(crate) gossip: GossipQueue,
    pub(crate) anti_entropy: AntiEntropyState,
    pub(crate) schedule: Schedule,
    pub(crate) is_superseded: bool,
}

impl Membership {
    /// Creates a member that knows only itself and `seeds`, the addresses at which others may be
    /// found. `rng_seed` seeds the generator for its random choices, and probes are
    /// numbered from it. It has to be random and new with each start: otherwise an answer to a probe
    /// of the process before could count as the answer to a probe of this one.
    #[must_use]
    pub fn new(
        config: MembershipConfig,
        identity: Identity,
        seeds: &[SocketAddr],
        rng_seed: u64,
    ) -> Self {
        let own = MemberUpdate {
            name: identity.name,
            addr: identity.addr,
            incarnation: identity.incarnation,
            refutations: 0,
            state: MemberState::Alive,
            accuser: None,
        };
        let mut rings = ObserverRings::new(config.observers_per_member.max(1));
        rings.add(&own.name);
        let other_seeds = seeds.iter().filter(|seed| **seed != own.addr);
        let seeds = other_seeds.map(|addr| SeedAddr {
            addr: *addr,
            member: None,
        });
        Membership {
            seeds: seeds.collect(),
            rng: ChaCha8Rng::seed_from_u64(rng_seed),
            now: 0,
            health: LocalHealth::default(),
            peers: PeerTable::default(),
            rings,
            observed_members: None,
            probes: ProbeTable::new(rng_seed & 0xffff_ffff),
            gossip: GossipQueue::default(),
            anti_entropy: AntiEntropyState::new(config.anti_entropy_bytes_per_s),
            schedule: Schedule::default(),
            is_superseded: false,
            config,
            own,
        }
    }

    pub(crate) fn has_mutant(&self, mutant: Mutant) -> bool {
        self.config.has_mutant(mutant)
    }

    /// Returns this member's name.
    #[must_use]
    pub fn name(&self) -> &MemberName {
        &self.own.name
    }

    /// Returns the update that this member sends about itself.
    #[must_use]
    pub fn own_update(&self) -> &MemberUpdate {
        &self.own
    }

    /// Replaces the view by a copy of another member's view, as if this member had been running for
    /// long. The copied updates are neither gossiped nor reported.
    pub fn adopt_view(&mut self, other: &Membership) {
        let mut peers = other.peers.clone();
        peers.remove(&self.own.name);
        peers.insert(Peer::new(other.own.clone(), self.now));
        self.peers = peers;
        self.rings = other.rings.clone();
        self.rings.add(&self.own.name);
        self.observed_members = None;
    }

    /// Adds updates to the view without gossiping or reporting them, and frees unused memory.
    pub fn adopt_updates(&mut self, updates: &[MemberUpdate]) {
        for update in updates {
            if update.name == self.own.name {
                continue;
            }
            let peer = Peer::new(update.clone(), self.now);
            if peer.is_serving() {
                self.rings.add(&update.name);
            }
            self.peers.insert(peer);
        }
        self.peers.shrink_to_fit();
        self.rings.shrink_to_fit();
        self.observed_members = None;
    }

    /// Returns the newest known incarnation of another member, or `None` if it is unknown.
    #[must_use]
    pub fn incarnation_of(&self, name: &str) -> Option<u64> {
        self.peers.get(name).map(|peer| peer.update.incarnation)
    }

    /// Returns whether this process was paused and has not yet received messages of enough other
    /// members. Until then it suspects nobody.
    #[must_use]
    pub fn is_recovering_from_pause(&self) -> bool {
        self.health.is_recovering()
    }

    /// Returns all other members in the view, sorted by name.
    pub fn members(&self) -> impl Iterator<Item = Member> + '_ {
        self.peers.values().map(Member::from)
    }

    /// Returns the number of gateways that may be serving. This one counts unless it was
    /// superseded. Suspects count because they may only be unreachable from here.
    #[must_use]
    pub fn serving_count(&self) -> u32 {
        u32::try_from(self.peers.serving_count())
            .unwrap_or(u32::MAX)
            .saturating_add(u32::from(!self.is_superseded))
    }

    /// Returns how many updates were dropped because the gossip queue was full.
    #[must_use]
    pub fn gossip_dropped(&self) -> u64 {
        self.gossip.dropped
    }

    /// Returns how many comparisons and requests were not answered because the byte budget was used
    /// up or too many transfers were in progress.
    #[must_use]
    pub fn anti_entropy_dropped(&self) -> u64 {
        self.anti_entropy.dropped
    }

    /// Returns a digest of the view, including this member. Two members whose views contain the
    /// same updates have equal digests.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.bucket_digests().total()
    }

    /// Returns the digests of the view by bucket, including this member.
    pub(crate) fn bucket_digests(&self) -> BucketDigests {
        let mut digests = self.peers.digests().clone();
        digests.add(&self.own);
        digests
    }

    /// Returns whether this member has left or was superseded.
    pub(crate) fn has_stopped(&self) -> bool {
        self.is_superseded || self.own.state == MemberState::Left
    }

    /// Returns the addresses of up to `count` random members that may be serving, other than
    /// `excluded`.
    pub(crate) fn random_members(
        &mut self,
        count: usize,
        excluded: &MemberName,
    ) -> Vec<SocketAddr> {
        self.peers.random_serving(count, excluded, &mut self.rng)
    }
}
