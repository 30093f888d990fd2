//! How many threads this gateway may use at an engine, and in all.
//!
//! - Decides: the thread limit of each engine, its growth and decrease, and whether one more
//!   query is within the limits of all engines together.
//! - Inputs: the cores of the engine, the number of gateways that use it, its speed (work per
//!   thread-second, against that of all engines), utilisation from load reports (0 to 1), and late
//!   answers.
//! - Rule: each gateway starts with its fair share. A limit grows while the engine is near its
//!   unloaded speed, or reports that it is not busy, and this gateway uses what it has; it
//!   shrinks back to the fair share as answers slow down.
//! - Reason: other gateways may use less than their share, but none sees what the others send.

use crate::capacity::THREAD_ROUNDING;
use crate::deadline::HIGH_LATE_FRACTION;
use crate::interface::{EngineId, LoadReport};
use crate::speed::{ANSWER_SPEED_GAIN, CLASS_GAIN, MAX_SAMPLE_SPEED, MIN_SAMPLE_SPEED};
use crate::state::{EngineRecord, Query};
use crate::Gateway;

/// Threads per core that all gateways together use at an engine, before any growth.
const THREADS_PER_CORE: f64 = 2.0;
/// A limit grows while speed is above this fraction of the unloaded one ...
const NEAR_UNLOADED_SPEED: f64 = 0.7;
/// ... and shrinks below this one.
pub(crate) const FAR_BELOW_UNLOADED_SPEED: f64 = 0.45;
/// The utilisation above which an engine counts as busy.
const BUSY_UTILISATION: f64 = 0.8;
/// A limit grows only while more than this fraction of it is in use.
pub(crate) const IN_USE_FRACTION: f64 = 0.6;
/// The factor by which a load report changes a limit.
const REPORT_FACTOR: f64 = 1.2;
/// The fraction of its own threads by which an answer changes a limit.
const ANSWER_STEP: f64 = 0.25;
/// An engine below this fraction of the overall speed gets one query at a time.
const SLOW_ENGINE_FRACTION: f64 = 0.35;

/// How a limit changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LimitChange {
    /// Engines have capacity to spare.
    Grow,
    /// Engines are overloaded.
    Shrink,
    /// Neither.
    Keep,
}

/// What an answer says of the load on the engines that a limit holds for.
#[derive(Debug, Clone, Copy)]
struct AnswerSignals {
    /// Work per thread-second.
    speed: f64,
    /// The speed above which the limit grows.
    growth_speed: f64,
    /// No load report forbids growth.
    may_grow: bool,
    /// The limit is in use.
    is_in_use: bool,
    /// The answer came after its objective.
    is_late: bool,
    /// Few answers of its class do.
    class_is_in_time: bool,
}

/// An answer, as far as limits depend on it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LimitSample {
    pub engine: EngineId,
    /// This gateway's fair share of its threads.
    pub fair_share: f64,
    /// Threads of the query.
    pub threads: f64,
    /// Work per thread-second.
    pub speed: f64,
    /// The engine reported what the query cost.
    pub has_cost: bool,
    pub is_late: bool,
    /// The fraction of the class's answers that come late, this one included.
    pub late_fraction: f64,
}

impl Gateway {
    /// The fair share of each gateway, in threads at an engine with so many cores.
    pub(crate) fn fair_share_of(&self, cores: f64) -> f64 {
        THREADS_PER_CORE * cores / self.gateways
    }

    /// The most threads that a limit grows to at an engine: the fair shares of all gateways, which
    /// one may use while the others don't.
    fn max_thread_limit(cores: f64) -> f64 {
        THREADS_PER_CORE * cores
    }

    /// Whether this gateway's share of an engine is less than a thread, so that it meets each
    /// engine too seldom to learn its limit.
    pub(crate) fn has_fractional_share(&self, cores: f64) -> bool {
        self.fair_share_of(cores) < 1.0
    }

    /// The threads that this gateway may use at an engine now; 0 means one query at a time, which
    /// also shows when a slow engine recovers.
    pub(crate) fn thread_limit(&self, engine: &EngineRecord) -> f64 {
        if engine.speed < SLOW_ENGINE_FRACTION * self.overall_speed() {
            return 0.0;
        }
        let growth = if self.has_fractional_share(engine.cores) {
            1.0 + self.overall.limit_growth
        } else {
            1.0
        };
        // The threads of an engine that is warming up are slow, but not as few.
        engine.thread_limit * growth * self.warm_fraction(engine).sqrt()
    }

    /// Whether one more query is within the sum of all limits: with many gateways, "one query
    /// always fits on each engine" would be many times what engines sustain. One query of each
    /// class always goes, unless engines report that they are busy and this gateway has overdrawn
    /// its capacity.
    pub(crate) fn engines_have_capacity(&self, query: &Query) -> bool {
        let threads = self.competing_threads(query, &self.queries.threads_out) + query.threads;
        let has_spare = self.overall.utilisation.mean < BUSY_UTILISATION;
        let may_exceed = has_spare || self.overall.capacity_credit >= 0.0;
        threads <= self.overall.thread_capacity + THREAD_ROUNDING
            || (self.queries.attempts_out(query.class) == 0 && may_exceed)
    }

    /// More or fewer gateways share the engines: the limits of this one follow, growth included.
    pub(crate) fn on_fleet_size(&mut self, gateways: u32) {
        let ratio = self.gateways / f64::from(gateways.max(1));
        self.gateways /= ratio;
        for engine in self.engines.values_mut() {
            let limit = engine.thread_limit * ratio;
            engine.thread_limit = limit.min(Self::max_thread_limit(engine.cores));
            engine.memory_quota = (engine.memory_quota * ratio).min(1.0);
        }
    }

    /// Changes an engine's limit by its load report; cores or disks, whichever are busier.
    pub(crate) fn on_load_report(&mut self, engine: EngineId, load: LoadReport) {
        let reported = load
            .cpu_utilisation
            .into_iter()
            .chain(load.disk_utilisation);
        let busiest = reported
            .filter(|utilisation| *utilisation >= 0.0)
            .reduce(f64::max);
        let (Some(utilisation), Some(record)) = (busiest, self.engines.get(&engine)) else {
            return;
        };
        let fair_share = self.fair_share_of(record.cores);
        self.overall
            .utilisation
            .record(utilisation.min(1.0), CLASS_GAIN);
        let usual = self.overall.utilisation.mean;
        let Some(engine) = self.engines.get_mut(&engine) else {
            return;
        };
        engine.headroom = usual - utilisation;
        engine.headroom_at = self.now;
        // With fractional shares one engine says little of all of them; there answers change the
        // limit.
        if fair_share < 1.0 {
            return;
        }
        match limit_change_by_report(utilisation, engine) {
            LimitChange::Grow => {
                let limit = engine.thread_limit * REPORT_FACTOR;
                engine.thread_limit = limit.min(Self::max_thread_limit(engine.cores));
            }
            LimitChange::Shrink => {
                engine.thread_limit = (engine.thread_limit / REPORT_FACTOR).max(fair_share);
            }
            LimitChange::Keep => {}
        }
    }

    /// Changes the limit of an engine, or of all engines where shares are fractional, by an answer.
    pub(crate) fn adjust_limits_after_answer(&mut self, sample: &LimitSample) {
        if sample.fair_share < 1.0 {
            self.adjust_overall_limit(sample);
        } else {
            self.adjust_engine_limit(sample);
        }
    }

    fn adjust_engine_limit(&mut self, sample: &LimitSample) {
        let may_grow = !self.settings.reports_utilisation;
        let Some(engine) = self.engines.get_mut(&sample.engine) else {
            return;
        };
        let threads = engine.threads_in_use() + sample.threads;
        let signals = AnswerSignals {
            speed: engine.speed,
            growth_speed: NEAR_UNLOADED_SPEED,
            may_grow,
            is_in_use: threads > IN_USE_FRACTION * engine.thread_limit,
            is_late: sample.is_late,
            class_is_in_time: sample.late_fraction < HIGH_LATE_FRACTION,
        };
        let step = ANSWER_STEP * sample.threads;
        match limit_change_by_answer(&signals) {
            LimitChange::Grow => {
                let limit = engine.thread_limit + step;
                engine.thread_limit = limit.min(Self::max_thread_limit(engine.cores));
            }
            LimitChange::Shrink => {
                let limit = engine.thread_limit - step;
                engine.thread_limit = limit.max(sample.fair_share);
            }
            LimitChange::Keep => {}
        }
    }

    /// The speed that counts is that of all engines, since this gateway meets each engine too seldom: the
    /// mean logarithm where costs are reported, otherwise a mean over more answers, as estimates
    /// scatter.
    fn adjust_overall_limit(&mut self, sample: &LimitSample) {
        let overall = &mut self.overall;
        let growth = 1.0 + overall.limit_growth;
        let step = ANSWER_STEP * sample.threads * growth / overall.thread_capacity.max(1.0);
        let threads = self.queries.threads_out.iter().sum::<f64>() + sample.threads;
        let log_sample = sample.speed.clamp(MIN_SAMPLE_SPEED, MAX_SAMPLE_SPEED).ln();
        overall.log_speed += ANSWER_SPEED_GAIN * (log_sample - overall.log_speed);
        let speed = if sample.has_cost {
            overall.log_speed.exp()
        } else {
            self.overall_speed()
        };
        let utilisation = self.overall.utilisation.known();
        let signals = AnswerSignals {
            speed,
            growth_speed: if self.settings.reports_utilisation {
                FAR_BELOW_UNLOADED_SPEED
            } else {
                NEAR_UNLOADED_SPEED
            },
            may_grow: !utilisation.is_some_and(|busy| busy > BUSY_UTILISATION),
            is_in_use: threads > IN_USE_FRACTION * self.overall.thread_capacity,
            is_late: sample.is_late,
            class_is_in_time: sample.late_fraction < HIGH_LATE_FRACTION,
        };
        let growth = &mut self.overall.limit_growth;
        match limit_change_by_answer(&signals) {
            LimitChange::Grow => *growth = (*growth + step).min(self.gateways),
            LimitChange::Shrink => *growth = (*growth - step).max(0.0),
            LimitChange::Keep => {}
        }
    }
}

fn limit_change_by_report(utilisation: f64, engine: &EngineRecord) -> LimitChange {
    let is_in_use = engine.threads_in_use() > IN_USE_FRACTION * engine.thread_limit;
    let runs_well = engine.speed > FAR_BELOW_UNLOADED_SPEED;
    if utilisation < BUSY_UTILISATION && is_in_use && runs_well {
        LimitChange::Grow
    } else if utilisation > BUSY_UTILISATION {
        LimitChange::Shrink
    } else {
        LimitChange::Keep
    }
}

/// Late answers are not near the unloaded time, however high the speed that an estimate suggests.
fn limit_change_by_answer(signals: &AnswerSignals) -> LimitChange {
    let is_fast = signals.speed > signals.growth_speed;
    if signals.may_grow && signals.class_is_in_time && is_fast && signals.is_in_use {
        LimitChange::Grow
    } else if signals.speed < FAR_BELOW_UNLOADED_SPEED
        || (signals.is_late && !signals.class_is_in_time)
    {
        LimitChange::Shrink
    } else {
        LimitChange::Keep
    }
}
