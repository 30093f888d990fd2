//! Decides how many threads this gateway may use at one engine, and at all engines together.
//!
//! - Decides: this module decides the thread limit of each engine, its growth and decrease, and
//!   whether one more query is within the limits of all engines together.
//! - Inputs: it uses the cores of the engine, the number of gateways that use it, its speed (work
//!   per thread-second, compared with that of all engines), the utilisation from load reports
//!   (0 to 1), and the fraction of late answers.
//! - Rule: each gateway starts with its fair share. A limit grows while this gateway uses it and
//!   the engine is near its unloaded speed, or reports that it is not busy. The limit shrinks back
//!   to the fair share if answers slow down or the engine reports that it is busy.
//! - Reason: other gateways may use less than their share, but no gateway sees what the others
//!   send.

use crate::capacity::THREAD_ROUNDING;
use crate::deadline::HIGH_LATE_FRACTION;
use crate::interface::{EngineId, LoadReport};
use crate::speed::{ANSWER_SPEED_GAIN, CLASS_GAIN, MAX_SAMPLE_SPEED, MIN_SAMPLE_SPEED};
use crate::state::{EngineRecord, Query};
use crate::Gateway;

/// The threads per core that the fair shares of all gateways at an engine add up to.
const THREADS_PER_CORE: f64 = 2.0;
/// The speed above which a limit grows. The speed of an unloaded engine is 1.
const NEAR_UNLOADED_SPEED: f64 = 0.7;
/// The speed below which a limit shrinks. The speed of an unloaded engine is 1.
pub(crate) const FAR_BELOW_UNLOADED_SPEED: f64 = 0.45;
/// The utilisation above which an engine counts as busy.
const BUSY_UTILISATION: f64 = 0.8;
/// The fraction of a limit above which it counts as in use. Only a limit in use grows.
pub(crate) const IN_USE_FRACTION: f64 = 0.6;
/// The factor by which a load report changes a limit.
const REPORT_FACTOR: f64 = 1.2;
/// The step by which an answer changes a limit, as a fraction of the query's threads.
const ANSWER_STEP: f64 = 0.25;
/// The fraction of the overall speed below which an engine gets one query at a time.
const SLOW_ENGINE_FRACTION: f64 = 0.35;

/// How a limit changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LimitChange {
    /// The limit grows, since engines have spare capacity.
    Grow,
    /// The limit shrinks, since engines are overloaded.
    Shrink,
    /// The limit stays as it is.
    Keep,
}

/// The signals in an answer that decide how a limit changes.
#[derive(Debug, Clone, Copy)]
struct AnswerSignals {
    /// The work per thread-second.
    speed: f64,
    /// The speed above which the limit grows.
    growth_speed: f64,
    /// Whether answers may make the limit grow. The limit of one engine may not grow if engines
    /// report their utilisation, and the limit of all engines may not if they report that they are
    /// busy.
    may_grow: bool,
    /// Whether the limit is in use.
    is_in_use: bool,
    /// Whether the answer came after its objective.
    is_late: bool,
    /// Whether few answers of the class come after their objective.
    class_is_in_time: bool,
}

/// The properties of an answer that limits depend on.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LimitSample {
    pub engine: EngineId,
    /// This gateway's fair share of the engine, in threads.
    pub fair_share: f64,
    /// The threads of the query.
    pub threads: f64,
    /// The work per thread-second.
    pub speed: f64,
    /// Whether the engine reported the cost of the query.
    pub has_cost: bool,
    pub is_late: bool,
    /// The fraction of the class's answers that come late, this one included.
    pub late_fraction: f64,
}

impl Gateway {
    /// Returns the fair share of each gateway at an engine with `cores` cores, in threads.
    pub(crate) fn fair_share_of(&self, cores: f64) -> f64 {
        THREADS_PER_CORE * cores / self.gateways
    }

    /// Returns the maximum thread limit at an engine: the sum of the fair shares of all gateways.
    /// One gateway may use all of them while the others do not.
    fn max_thread_limit(cores: f64) -> f64 {
        THREADS_PER_CORE * cores
    }

    /// Returns whether this gateway's fair share of an engine is less than a thread. Such a gateway
    /// uses each engine too rarely to estimate a limit for it.
    pub(crate) fn has_fractional_share(&self, cores: f64) -> bool {
        self.fair_share_of(cores) < 1.0
    }

    /// Returns the number of threads that this gateway may use at an engine now. The limit of a
    /// slow engine is 0. It then gets one query at a time, which also shows when it recovers.
    pub(crate) fn thread_limit(&self, engine: &EngineRecord) -> f64 {
        if engine.speed < SLOW_ENGINE_FRACTION * self.overall_speed() {
            return 0.0;
        }
        let growth = if self.has_fractional_share(engine.cores) {
            1.0 + self.overall.limit_growth
        } else {
            1.0
        };
        // While an engine warms up its threads are slow, but it sustains more threads than its warm
        // fraction suggests. The square root of the fraction, which is larger, accounts for that.
        engine.thread_limit * growth * self.warm_fraction(engine).sqrt()
    }

    /// Returns whether one more query is within the sum of the limits of all engines. One query
    /// always fits on an idle engine, but with many gateways that alone would allow many times the
    /// load that engines sustain. One query of each class is always allowed, unless engines report
    /// that they are busy and this gateway has recently used more thread-seconds than its capacity
    /// (a negative capacity credit).
    pub(crate) fn engines_have_capacity(&self, query: &Query) -> bool {
        let threads = self.competing_threads(query, &self.queries.threads_out) + query.threads;
        let has_spare = self.overall.utilisation.mean < BUSY_UTILISATION;
        let may_exceed = has_spare || self.overall.capacity_credit >= 0.0;
        threads <= self.overall.thread_capacity + THREAD_ROUNDING
            || (self.queries.attempts_out(query.class) == 0 && may_exceed)
    }

    /// Handles a change in the number of gateways. Scales the limits of this gateway, including
    /// their growth.
    pub(crate) fn on_fleet_size(&mut self, gateways: u32) {
        let ratio = self.gateways / f64::from(gateways.max(1));
        self.gateways /= ratio;
        for engine in self.engines.values_mut() {
            let limit = engine.thread_limit * ratio;
            engine.thread_limit = limit.min(Self::max_thread_limit(engine.cores));
            engine.memory_quota = (engine.memory_quota * ratio).min(1.0);
        }
    }

    /// Changes an engine's limit by its load report. The utilisation of the cores or of the disks
    /// counts, whichever is higher.
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
        // With fractional shares a report of one engine says little about all engines. In that
        // case answers change the overall limit.
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

    /// Changes a limit after an answer: the limit of the engine or, if this gateway's share of it
    /// is less than a thread, the limit of all engines.
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

    /// Changes the growth of the limits of all engines after an answer. The speed of all engines
    /// counts, since this gateway uses each engine too rarely. If the engine reported the cost, that
    /// speed is the moving geometric mean of answers. Otherwise it is a mean over more answers,
    /// since estimates vary.
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
        let utilisation = self.overall.utilisation.mean_if_any();
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

/// Decides how an answer changes a limit. While many answers of a class are late, the limit does
/// not grow, however high the speed that estimates suggest.
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
