//! The state that a gateway keeps for each engine.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::ThreadsByPriority;
use crate::interface::{Engine, EngineState, Micros, QueryId};

/// The failure rate of attempts at an engine, and whether it has led to ejection.
#[derive(Debug, Clone, Default)]
pub(crate) struct Health {
    /// The moving failure rate, 0 to 1.
    pub failure_rate: f64,
    pub ejected: bool,
    /// The time before which the ejected engine gets no trial.
    pub ejected_until: Micros,
    /// The number of trials that have failed since the ejection.
    pub failed_trials: u32,
}

/// An attempt that was sent to an engine while it warmed up.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WarmUpSend {
    pub at: Micros,
    /// The expected work, in seconds on one thread.
    pub work: f64,
}

/// The random draw that decides whether this gateway may send a query to an engine that warms up.
/// The query is allowed if the value is below a threshold.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SlowStartDraw {
    /// The drawn value, from 0 to 1. The first value is multiplied by `FIRST_DRAW_FACTOR`.
    pub value: f64,
    /// The time at which a new value is drawn; 0 before the first draw.
    pub until: Micros,
}

/// The limits and the speed that are assumed for a new engine process before any of its answers.
#[derive(Debug, Clone, Copy)]
pub(crate) struct InitialLimits {
    /// The number of threads that this gateway may use at the engine.
    pub thread_limit: f64,
    /// The fraction of the engine's memory that this gateway may grant.
    pub memory_quota: f64,
    /// The work per thread-second.
    pub speed: f64,
}

/// The state that this gateway keeps for one engine.
#[derive(Debug)]
pub(crate) struct EngineRecord {
    /// The engine's entry in the engine list.
    pub listed: Engine,
    pub cores: f64,
    pub memory_mb: Option<f64>,
    /// The number of threads that this gateway may use at the engine.
    pub thread_limit: f64,
    /// The fraction of the engine's memory that this gateway may grant.
    pub memory_quota: f64,
    /// The threads of this gateway's attempts at the engine.
    pub threads: ThreadsByPriority,
    /// The memory granted to this gateway's attempts at the engine.
    pub granted_mb: f64,
    /// The queries of this gateway that have an attempt at the engine.
    pub running: BTreeSet<QueryId>,
    /// The moving mean of work per thread-second.
    pub speed: f64,
    /// How much less loaded than usual the engine was when last observed, as a fraction.
    pub headroom: f64,
    /// The time at which `headroom` was observed.
    pub headroom_at: Micros,
    /// The time of the latest answer or progress report from the engine.
    pub last_active_at: Micros,
    pub health: Health,
    /// The health of the engine for the queries of one class, by the index of the class.
    pub class_health: BTreeMap<usize, Health>,
    /// The time before which nothing is sent, because the engine reported that it is full or that
    /// queries wait there for memory.
    pub backoff_until: Micros,
    /// The attempts that were sent while the engine warmed up, in order.
    pub warm_up_sends: VecDeque<WarmUpSend>,
    pub slow_start_draw: SlowStartDraw,
    pub cordoned: bool,
    /// The time at which an operator uncordoned the engine.
    pub uncordoned_at: Option<Micros>,
    /// Whether the engine has not answered since it was uncordoned.
    pub awaits_first_answer: bool,
}

impl EngineRecord {
    pub fn new(listed: Engine, cores: f64, memory_mb: Option<f64>, limits: InitialLimits) -> Self {
        EngineRecord {
            listed,
            cores,
            memory_mb,
            thread_limit: limits.thread_limit,
            memory_quota: limits.memory_quota,
            threads: ThreadsByPriority::default(),
            granted_mb: 0.0,
            running: BTreeSet::new(),
            speed: limits.speed,
            headroom: 0.0,
            headroom_at: 0,
            last_active_at: 0,
            health: Health::default(),
            class_health: BTreeMap::new(),
            backoff_until: 0,
            warm_up_sends: VecDeque::new(),
            slow_start_draw: SlowStartDraw {
                value: 1.0,
                until: 0,
            },
            cordoned: false,
            uncordoned_at: None,
            awaits_first_answer: false,
        }
    }

    /// Resets the statistics after the engine's process restarted. Keeps the capacity in use, since
    /// attempts at the earlier process still end one by one, and keeps the cordon.
    pub fn restart(&mut self, fresh: EngineRecord) {
        let old = std::mem::replace(self, fresh);
        self.running = old.running;
        self.threads = old.threads;
        self.granted_mb = old.granted_mb;
        self.cordoned = old.cordoned;
        self.uncordoned_at = old.uncordoned_at;
        self.awaits_first_answer = old.awaits_first_answer;
    }

    /// Returns whether the engine is listed as ready and not cordoned.
    pub fn in_use(&self) -> bool {
        self.listed.state == EngineState::Ready && !self.cordoned
    }

    /// Returns the time from which the engine warms up: the listed start of its process or, if
    /// later, the time at which it was uncordoned. Returns `None` if there is neither.
    pub fn started(&self) -> Option<Micros> {
        self.listed.started.max(self.uncordoned_at)
    }

    /// Returns the number of threads of this gateway's attempts at the engine.
    pub fn threads_in_use(&self) -> f64 {
        self.threads.iter().sum()
    }

    /// Adds the capacity of an attempt that is sent to the engine.
    pub fn count_attempt(&mut self, id: QueryId, priority: u8, threads: f64, granted_mb: f64) {
        self.running.insert(id);
        self.threads[usize::from(priority)] += threads;
        self.granted_mb += granted_mb;
    }

    /// Releases the capacity of an attempt that ended at the engine.
    pub fn release_attempt(&mut self, id: QueryId, priority: u8, threads: f64, granted_mb: f64) {
        self.running.remove(&id);
        self.threads[usize::from(priority)] -= threads;
        self.granted_mb -= granted_mb;
        if self.running.is_empty() {
            // Without attempts the sums are exactly 0. The reset keeps rounding errors from adding
            // up.
            self.threads = ThreadsByPriority::default();
            self.granted_mb = 0.0;
        }
    }
}
