//! One gateway's view of the fleet: its state and what can be read of it.
//!
//! These modules change it, each for one concern: [`crate::merging`], [`crate::dissemination`],
//! [`crate::failure_detector`], [`crate::anti_entropy`] and [`crate::reconnect`];
//! [`crate::message_handler`] and [`crate::ticker`] are the entries.

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

/// What the caller has to do, in the order given.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a message, which may be lost.
    Send {
        /// Where to.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// The view of a member has changed.
    StateChanged {
        /// The member.
        member: MemberName,
        /// Its new state.
        state: MemberState,
    },
    /// The link to a member has changed.
    LinkChanged {
        /// The member.
        member: MemberName,
        /// The link's new state.
        link: LinkState,
    },
    /// A process with this member's name and a newer incarnation has appeared: this one has to
    /// stop.
    Superseded,
    /// A member is not added to the view, as [`MembershipConfig::max_members`] are known.
    TableFull {
        /// The member that is not added.
        rejected: MemberName,
    },
}

/// The state of the link to a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkState {
    /// Only other members have answers from it.
    Cut,
    /// It answers this member's probes again.
    Restored,
}

/// How a new member is started.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Its name, the same over all its restarts.
    pub name: MemberName,
    /// Where others reach it.
    pub addr: SocketAddr,
    /// When its process started, in Unix microseconds.
    pub incarnation: u64,
}

/// An address at which another member may be found.
#[derive(Debug, Clone)]
pub(crate) struct SeedAddr {
    pub addr: SocketAddr,
    /// The member that was last known there.
    pub member: Option<MemberName>,
}

/// When periodic work is due.
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
    /// The members that this one observes; `None` since the rings last changed.
    pub(crate) subjects: Option<BTreeSet<MemberName>>,
    pub(crate) probes: ProbeTable,
    pub(crate) gossip: GossipQueue,
    pub(crate) anti_entropy: AntiEntropyState,
    pub(crate) schedule: Schedule,
    pub(crate) is_superseded: bool,
}

impl Membership {
    /// Creates a member that knows only itself and `seeds`, the addresses at which others may be
    /// found. `rng_seed` makes its random choices.
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
            subjects: None,
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

    /// This member's name.
    #[must_use]
    pub fn name(&self) -> &MemberName {
        &self.own.name
    }

    /// What this member says of itself.
    #[must_use]
    pub fn own_update(&self) -> &MemberUpdate {
        &self.own
    }

    /// Copies the view of another member, as if this one had long been up. Nothing of it is
    /// gossiped or reported.
    pub fn adopt_view(&mut self, other: &Membership) {
        let mut peers = other.peers.clone();
        peers.remove(&self.own.name);
        peers.insert(Peer::new(other.own.clone(), self.now));
        self.peers = peers;
        self.rings = other.rings.clone();
        self.rings.add(&self.own.name);
        self.subjects = None;
    }

    /// Adds updates that are neither gossiped nor reported, and frees memory that is not used.
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
        self.subjects = None;
    }

    /// The newest incarnation that is known of another member.
    #[must_use]
    pub fn incarnation_of(&self, name: &str) -> Option<u64> {
        self.peers.get(name).map(|peer| peer.update.incarnation)
    }

    /// Whether its process was paused and has no messages of enough others since to suspect
    /// anybody.
    #[must_use]
    pub fn is_recovering_from_pause(&self) -> bool {
        self.health.is_recovering()
    }

    /// All other members that are known, by name.
    pub fn members(&self) -> impl Iterator<Item = Member> + '_ {
        self.peers.values().map(Member::from)
    }

    /// How many gateways may be serving, this one included. Suspects count, since they may only be
    /// unreachable from here.
    #[must_use]
    pub fn serving_count(&self) -> u32 {
        u32::try_from(self.peers.serving_count())
            .unwrap_or(u32::MAX)
            .saturating_add(u32::from(!self.is_superseded))
    }

    /// How many updates were dropped because the gossip queue was full.
    #[must_use]
    pub fn gossip_dropped(&self) -> u64 {
        self.gossip.dropped
    }

    /// How many comparisons and requests were not answered, for lack of budget or because of too
    /// many transfers.
    #[must_use]
    pub fn anti_entropy_dropped(&self) -> u64 {
        self.anti_entropy.dropped
    }

    /// A digest of the view: equal for two members that know the same.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.bucket_digests().total()
    }

    /// The digests of the view by bucket, this member included.
    pub(crate) fn bucket_digests(&self) -> BucketDigests {
        let mut digests = self.peers.digests().clone();
        digests.add(&self.own);
        digests
    }

    /// Whether it takes no further part in the fleet.
    pub(crate) fn has_stopped(&self) -> bool {
        self.is_superseded || self.own.state == MemberState::Left
    }

    /// Up to `count` random members that may be serving, other than `excluded`.
    pub(crate) fn random_members(
        &mut self,
        count: usize,
        excluded: &MemberName,
    ) -> Vec<SocketAddr> {
        self.peers.random_serving(count, excluded, &mut self.rng)
    }
}
