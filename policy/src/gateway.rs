//! The state of one gateway, and the order in which it handles events.
//!
//! Its settings, events and actions are defined in `policy/src/interface.rs`.

use std::collections::BTreeMap;

use rand_chacha::rand_core::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::interface::{
    Action, Class, EngineId, EngineLocation, EngineState, Event, Micros, Settings,
};
use crate::state::{ClassStats, EngineRecord, EngineSampler, OverallStats, Query, QueryTable};

/// The state and the decisions of one gateway.
#[derive(Debug)]
pub struct Gateway {
    pub(crate) settings: Settings,
    /// The number of gateways that share the engines, this one included; at least 1.
    pub(crate) gateways: f64,
    /// The seed of the random choices and of this gateway's own order of engines. It differs
    /// between gateways, so that they choose differently.
    pub(crate) seed: u64,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) now: Micros,
    pub(crate) engines: BTreeMap<EngineId, EngineRecord>,
    pub(crate) sampler: EngineSampler,
    pub(crate) queries: QueryTable,
    pub(crate) class_stats: Vec<ClassStats>,
    pub(crate) overall: OverallStats,
    /// The time at which the most recently set timer fires.
    pub(crate) timer_at: Option<Micros>,
}

/// The counts of engines that the embedding publishes as metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineCounts {
    /// The number of engines in the list that are not removed.
    pub listed: usize,
    /// The number of listed engines that are cordoned, or ejected as outliers.
    pub avoided: usize,
}

/// The numbers of entries that are remembered after queries have ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RememberedCounts {
    /// Ordering keys, those of open queries included.
    pub ordering_keys: usize,
    /// Arrivals and retries in the window of the retry budget.
    pub history: usize,
}

impl Gateway {
    /// Creates a gateway that knows no engines yet. The seed determines all its random choices;
    /// each gateway of a fleet should have a different one.
    #[must_use]
    pub fn new(mut settings: Settings, seed: u64) -> Self {
        // Queries of unknown classes share this additional class, which sets nothing.
        settings.classes.push(Class::default());
        let classes = settings.classes.len();
        Gateway {
            gateways: f64::from(settings.gateways.unwrap_or(1).max(1)),
            seed,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            engines: BTreeMap::new(),
            sampler: EngineSampler::new(seed, settings.zone),
            queries: QueryTable::new(classes),
            class_stats: vec![ClassStats::default(); classes],
            overall: OverallStats::default(),
            timer_at: None,
            settings,
        }
    }

    /// Handles the events that happened at `now`, in order, and appends the resulting actions. If
    /// `now` is before the time of an earlier call, that time is used instead.
    pub fn handle(&mut self, now: Micros, events: &[Event], actions: &mut Vec<Action>) {
        self.now = now.max(self.now);
        // Admission reads the totals while events are handled. Dispatch needs the totals after the
        // events, so they are updated again below.
        self.update_engine_totals();
        for event in events {
            self.on_event(event, actions);
        }
        self.update_engine_totals();
        self.run_due_checks(actions);
        self.dispatch_queued(actions);
        self.set_timer(actions);
    }

    fn on_event(&mut self, event: &Event, actions: &mut Vec<Action>) {
        match event {
            Event::EngineList { scope, engines } => self.on_engine_list(*scope, engines, actions),
            Event::Cordon { engine, cordoned } => self.on_cordon(*engine, *cordoned),
            Event::QueryArrived(request) => self.on_query_arrived(request, actions),
            Event::DuplicateSent { query, run } => self.on_duplicate_sent(*query, *run),
            Event::Progress {
                query,
                attempt,
                progress,
            } => self.on_progress(*query, *attempt, *progress, actions),
            Event::ResponseStarted { query } => self.on_response_started(*query),
            Event::AttemptEnded(ended) => {
                self.on_load_report(ended.engine, ended.load);
                self.on_attempt_ended(ended, actions);
            }
            Event::ClientDisconnected { query } => self.on_client_disconnected(*query, actions),
            Event::HealthChecked {
                engine,
                passed,
                load,
            } => {
                self.on_load_report(*engine, *load);
                self.on_health_check(*engine, *passed);
            }
            Event::FleetSize { gateways } => self.on_fleet_size(*gateways),
            Event::TimerFired => {}
        }
    }

    /// Counts the listed engines, and the listed engines that are avoided. A draining engine counts
    /// as avoided only if it is cordoned.
    #[must_use]
    pub fn engine_counts(&self) -> EngineCounts {
        let listed = || {
            let engines = self.engines.values();
            engines.filter(|engine| engine.listed.state != EngineState::Removed)
        };
        let is_avoided = |engine: &&EngineRecord| {
            let is_ready = engine.listed.state == EngineState::Ready;
            engine.cordoned || (is_ready && !self.is_available(engine))
        };
        EngineCounts {
            listed: listed().count(),
            avoided: listed().filter(is_avoided).count(),
        }
    }

    /// Returns how much is remembered after queries have ended.
    #[must_use]
    pub fn remembered_counts(&self) -> RememberedCounts {
        RememberedCounts {
            ordering_keys: self.queries.keys.len(),
            history: self.queries.history.len(),
        }
    }

    /// Returns the place of an engine, or `None` if it was never listed.
    #[must_use]
    pub fn engine_location(&self, engine: EngineId) -> Option<EngineLocation> {
        let record = self.engines.get(&engine)?;
        Some(record.listed.location())
    }

    /// Returns the settings of a query's class.
    pub(crate) fn class_of(&self, query: &Query) -> &Class {
        &self.settings.classes[query.class]
    }

    /// Returns the statistics of a query's class.
    pub(crate) fn stats_of(&self, query: &Query) -> &ClassStats {
        &self.class_stats[query.class]
    }
}
