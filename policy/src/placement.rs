//! Decides which engine a query goes to.
//!
//! - Decides: this module chooses the engine with the highest [`PlacementScore`] among the engines
//!   that are allowed ([`eligibility`](crate::eligibility)) and have capacity
//!   ([`capacity`](crate::capacity)).
//! - Inputs: it uses the free threads of each engine, its zone, warm-up and recent load, and this
//!   gateway's seed.
//! - Rule: if engines are few, or this gateway's share of any engine kind is at least one thread,
//!   each query scans all engines. Otherwise it samples: first from this gateway's subset, which
//!   has as many engines as its rate of queries needs, then from larger and larger sets until the
//!   best engine of a sample has enough free threads. If no sampled engine fits, all engines are
//!   searched, but not for every query.
//! - Reason: a scan of thousands of engines for each query would take too long. An engine that a
//!   gateway uses often has a warm connection and up-to-date statistics. Sampling alone rarely
//!   finds an engine if few engines fit, hence the search.

use rand_chacha::rand_core::RngCore;

use crate::interface::{EngineId, EngineKind, Micros, QueryId};
use crate::state::{stable_hash_fraction, EngineRecord, Query, Region};
use crate::units::seconds;
use crate::Gateway;

/// The maximum number of engines that are all scanned for each query.
pub(crate) const MAX_SCANNED_ENGINES: usize = 128;
/// The number of engines in a sample.
const SAMPLE_SIZE: usize = 16;
/// The factor by which the set that a sample is drawn from grows with each sample.
const SAMPLE_GROWTH: usize = 4;
/// The minimum interval between searches of all engines, in microseconds.
const SEARCH_INTERVAL_US: Micros = 10_000;
/// The minimum number of engines in the subset of a gateway.
const MIN_SUBSET_SIZE: f64 = 10.0;
/// The rate of queries for each engine in a gateway's subset, in queries per second.
const QUERIES_PER_S_PER_SUBSET_ENGINE: f64 = 8.0;
/// The window in which arrivals are counted if there is no retry budget with a window, in seconds.
const DEFAULT_RATE_WINDOW_S: f64 = 1.0;
/// The age at which an engine's headroom has faded to 0, in control periods.
const HEADROOM_FADE_PERIODS: f64 = 4.0;
/// The minimum warm fraction that a limit is divided by.
const MIN_WARM_FRACTION: f64 = 1e-3;

/// How well an engine suits a query. Scores are compared field by field in this order; higher is
/// better.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
struct PlacementScore {
    /// Whether the latest attempt of the query ended at another engine, or there was none.
    is_another_engine: bool,
    /// Whether the engine was uncordoned and has not answered since, and the query suits a first
    /// trial. Without this field the engine would rank last while it warms up, since it has the
    /// fewest free threads.
    suits_first_trial: bool,
    /// The free threads of this gateway's fair share; a share of less than a thread counts as 0.
    /// The growth of a limit counts for whether a query fits, but not here: otherwise the first
    /// engine whose limit grows would attract all queries of all gateways.
    free_threads: f64,
    /// Whether the engine is in this gateway's zone.
    is_in_own_zone: bool,
    /// Whether the engine is in this gateway's subset.
    is_in_subset: bool,
    /// How much less loaded than usual the engine was when last observed.
    headroom: f64,
    /// A random draw that ranks each engine first with a probability proportional to its limit. It
    /// is used if this gateway's share of the engine is less than a thread, since otherwise all
    /// gateways would choose the largest kind.
    weighted_draw: f64,
}

impl PlacementScore {
    const WORST: PlacementScore = PlacementScore {
        is_another_engine: false,
        suits_first_trial: false,
        free_threads: f64::NEG_INFINITY,
        is_in_own_zone: false,
        is_in_subset: false,
        headroom: 0.0,
        weighted_draw: 0.0,
    };
}

/// The engines that one is chosen from.
#[derive(Debug)]
enum Candidates {
    /// All engines are candidates. A hash of the engine and this gateway's seed decides whether the
    /// engine is in the subset, so that about `MIN_SUBSET_SIZE` of the `own_zone_engines` available
    /// engines in this gateway's zone are.
    All { own_zone_engines: f64 },
    /// A sample of engines. All of them count as part of the subset.
    Sample(Vec<EngineId>),
    /// All engines are candidates, because no sampled engine fits. None counts as part of the
    /// subset.
    FullSearch,
}

impl Candidates {
    /// Returns the number of engines that the subset is taken from. The larger the number, the
    /// fewer of the candidates are in the subset: with 0 all are, and with `f64::MAX` none is.
    fn subset_population(&self) -> f64 {
        match self {
            Candidates::All { own_zone_engines } => *own_zone_engines,
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

    /// Returns one of the best candidates at random.
    fn pick(&self, rng: &mut impl RngCore) -> Placement {
        let count = self.engines.len();
        let index = if count > 1 {
            rng.next_u32() as usize % count
        } else {
            0
        };
        Placement {
            engine: self.engines.get(index).copied(),
            ends_sampling: self.score.is_another_engine && self.score.free_threads >= 0.0,
        }
    }
}

/// Draws a random number between 0 and 1, both excluded.
pub(crate) fn draw_fraction(rng: &mut impl RngCore) -> f64 {
    (f64::from(rng.next_u32()) + 0.5) / 4_294_967_296.0
}

/// The best engine among candidates.
#[derive(Debug, Clone, Copy)]
struct Placement {
    engine: Option<EngineId>,
    /// Whether no better engine has to be looked for in further samples: `free_threads` is at least
    /// 0, and the latest attempt of the query did not end at this engine.
    ends_sampling: bool,
}

impl Gateway {
    /// Returns whether each query scans all engines. This is so if engines are few, or if this
    /// gateway's fair share of an engine of any kind is at least a thread.
    pub(crate) fn scans_all_engines(&self) -> bool {
        let is_fractional =
            |kind: &EngineKind| self.has_fractional_share(kind.cores.unwrap_or(1.0));
        self.engines.len() <= MAX_SCANNED_ENGINES
            || !self.settings.engine_kinds.iter().all(is_fractional)
    }

    /// Returns the engine that a query goes to, or `None` if it may go to none now.
    pub(crate) fn choose_engine(&mut self, id: QueryId) -> Option<EngineId> {
        let query = self.queries.get(id)?;
        if !self.engines_have_capacity(query) {
            return None;
        }
        if self.scans_all_engines() {
            let own_zone_engines = self.count_available_in_own_zone() as f64;
            return self
                .best_of(id, &Candidates::All { own_zone_engines })
                .engine;
        }
        let sampled = self.choose_from_samples(id);
        sampled.or_else(|| self.search_all(id))
    }

    /// Samples from larger and larger sets of engines, first in this gateway's zone and then
    /// everywhere, until the best engine of a sample ends the sampling. If none does, returns the
    /// latest engine that fits.
    fn choose_from_samples(&mut self, id: QueryId) -> Option<EngineId> {
        let subset = self.subset_size();
        let mut best_fit = None;
        for region in [Region::OwnZone, Region::Everywhere] {
            let (mut prefix_len, listed) = (subset, self.sampler.len(region));
            while prefix_len < SAMPLE_GROWTH * listed {
                let sample = self
                    .sampler
                    .sample(region, prefix_len, SAMPLE_SIZE, &mut self.rng);
                let best = self.best_of(id, &Candidates::Sample(sample));
                if best.ends_sampling {
                    return best.engine;
                }
                best_fit = best.engine.or(best_fit);
                prefix_len *= SAMPLE_GROWTH;
            }
        }
        best_fit
    }

    /// Searches all engines, unless the latest search was less than `SEARCH_INTERVAL_US` ago.
    fn search_all(&mut self, id: QueryId) -> Option<EngineId> {
        if self.now < self.overall.full_search_at + SEARCH_INTERVAL_US {
            return None;
        }
        self.overall.full_search_at = self.now;
        self.best_of(id, &Candidates::FullSearch).engine
    }

    /// Returns the number of engines in this gateway's subset, by its rate of queries.
    fn subset_size(&self) -> usize {
        let budget = self.settings.retry_budget;
        let window = budget.map_or(DEFAULT_RATE_WINDOW_S, |budget| {
            seconds(budget.window.max(1))
        });
        let rate = self.queries.history.remembered_arrivals() as f64 / window;
        (rate / QUERIES_PER_S_PER_SUBSET_ENGINE).max(MIN_SUBSET_SIZE) as usize
    }

    /// Counts the available engines in this gateway's zone.
    fn count_available_in_own_zone(&self) -> usize {
        let engines = self.engines.values();
        engines
            .filter(|engine| self.is_in_own_zone(engine) && self.is_available(engine))
            .count()
    }

    /// Returns the candidate with the highest score among those that are allowed and have capacity.
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

    /// Returns the score of an engine for a query. `draw` is a random number from 0 to 1 if this
    /// gateway's share of the engine is less than a thread, and otherwise `None`.
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
            // The slow start draw already limits what an engine gets while it warms up. The
            // division removes the warm-up from the limit, so that it is not counted twice.
            Some(draw) => (
                0.0,
                draw.ln() / (limit / warm_fraction.max(MIN_WARM_FRACTION)),
            ),
            None if limit > 0.0 => (self.fair_share_of(engine.cores) * warm_fraction, 0.0),
            None => (0.0, 0.0),
        };
        PlacementScore {
            is_another_engine: query.last_engine != Some(engine.listed.id),
            suits_first_trial: self.suits_first_trial(query, engine),
            free_threads: own_threads - self.competing_threads(query, &engine.threads),
            is_in_own_zone: self.is_in_own_zone(engine),
            is_in_subset,
            headroom: self.recent_headroom(engine),
            weighted_draw,
        }
    }

    /// Returns whether a query suits the first trial of an engine after it was uncordoned. The
    /// trial is one short query that may safely run twice.
    fn suits_first_trial(&self, query: &Query, engine: &EngineRecord) -> bool {
        let is_short = query.work <= self.overall.work.mean;
        engine.awaits_first_answer
            && engine.running.is_empty()
            && is_short
            && self.is_safe_to_duplicate(query)
    }

    /// Returns an engine's headroom. It fades with its age, since all gateways that observed it
    /// react to it.
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
