//! Which engines are ejected as outliers, and when they are tried again.
//!
//! - Decides: the failure rate of each engine, in all and for each class, ejection, and the
//!   time until the next trial.
//! - Inputs: how attempts end, failed health checks, attempts that are silent for too long, and
//!   the retry budget, since each trial of a bad engine costs a retry.
//! - Rule: a moving failure rate above a threshold ejects an engine; a success in a trial
//!   lowers it. Where over half of the engines are ejected, the cause is not theirs and
//!   ejection is ignored.
//! - Reason: an engine that fails fast seems free and would attract all queries.

use crate::concurrency_limit::FAR_BELOW_UNLOADED_SPEED;
use crate::interface::{EngineId, Micros, Outcome, QueryId};
use crate::state::{EngineRecord, Health, HealthCounts};
use crate::units::{micros, seconds};
use crate::Gateway;

/// Weight of a failure in the failure rate.
const FAILURE_WEIGHT: f64 = 0.25;
/// Weight of a refused connection; the engine is surely down.
const CONNECTION_REFUSED_WEIGHT: f64 = 1.0;
/// How much more an error weighs where this gateway's share of the engine is less than a thread,
/// so that it meets the engine too seldom to count errors: one is enough to eject.
const FRACTIONAL_SHARE_ERROR_FACTOR: f64 = 2.0;
/// The failure rate above which an engine is ejected, and below which it is trusted again.
const EJECTION_RATE: f64 = 0.4;
const TRUST_RATE: f64 = 0.12;
/// The fraction of silent attempts of a class at which one says little of its engine.
const USUAL_SILENT_FRACTION: f64 = 0.1;
/// Control periods from an ejection to the first trial; doubled so many times at failed trials.
const EJECTION_PERIODS: f64 = 1.0;
const MAX_EJECTION_DOUBLINGS: u32 = 1;
/// The fraction of the retry budget that trials of ejected engines may take.
const TRIAL_BUDGET_FRACTION: f64 = 0.25;
/// A class avoids the engines that fail it only while one engine in this many serves it.
const MIN_SERVING_DIVISOR: usize = 3;

/// Why a failure counts against an engine. Silent attempts count, too, by a weight of their own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FailureReason {
    /// It answered with an error that another engine did not.
    Error,
    /// It refused the connection.
    ConnectionRefused,
    /// The connection broke. One may break for what was on it; an engine that died refuses the
    /// next.
    ConnectionLost,
    /// It did not answer a health check.
    HealthCheckFailed,
}

impl Gateway {
    /// Whether an engine is in use and not ejected.
    pub(crate) fn is_available(&self, engine: &EngineRecord) -> bool {
        engine.in_use() && (!engine.health.ejected || self.overall.ejection_suspended)
    }

    /// The reason, if any, for which an engine is to blame for the end of an attempt there.
    ///
    /// An error may lie with the query. Its engine is blamed once another has served the query,
    /// and at once where that cannot be, or where the engine was on trial.
    pub(crate) fn failure_reason(
        &self,
        query: QueryId,
        engine: EngineId,
        outcome: Outcome,
    ) -> Option<FailureReason> {
        match outcome {
            Outcome::Error => {
                let engine = self.engines.get(&engine);
                let was_on_trial = engine.is_some_and(|engine| engine.health.ejected);
                let query = self.queries.get(query);
                let no_other = query.is_some_and(|query| !self.is_safe_to_duplicate(query));
                (was_on_trial || no_other).then_some(FailureReason::Error)
            }
            Outcome::ConnectionRefused => Some(FailureReason::ConnectionRefused),
            Outcome::ConnectionLost => Some(FailureReason::ConnectionLost),
            Outcome::Completed
            | Outcome::Overloaded
            | Outcome::TimedOut
            | Outcome::Cancelled
            | Outcome::NeverSent => None,
        }
    }

    /// Counts a failure of an engine.
    pub(crate) fn record_failure(&mut self, engine: EngineId, reason: FailureReason) {
        let weight = match reason {
            FailureReason::Error if self.has_fractional_share_of(engine) => {
                FRACTIONAL_SHARE_ERROR_FACTOR * FAILURE_WEIGHT
            }
            FailureReason::ConnectionRefused => CONNECTION_REFUSED_WEIGHT,
            FailureReason::Error
            | FailureReason::ConnectionLost
            | FailureReason::HealthCheckFailed => FAILURE_WEIGHT,
        };
        self.record_failure_of_weight(engine, weight);
    }

    /// Handles the result of a health check.
    pub(crate) fn on_health_check(&mut self, engine: EngineId, passed: bool) {
        if !passed {
            self.record_failure(engine, FailureReason::HealthCheckFailed);
        }
    }

    /// Counts an attempt that was silent for too long, at an engine that was silent to others
    /// too. Without progress reports that says the less, the more attempts of the class are
    /// silent.
    pub(crate) fn record_silence(&mut self, engine: EngineId, class_silent_fraction: f64) {
        let usual = if self.settings.progress_period.is_some() {
            0.0
        } else {
            class_silent_fraction
        };
        let weight = (1.0 - usual / USUAL_SILENT_FRACTION).max(FAILURE_WEIGHT);
        self.record_failure_of_weight(engine, weight);
    }

    /// Counts an attempt that was silent for too long while its engine answered others fast:
    /// the engine is not slow, it loses queries, maybe those of one class only. The class avoids
    /// the engine and returns by trials, while other classes keep it.
    pub(crate) fn record_silence_of_class(&mut self, engine: EngineId, class: usize) {
        let ejection = self.control_periods(EJECTION_PERIODS);
        let now = self.now;
        let engine = self.engines.get_mut(&engine);
        if let Some(engine) = engine.filter(|engine| engine.speed > FAR_BELOW_UNLOADED_SPEED) {
            let health = engine.class_health.entry(class).or_default();
            health.record_failure(FAILURE_WEIGHT, now, ejection);
        }
    }

    /// Whether so many engines serve a class that it may avoid the others; otherwise the cause is
    /// not theirs.
    pub(crate) fn enough_engines_serve(&self, class: usize) -> bool {
        let counts = self.health_counts();
        MIN_SERVING_DIVISOR * counts.serving(class) >= counts.healthy
    }

    /// The counts of engines: of this moment, or, of many engines, as they were last counted.
    fn health_counts(&self) -> HealthCounts {
        if self.scans_all_engines() {
            HealthCounts::of(self.engines.values(), self.overall.ejection_suspended)
        } else {
            self.overall.counts.clone()
        }
    }

    fn record_failure_of_weight(&mut self, engine: EngineId, weight: f64) {
        let (now, ejection) = (self.now, self.ejection_time());
        if let Some(engine) = self.engines.get_mut(&engine) {
            engine.health.record_failure(weight, now, ejection);
        }
    }

    /// Whether this gateway's share of an engine is less than a thread.
    fn has_fractional_share_of(&self, engine: EngineId) -> bool {
        let engine = self.engines.get(&engine);
        engine.is_some_and(|engine| self.has_fractional_share(engine.cores))
    }

    /// How long an ejected engine goes without a trial: so long that the trials of all of them
    /// take no more than their fraction of the retry budget.
    fn ejection_time(&self) -> Micros {
        let shortest = self.control_periods(EJECTION_PERIODS);
        let Some(budget) = self.settings.retry_budget else {
            return shortest;
        };
        let ejected = 1 + self.health_counts().ejected;
        let retries = self.retries_allowed(&budget);
        shortest.max(micros(
            ejected as f64 * seconds(budget.window) / (TRIAL_BUDGET_FRACTION * retries.max(1.0)),
        ))
    }
}

/// Counts a success of an engine, in all and for a class.
pub(crate) fn record_success(engine: &mut EngineRecord, class: usize) {
    if let Some(health) = engine.class_health.get_mut(&class) {
        health.record_success();
    }
    engine.health.record_success();
}

impl Health {
    /// Counts a failure; enough of them eject.
    fn record_failure(&mut self, weight: f64, now: Micros, ejection: Micros) {
        self.failure_rate += weight * (1.0 - self.failure_rate);
        if self.failure_rate > EJECTION_RATE && self.ejected_until <= now {
            let doublings = self.failed_trials.min(MAX_EJECTION_DOUBLINGS);
            self.failed_trials += u32::from(self.ejected);
            self.ejected = true;
            self.ejected_until = now + (ejection << doublings);
        }
    }

    /// Counts a success; one of a trial weighs double.
    fn record_success(&mut self) {
        let weight = 1 + i32::from(self.ejected);
        self.failure_rate *= (1.0 - FAILURE_WEIGHT).powi(weight);
        if self.failure_rate < TRUST_RATE {
            self.ejected = false;
            self.failed_trials = 0;
        }
    }
}
