//! Which engine a query goes to.
//!
//! - Decides: the engine with the highest [`PlacementScore`] among those that are allowed
//!   ([`eligibility`](crate::eligibility)) and have capacity ([`capacity`](crate::capacity)).
//! - Inputs: the free threads of each engine, its zone, warm-up and recent load, and this
//!   gateway's seed.
//! - Rule: where engines are few, or this gateway's share of each is large, each query scans
//!   all of them. Of many, it samples a few: first from this gateway's subset, as many engines
//!   as its rate of queries occupies, then from ever more until one is idle.
//! - Reason: a scan of thousands of engines for each query would take too long, and an engine
//!   that a gateway uses often has a warm connection and up-to-date statistics. Sampling does
//!   badly where few engines fit.

use rand_chacha::rand_core::RngCore;

use crate::interface::{EngineId, EngineKind, Micros, QueryId};
use crate::state::{stable_hash_fraction, EngineRecord, Query, Region};
use crate::units::seconds;
use crate::Gateway;

/// Up to so many engines each query scans all of them.
pub(crate) const MAX_SCANNED_ENGINES: usize = 128;
/// Engines in a sample.
const SAMPLE_SIZE: usize = 16;
/// Each sample is drawn from so many times as many engines as the one before.
const SAMPLE_GROWTH: usize = 4;
/// Where no sampled engine fits, all are searched; at most this often.
const SEARCH_INTERVAL_US: Micros = 10_000;
/// Engines in the subset of a gateway at least, and queries a second for each further one.
const MIN_SUBSET_SIZE: f64 = 10.0;
const QUERIES_PER_S_PER_SUBSET_ENGINE: f64 = 8.0;
/// The window of arrivals where there is no retry budget to define one.
const DEFAULT_RATE_WINDOW_S: f64 = 1.0;
/// Control periods after which an engine's headroom counts no more.
const HEADROOM_FADE_PERIODS: f64 = 4.0;
/// The least warm fraction by which a limit is divided.
const MIN_WARM_FRACTION: f64 = 1e-3;

/// How well an engine suits a query. The fields are compared in this order, higher first.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
struct PlacementScore {
    /// The last attempt did not end there.
    is_another_engine: bool,
    /// It was uncordoned and has not answered since, and the query suits a first trial. Without
    /// that it would come last, as the least free, while it warms up.
    wants_first_trial: bool,
    /// Free threads of this gateway's fair share. The growth of a limit only matters for whether
    /// a query fits: otherwise the first engine to grow would attract all queries of all
    /// gateways.
    free_threads: f64,
    /// It is in this gateway's zone.
    is_in_own_zone: bool,
    /// It is in this gateway's subset.
    is_in_subset: bool,
    /// How much less loaded than usual it was last seen.
    headroom: f64,
    /// Where this gateway's share of each engine is less than a thread: a random draw by which
    /// each engine comes first with a probability proportional to its limit. Otherwise all
    /// gateways would choose the largest kind.
    weighted_draw: f64,
}

impl PlacementScore {
    const WORST: PlacementScore = PlacementScore {
        is_another_engine: false,
        wants_first_trial: false,
        free_threads: f64::NEG_INFINITY,
        is_in_own_zone: false,
        is_in_subset: false,
        headroom: 0.0,
        weighted_draw: 0.0,
    };
}

/// The engines among which the best is sought.
#[derive(Debug)]
enum Candidates {
    /// All of them. The first ones of this gateway's own order are its subset; `nearby` engines
    /// are available in its zone.
    All { nearby: f64 },
    /// A sample, taken from the subset first; all count as part of it.
    Sample(Vec<EngineId>),
    /// All of them, since no sampled one fits; none counts as part of the subset.
    FullSearch,
}

impl Candidates {
    /// The number of engines of which the subset is the first part.
    fn subset_population(&self) -> f64 {
        match self {
            Candidates::All { nearby } => *nearby,
            Candidates::Sample(_) => 0.0,
            Candidates::FullSearch => f64::MAX,
        }
    }
}

/// The candidates with the highest score so far.
#[derive(Debug)]
struct BestCandidates {
    score: PlacementScore,
    engines: Vec<EngineId>,
}

impl Default for BestCandidates {
    fn default() -> Self {
        BestCandidates {
            score: PlacementScore::WORST,
            engines: Vec::new(),
        }
    }
}

impl BestCandidates {
    fn offer(&mut self, engine: EngineId, score: PlacementScore) {
        if score > self.score {
            self.score = score;
            self.engines.clear();
        }
        if score >= self.score {
            self.engines.push(engine);
        }
    }

    /// One of the best at random.
    fn pick(&self, rng: &mut impl RngCore) -> Placement {
        let count = self.engines.len();
        let index = if count > 1 {
            rng.next_u32() as usize % count
        } else {
            0
        };
        Placement {
            engine: self.engines.get(index).copied(),
            is_idle: self.score.is_another_engine && self.score.free_threads >= 0.0,
        }
    }
}

/// A random number between 0 and 1, neither of them included.
pub(crate) fn draw_fraction(rng: &mut impl RngCore) -> f64 {
    (f64::from(rng.next_u32()) + 0.5) / 4_294_967_296.0
}

/// The best of some candidates.
#[derive(Debug, Clone, Copy)]
struct Placement {
    engine: Option<EngineId>,
    /// It has threads free, and the last attempt did not end there.
    is_idle: bool,
}

impl Gateway {
    /// Whether engines are so few, or this gateway's share of each so large, that each query
    /// scans all of them.
    pub(crate) fn scans_all_engines(&self) -> bool {
        let is_fractional =
            |kind: &EngineKind| self.has_fractional_share(kind.cores.unwrap_or(1.0));
        self.engines.len() <= MAX_SCANNED_ENGINES
            || !self.settings.engine_kinds.iter().all(is_fractional)
    }

    /// The engine that a query goes to, if it may go anywhere now.
    pub(crate) fn choose_engine(&mut self, id: QueryId) -> Option<EngineId> {
        let query = self.queries.get(id)?;
        if !self.engines_have_capacity(query) {
            return None;
        }
        if self.scans_all_engines() {
            let nearby = self.count_nearby() as f64;
            return self.best_of(id, &Candidates::All { nearby }).engine;
        }
        let sampled = self.choose_from_samples(id);
        sampled.or_else(|| self.search_all(id))
    }

    /// Samples ever more engines, first in this gateway's zone and then everywhere, until one is
    /// idle. Otherwise the latest one that fits is taken.
    fn choose_from_samples(&mut self, id: QueryId) -> Option<EngineId> {
        let subset = self.subset_size();
        let mut best_fit = None;
        for region in [Region::OwnZone, Region::Everywhere] {
            let (mut among, listed) = (subset, self.sampler.len(region));
            while among < SAMPLE_GROWTH * listed {
                let sample = self
                    .sampler
                    .sample(region, among, SAMPLE_SIZE, &mut self.rng);
                let best = self.best_of(id, &Candidates::Sample(sample));
                if best.is_idle {
                    return best.engine;
                }
                best_fit = best.engine.or(best_fit);
                among *= SAMPLE_GROWTH;
            }
        }
        best_fit
    }

    /// Searches all engines, unless that was done a moment ago.
    fn search_all(&mut self, id: QueryId) -> Option<EngineId> {
        if self.now < self.overall.full_search_at + SEARCH_INTERVAL_US {
            return None;
        }
        self.overall.full_search_at = self.now;
        self.best_of(id, &Candidates::FullSearch).engine
    }

    /// How many engines this gateway's rate of queries occupies.
    fn subset_size(&self) -> usize {
        let budget = self.settings.retry_budget;
        let window = budget.map_or(DEFAULT_RATE_WINDOW_S, |budget| {
            seconds(budget.window.max(1))
        });
        let rate = self.queries.history.remembered_arrivals() as f64 / window;
        (rate / QUERIES_PER_S_PER_SUBSET_ENGINE).max(MIN_SUBSET_SIZE) as usize
    }

    /// Available engines in this gateway's zone.
    fn count_nearby(&self) -> usize {
        let engines = self.engines.values();
        engines
            .filter(|engine| self.is_in_own_zone(engine) && self.is_available(engine))
            .count()
    }

    /// The candidate with the highest score among those that are allowed and have capacity.
    fn best_of(&mut self, id: QueryId, candidates: &Candidates) -> Placement {
        let mut best = BestCandidates::default();
        let Some(query) = self.queries.get(id) else {
            return best.pick(&mut self.rng);
        };
        let subset_population = candidates.subset_population();
        let (all, sample) = match candidates {
            Candidates::Sample(sample) => (None, sample.as_slice()),
            Candidates::All { .. } | Candidates::FullSearch => (Some(&self.engines), &[][..]),
        };
        let all = all.into_iter().flatten();
        let sampled = sample
            .iter()
            .filter_map(|id| self.engines.get_key_value(id));
        for (&engine_id, engine) in all.chain(sampled) {
            let is_allowed = self.check_send(query, engine).is_ok();
            if !is_allowed || self.check_capacity(query, engine).is_err() {
                continue;
            }
            let is_fractional = self.has_fractional_share(engine.cores);
            let draw = is_fractional.then(|| draw_fraction(&mut self.rng));
            let is_in_subset = is_fractional
                && stable_hash_fraction(self.seed, engine_id) * subset_population < MIN_SUBSET_SIZE;
            let score = self.placement_score(query, engine, draw, is_in_subset);
            best.offer(engine_id, score);
        }
        best.pick(&mut self.rng)
    }

    /// The score of an engine for a query; `draw` is a random number from 0 to 1 where this
    /// gateway's share of the engine is less than a thread.
    fn placement_score(
        &self,
        query: &Query,
        engine: &EngineRecord,
        draw: Option<f64>,
        is_in_subset: bool,
    ) -> PlacementScore {
        let limit = self.thread_limit(engine);
        let warm_fraction = self.warm_fraction(engine);
        let (own_threads, weighted_draw) = match draw {
            // The slow start draw already limits an engine that warms up, so its weight does not.
            Some(draw) => (
                0.0,
                draw.ln() / (limit / warm_fraction.max(MIN_WARM_FRACTION)),
            ),
            None if limit > 0.0 => (self.fair_share_of(engine.cores) * warm_fraction, 0.0),
            None => (0.0, 0.0),
        };
        PlacementScore {
            is_another_engine: query.last_engine != Some(engine.listed.id),
            wants_first_trial: self.wants_first_trial(query, engine),
            free_threads: own_threads - self.competing_threads(query, &engine.threads),
            is_in_own_zone: self.is_in_own_zone(engine),
            is_in_subset,
            headroom: self.recent_headroom(engine),
            weighted_draw,
        }
    }

    /// An engine that was uncordoned is tried by one short query that may be repeated.
    fn wants_first_trial(&self, query: &Query, engine: &EngineRecord) -> bool {
        let is_short = query.work <= self.overall.work.mean;
        engine.awaits_first_answer
            && engine.running.is_empty()
            && is_short
            && self.is_safe_to_duplicate(query)
    }

    /// An engine's headroom; it fades, since all gateways that saw it act on it.
    fn recent_headroom(&self, engine: &EngineRecord) -> f64 {
        let lifetime = HEADROOM_FADE_PERIODS * seconds(self.control_period());
        let age = seconds(self.now - engine.headroom_at) / lifetime;
        engine.headroom * (1.0 - age).max(0.0)
    }

    fn is_in_own_zone(&self, engine: &EngineRecord) -> bool {
        let zone = self.settings.zone;
        zone.is_none_or(|zone| zone == engine.listed.zone)
    }
}
