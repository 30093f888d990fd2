//! One front end's view of the others: what it keeps, and what the view says. [`crate::handling`], [`crate::probing`]
//! and [`crate::spread`] change it; nothing here decides.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use rand_chacha::rand_core::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::claim::{Claim, Name, State};
use crate::digest::BucketDigests;
use crate::exchange::Exchange;
use crate::message::Message;
use crate::probing::{Helped, Probe};
use crate::rings::Rings;
use crate::spread::Spread;
use crate::table::PeerTable;
use crate::Micros;

/// A way to decide wrongly, for tests that have to notice it; without the feature `mutants` none ever holds.
#[doc(hidden)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// A process that was stopped accuses others at once of what was its own silence.
    NoSelfDoubt,
    /// A refutation is believed whatever its turn.
    AnyTurn,
    /// A refutation of an older life is believed, and a newer life is not told apart.
    AnyLife,
    /// One that answers others only is accused.
    CutIsDeath,
    /// One that watches a member is enough to have it dead.
    LoneJudge,
    /// A member that hears of its death does not refute it.
    NoRefutation,
    /// One of the buckets that differ is never asked for.
    BlindBucket,
    /// A piece that was asked for is taken whatever is known already.
    AnyPiece,
}

/// How a member behaves. The same everywhere, or the slowest decides how soon a death is told.
#[derive(Debug, Clone)]
pub struct MembershipConfig {
    /// Time between two pings to one that is watched.
    pub probe_every: Micros,
    /// How long an answer may take; the same again through others.
    pub reply: Micros,
    /// How long all that watch one have to be without an answer until it is dead; longer while some have not said so.
    pub suspect_for: Micros,
    /// How many watch each.
    pub rings: usize,
    /// How many are asked to ping one that did not answer.
    pub helpers: usize,
    /// Time between two rounds of telling news, and how many are told in each.
    pub spread_every: Micros,
    /// See above.
    pub fanout: usize,
    /// Time between two comparisons of whole views.
    pub exchange_every: Micros,
    /// Bytes a second that a member may send to make differing views the same.
    pub exchange_bytes_per_s: u64,
    /// How long the dead and those that left are remembered, and how long dead ones are knocked at.
    pub forget: Micros,
    /// The most members that are known, dead ones too.
    pub most: usize,
    /// How it decides wrongly, if it does.
    #[cfg(feature = "mutants")]
    pub mutant: Option<Mutant>,
}

impl Default for MembershipConfig {
    fn default() -> Self {
        MembershipConfig {
            probe_every: 1_000_000,
            reply: 300_000,
            suspect_for: 3_400_000,
            rings: 4,
            helpers: 3,
            spread_every: 100_000,
            fanout: 3,
            exchange_every: 5_000_000,
            exchange_bytes_per_s: 8_000,
            forget: 600_000_000,
            most: 16_384,
            #[cfg(feature = "mutants")]
            mutant: None,
        }
    }
}

/// What has to be done, in this order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send this there. It may be lost.
    Send(SocketAddr, Message),
    /// The view of a member has changed to this.
    Changed(Name, State),
    /// The link to a member is cut, though others reach it; or no longer.
    Link(Name, bool),
    /// A newer life of this member's own name has come: this process is the older one, and has to leave.
    Superseded,
    /// There is no room for a member of this name: `most` are known.
    Full(Name),
}

/// What is known of one other.
#[derive(Debug, Clone)]
pub(crate) struct Peer {
    /// Shared where views are copied: most claims never change.
    pub claim: Arc<Claim>,
    /// Since when it is in this state.
    pub since: Micros,
    /// Who has no answer of it, in this turn.
    pub accusers: BTreeSet<Name>,
    /// When it was last heard itself.
    pub heard: Micros,
    /// Since when it answers others only.
    pub cut: Option<Micros>,
    pub next_ping: Micros,
    /// How often it has come back from the dead in this life, and until when it is not believed to stay.
    pub revived: u32,
    /// Its place among those on the rings; the table sets it.
    pub place: Option<u32>,
}

/// A member as the view has it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Its name.
    pub name: Name,
    /// Where it is reached.
    pub addr: SocketAddr,
    /// How it is.
    pub state: State,
    /// Since when, on the caller's clock.
    pub since: Micros,
    /// Since when the link to it is cut, though others reach it.
    pub cut: Option<Micros>,
    /// When its life began, in Unix microseconds.
    pub life: u64,
    /// How often it has refuted.
    pub turn: u32,
}

/// Where another may be found, and which member was there when it was last looked for.
#[derive(Debug, Clone)]
pub(crate) struct Seed {
    pub addr: SocketAddr,
    pub member: Option<Name>,
}

/// One front end's view.
#[derive(Debug, Clone)]
pub struct Membership {
    pub(crate) config: MembershipConfig,
    pub(crate) own: Claim,
    pub(crate) seeds: Vec<Seed>,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) now: Micros,
    /// When the last turn was; a turn that comes much later than asked for was not this process's choice.
    pub(crate) turned: Option<Micros>,
    /// This process was stopped: whom it has heard since.
    pub(crate) woken: Option<(Micros, BTreeSet<Name>)>,
    /// From 0, well, to 8: this process has been slow, or hears little.
    pub(crate) strain: u32,
    pub(crate) peers: PeerTable,
    pub(crate) rings: Rings,
    pub(crate) watched: Option<BTreeSet<Name>>,
    pub(crate) probes: BTreeMap<u64, Probe>,
    pub(crate) helped: BTreeMap<u64, Helped>,
    pub(crate) next_seq: u64,
    pub(crate) spread: Spread,
    pub(crate) next_spread: Micros,
    pub(crate) next_exchange: Micros,
    pub(crate) exchange: Exchange,
    pub(crate) next_knock: Micros,
    pub(crate) next_forget: Micros,
    pub(crate) superseded: bool,
}

impl Membership {
    /// A member that knows only itself and where others may be; `life` is its start in Unix microseconds.
    #[must_use]
    pub fn new(
        config: MembershipConfig,
        name: Name,
        addr: SocketAddr,
        life: u64,
        seeds: &[SocketAddr],
        seed: u64,
    ) -> Self {
        let mut rings = Rings::new(config.rings.max(1));
        rings.add(&name);
        let exchange = Exchange::new(config.exchange_bytes_per_s);
        let own = Claim {
            name,
            addr,
            life,
            turn: 0,
            state: State::Alive,
            by: None,
        };
        Membership {
            config,
            own,
            seeds: seeds
                .iter()
                .filter(|s| **s != addr)
                .map(|s| Seed {
                    addr: *s,
                    member: None,
                })
                .collect(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            turned: None,
            woken: None,
            strain: 0,
            peers: PeerTable::default(),
            rings,
            watched: None,
            probes: BTreeMap::new(),
            helped: BTreeMap::new(),
            next_seq: seed & 0xffff_ffff,
            spread: Spread::default(),
            next_spread: 0,
            next_exchange: 0,
            exchange,
            next_knock: 0,
            next_forget: 0,
            superseded: false,
        }
    }

    #[cfg(feature = "mutants")]
    pub(crate) fn mutated(&self, how: Mutant) -> bool {
        self.config.mutant == Some(how)
    }

    #[cfg(not(feature = "mutants"))]
    #[allow(clippy::unused_self)]
    pub(crate) fn mutated(&self, _: Mutant) -> bool {
        false
    }

    /// This member's name.
    #[must_use]
    pub fn name(&self) -> &Name {
        &self.own.name
    }

    /// What this member says of itself.
    #[must_use]
    pub fn own_claim(&self) -> &Claim {
        &self.own
    }

    /// Takes over the view of another member, as of one that has been up for long. Nothing of it is news: it is not
    /// told on, and no change is noted.
    pub fn adopt_view(&mut self, other: &Membership) {
        let mut peers = other.peers.clone();
        peers.remove(&self.own.name);
        peers.insert(Peer::new(other.own.clone(), self.now));
        self.peers = peers;
        self.rings = other.rings.clone();
        self.rings.add(&self.own.name);
        self.watched = None;
    }

    /// Takes claims that are no news, and drops the room that the tables hold in reserve.
    pub fn adopt_claims(&mut self, claims: &[Claim]) {
        for claim in claims.iter().filter(|claim| claim.name != self.own.name) {
            let peer = Peer::new(claim.clone(), self.now);
            if peer.on_rings() {
                self.rings.add(&claim.name);
            }
            self.peers.insert(peer);
        }
        self.peers.shrink();
        self.rings.shrink();
        self.watched = None;
    }

    /// The newest life that is known of another.
    #[must_use]
    pub fn life_of(&self, name: &str) -> Option<u64> {
        self.peers.get(name).map(|peer| peer.claim.life)
    }

    /// Whether it doubts itself: it was stopped, and has not heard enough since.
    #[must_use]
    pub fn doubts_itself(&self) -> bool {
        self.woken.is_some()
    }

    /// All others that are known, by name.
    pub fn members(&self) -> impl Iterator<Item = Member> + '_ {
        self.peers.values().map(|p| Member {
            name: Name::clone(&p.claim.name),
            addr: p.claim.addr,
            state: p.claim.state,
            since: p.since,
            cut: p.cut,
            life: p.claim.life,
            turn: p.claim.turn,
        })
    }

    /// How many may be serving, this one too: alive and suspected ones, since one that only this side can't hear still
    /// sends to engines.
    #[must_use]
    pub fn serving(&self) -> u32 {
        u32::try_from(self.peers.serving())
            .unwrap_or(u32::MAX)
            .saturating_add(u32::from(!self.superseded))
    }

    /// Messages that were not sent again, as the queue of news was full.
    #[must_use]
    pub fn news_dropped(&self) -> u64 {
        self.spread.dropped
    }

    /// Comparisons and requests of others that were not answered, as the budget was spent or too many were at work.
    #[must_use]
    pub fn exchanges_dropped(&self) -> u64 {
        self.exchange.dropped
    }

    /// A number that two views share if they hold the same.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.digests().total()
    }

    /// What the view comes to by bucket, this member included.
    pub(crate) fn digests(&self) -> BucketDigests {
        let mut digests = self.peers.digests().clone();
        digests.add(&self.own);
        digests
    }
}

impl Peer {
    /// One that is known from now on.
    pub fn new(claim: Claim, now: Micros) -> Self {
        Peer {
            since: now,
            accusers: claim.by.iter().cloned().collect(),
            heard: now,
            cut: None,
            next_ping: now,
            revived: 0,
            place: None,
            claim: Arc::new(claim),
        }
    }

    /// On the rings: it is watched, and watches.
    pub fn on_rings(&self) -> bool {
        matches!(self.claim.state, State::Alive | State::Suspect)
    }
}
