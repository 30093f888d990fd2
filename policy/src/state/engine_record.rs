//! An engine as this gateway knows it.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::ThreadsByPriority;
use crate::interface::{Engine, EngineState, Micros, QueryId};

/// How attempts fare at an engine: a moving failure rate, and whether it has led to ejection.
#[derive(Debug, Clone, Default)]
pub(crate) struct Health {
    /// 0 to 1.
    pub failure_rate: f64,
    pub ejected: bool,
    /// No trial before this time.
    pub ejected_until: Micros,
    /// Trials that have failed since the ejection.
    pub failed_trials: u32,
}

/// Work that was sent to an engine while it warmed up.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WarmUpSend {
    pub at: Micros,
    /// Seconds on one thread.
    pub work: f64,
}

/// A draw that decides whether this gateway may send a query to an engine that is warming up; the
/// lower, the sooner.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SlowStartDraw {
    /// From 0 to 1; the first one is larger by the factor by which first sends are rarer.
    pub value: f64,
    /// When the next is drawn; 0 before the first.
    pub until: Micros,
}

/// What a new process is taken to sustain until there is experience with it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct InitialLimits {
    /// Threads that this gateway may use there.
    pub thread_limit: f64,
    /// The fraction of its memory that this gateway may grant.
    pub memory_quota: f64,
    /// Work per thread-second.
    pub speed: f64,
}

/// An engine as this gateway knows it.
#[derive(Debug)]
pub(crate) struct EngineRecord {
    /// Its entry in the list.
    pub listed: Engine,
    pub cores: f64,
    pub memory_mb: Option<f64>,
    /// Threads that this gateway may use there.
    pub thread_limit: f64,
    /// The fraction of its memory that this gateway may grant.
    pub memory_quota: f64,
    /// Threads of this gateway's attempts there.
    pub threads: ThreadsByPriority,
    /// Memory granted to this gateway's attempts there.
    pub granted_mb: f64,
    /// Queries of this gateway that run there.
    pub running: BTreeSet<QueryId>,
    /// Moving mean of work per thread-second.
    pub speed: f64,
    /// How much less loaded than usual it last was, as a fraction, and when that was seen.
    pub headroom: f64,
    pub headroom_at: Micros,
    /// When this gateway last got an answer or a progress report from it.
    pub last_active_at: Micros,
    pub health: Health,
    /// The same for the queries of one class, by the index of the class.
    pub class_health: BTreeMap<usize, Health>,
    /// It said that it is full, or that queries wait there for memory; nothing is sent before this
    /// time.
    pub backoff_until: Micros,
    /// Sends while it was warming up, in order.
    pub warm_up_sends: VecDeque<WarmUpSend>,
    pub slow_start_draw: SlowStartDraw,
    pub cordoned: bool,
    /// When an operator uncordoned it.
    pub uncordoned_at: Option<Micros>,
    /// It has not answered since it was uncordoned.
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

    /// Replaces what was learned of an earlier process. Attempts there still end one by one, and
    /// what operators ordered still holds.
    pub fn restart(&mut self, fresh: EngineRecord) {
        let old = std::mem::replace(self, fresh);
        self.running = old.running;
        self.threads = old.threads;
        self.granted_mb = old.granted_mb;
        self.cordoned = old.cordoned;
        self.uncordoned_at = old.uncordoned_at;
        self.awaits_first_answer = old.awaits_first_answer;
    }

    /// Listed as ready, and not cordoned.
    pub fn in_use(&self) -> bool {
        self.listed.state == EngineState::Ready && !self.cordoned
    }

    /// When its process started, as far as is known.
    pub fn started(&self) -> Option<Micros> {
        self.listed.started.max(self.uncordoned_at)
    }

    /// Threads of this gateway's attempts there.
    pub fn threads_in_use(&self) -> f64 {
        self.threads.iter().sum()
    }

    /// Counts an attempt that is sent there.
    pub fn count_attempt(&mut self, id: QueryId, priority: u8, threads: f64, granted_mb: f64) {
        self.running.insert(id);
        self.threads[usize::from(priority)] += threads;
        self.granted_mb += granted_mb;
    }

    /// Releases the capacity of an attempt that ended there.
    pub fn release_attempt(&mut self, id: QueryId, priority: u8, threads: f64, granted_mb: f64) {
        self.running.remove(&id);
        self.threads[usize::from(priority)] -= threads;
        self.granted_mb -= granted_mb;
        if self.running.is_empty() {
            // Started anew at 0, so that rounding errors do not add up.
            self.threads = ThreadsByPriority::default();
            self.granted_mb = 0.0;
        }
    }
}
