//! Decides which engines are ejected as outliers, and when they are tried again.
//!
//! - Decides: this module decides the failure rate of each engine (over all classes and for each
//!   class), whether the engine is ejected, and the time until its next trial.
//! - Inputs: it uses the outcomes of attempts, failed health checks, attempts that are silent for
//!   too long, and the retry budget, since each failed trial costs a retry.
//! - Rule: an engine is ejected if its moving failure rate is above a threshold. A trial is one
//!   query that is sent to an ejected engine to see whether it works again, and its success lowers
//!   the rate. If over half of the engines are ejected, the failures have a common cause, and
//!   ejection is ignored.
//! - Reason: an engine that fails fast seems free and would attract all queries.

use crate::concurrency_limit::FAR_BELOW_UNLOADED_SPEED;
use crate::interface::{EngineId, Micros, Outcome, QueryId};
use crate::state::{EngineRecord, Health, HealthCounts};
use crate::units::{micros, seconds};
use crate::Gateway;

/// The weight of a failure in the failure rate.
const FAILURE_WEIGHT: f64 = 0.25;
/// The weight of a refused connection, which shows that the engine is down.
const CONNECTION_REFUSED_WEIGHT: f64 = 1.0;
/// The factor on the weight of an error if this gateway's share of the engine is less than a
/// thread. Such a gateway uses the engine too rarely to count errors, so one error is enough to
/// eject.
const FRACTIONAL_SHARE_ERROR_FACTOR: f64 = 2.0;
/// The failure rate above which an engine is ejected.
const EJECTION_RATE: f64 = 0.4;
/// The failure rate below which the ejection of an engine ends.
const EJECTION_END_RATE: f64 = 0.12;
/// The fraction of silent attempts of a class at which a silent attempt says little about its
/// engine.
const USUAL_SILENT_FRACTION: f64 = 0.1;
/// The time from an ejection to the first trial, in control periods.
const EJECTION_PERIODS: f64 = 1.0;
/// How often failed trials may double the time to the next trial.
const MAX_EJECTION_DOUBLINGS: u32 = 1;
/// The fraction of the retry budget that trials of ejected engines may use.
const TRIAL_BUDGET_FRACTION: f64 = 0.25;
/// A class avoids the engines that are ejected for it only if at least the fraction
/// `1 / MIN_SERVING_DIVISOR` of the healthy engines serves the class.
const MIN_SERVING_DIVISOR: usize = 3;

/// Why a failure counts against an engine. Silent attempts also count; their weight is computed in
/// [`Gateway::record_silence`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FailureReason {
    /// The engine answered with an error and counts as its cause, as [`Gateway::failure_reason`]
    /// describes.
    Error,
    /// The engine refused the connection.
    ConnectionRefused,
    /// The connection broke. The cause may lie with that connection only. If the engine died, it
    /// refuses the next connection.
    ConnectionLost,
    /// The engine did not answer a health check.
    HealthCheckFailed,
}

impl Gateway {
    /// Returns whether an engine is in use and not ejected. While ejection is suspended, ejected
    /// engines are available.
    pub(crate) fn is_available(&self, engine: &EngineRecord) -> bool {
        engine.in_use() && (!engine.health.ejected || self.overall.ejection_suspended)
    }

    /// Returns the reason, if any, for which the end of an attempt counts as a failure of its
    /// engine.
    ///
    /// The query may be the cause of an error. Normally an error counts against its engine once
    /// another engine has answered the query. It counts at once if the query may not run again, or
    /// if the engine was on trial.
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
                let may_not_run_again =
                    query.is_some_and(|query| !self.is_safe_to_duplicate(query));
                (was_on_trial || may_not_run_again).then_some(FailureReason::Error)
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

    /// Counts an attempt that was silent for too long, at an engine that was silent for all other
    /// queries too. Without progress reports, its weight falls as more attempts of the class are
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

    /// Counts an attempt that was silent for too long while its engine answered other queries fast.
    /// Such an engine is not slow but loses queries, perhaps of one class only. That class avoids
    /// the engine until trials succeed, while other classes still use it.
    pub(crate) fn record_silence_of_class(&mut self, engine: EngineId, class: usize) {
        let ejection = self.control_periods(EJECTION_PERIODS);
        let now = self.now;
        let engine = self.engines.get_mut(&engine);
        if let Some(engine) = engine.filter(|engine| engine.speed > FAR_BELOW_UNLOADED_SPEED) {
            let health = engine.class_health.entry(class).or_default();
            health.record_failure(FAILURE_WEIGHT, now, ejection);
        }
    }

    /// Returns whether enough engines serve a class that it may avoid the engines that are ejected
    /// for it. With fewer, the failures have a common cause.
    pub(crate) fn enough_engines_serve(&self, class: usize) -> bool {
        let counts = self.health_counts();
        MIN_SERVING_DIVISOR * counts.serving(class) >= counts.healthy
    }

    /// Returns the counts of engines. If all engines are scanned for each query they are counted
    /// now; otherwise these are the latest totals.
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

    /// Returns whether this gateway's fair share of an engine is less than a thread.
    fn has_fractional_share_of(&self, engine: EngineId) -> bool {
        let engine = self.engines.get(&engine);
        engine.is_some_and(|engine| self.has_fractional_share(engine.cores))
    }

    /// Returns how long an ejected engine gets no trial. The trials of all ejected engines together
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

/// Counts a success of an engine, over all classes and for one class.
pub(crate) fn record_success(engine: &mut EngineRecord, class: usize) {
    if let Some(health) = engine.class_health.get_mut(&class) {
        health.record_success();
    }
    engine.health.record_success();
}

impl Health {
    /// Counts a failure, and ejects the engine if the failure rate is above the threshold.
    fn record_failure(&mut self, weight: f64, now: Micros, ejection: Micros) {
        self.failure_rate += weight * (1.0 - self.failure_rate);
        if self.failure_rate > EJECTION_RATE && self.ejected_until <= now {
            let doublings = self.failed_trials.min(MAX_EJECTION_DOUBLINGS);
            self.failed_trials += u32::from(self.ejected);
            self.ejected = true;
            self.ejected_until = now + (ejection << doublings);
        }
    }

    /// Counts a success. The success of a trial counts twice.
    fn record_success(&mut self) {
        let weight = 1 + i32::from(self.ejected);
        self.failure_rate *= (1.0 - FAILURE_WEIGHT).powi(weight);
        if self.failure_rate < EJECTION_END_RATE {
            self.ejected = false;
            self.failed_trials = 0;
        }
    }
}
