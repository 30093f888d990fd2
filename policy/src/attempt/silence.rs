//! Checks queries whose attempt may have been silent for too long, or that may have been queued
//! for too long.
//!
//! - Decides: this module decides when an attempt counts as silent, and whether the query is then
//!   rerouted or given up.
//! - Inputs: it uses the time since the attempt was last active, the progress period or, without
//!   progress reports, the usual run, in microseconds. It also uses the activity of the engine for
//!   other queries.
//! - Reason: an engine that hangs or loses queries sends no answer. Only its silence shows the
//!   failure.

use crate::interface::{Action, EngineId, Micros, QueryId};
use crate::speed::CLASS_GAIN;
use crate::state::Query;
use crate::units::{micros, seconds};
use crate::Gateway;

/// The time without a report after which an attempt counts as silent, in control periods. It
/// applies if engines report progress.
const SILENT_PERIODS: f64 = 1.7;
/// The minimum time after which an attempt counts as silent, as a multiple of the usual run time.
/// It applies if engines report no progress. Between the minimum and the maximum, an attempt counts
/// as silent once a new attempt would be expected to end at the objective.
const MIN_SILENT_RUNS: f64 = 3.0;
/// The maximum time after which an attempt counts as silent, as a multiple of the usual run time.
/// It applies if engines report no progress.
const MAX_SILENT_RUNS: f64 = 6.0;

/// The state of an attempt at a check.
#[derive(Debug, Clone, Copy)]
struct CheckedAttempt {
    engine: EngineId,
    class: usize,
    last_active_at: Micros,
    is_silent: bool,
    /// Whether the attempt was silent at an earlier check.
    was_silent: bool,
    is_queued_at_engine: bool,
    cancelled: bool,
    is_unachievable: bool,
    next_check_at: Micros,
}

impl Gateway {
    /// Handles a query whose check is due.
    pub(crate) fn on_check_due(&mut self, id: QueryId, actions: &mut Vec<Action>) {
        let is_open = |query: &&Query| !query.is_finished && !query.is_streaming;
        let Some(query) = self.queries.get(id).filter(is_open) else {
            return;
        };
        match self.checked_attempt(query) {
            Some(_) if self.now >= query.deadline + self.time_out_slack() => {
                self.answer_finally(id, actions);
            }
            Some(checked) => self.check_attempt(id, &checked, actions),
            None if self.now >= self.give_up_at(query) => self.give_up(id, actions),
            None => self.enqueue(id),
        }
    }

    fn checked_attempt(&self, query: &Query) -> Option<CheckedAttempt> {
        let attempt = query.attempt.as_ref()?;
        let last_active_at = attempt.sent_at.max(attempt.last_progress_at);
        let limit = self.silence_limit(query, last_active_at);
        let is_silent = self.now >= last_active_at + limit;
        let silence_starts_at = if is_silent { self.now } else { last_active_at };
        Some(CheckedAttempt {
            engine: attempt.engine,
            class: query.class,
            last_active_at,
            is_silent,
            was_silent: attempt.was_silent,
            is_queued_at_engine: attempt.is_queued_at_engine,
            cancelled: attempt.cancelled,
            is_unachievable: self.objective_is_unachievable(query),
            next_check_at: silence_starts_at + limit,
        })
    }

    fn check_attempt(&mut self, id: QueryId, checked: &CheckedAttempt, actions: &mut Vec<Action>) {
        if !checked.cancelled {
            if checked.is_silent {
                self.record_silence_failure(checked);
                self.count_silence(id, checked.class);
            }
            if checked.is_unachievable {
                return self.give_up(id, actions);
            }
            if checked.is_silent {
                self.reroute(id, actions);
            }
        }
        self.schedule_check(id, checked.next_check_at);
    }

    /// Counts a silent attempt as a failure of its engine. If the engine has been active for other
    /// queries, the failure counts for this class only, and once for each attempt. An attempt that
    /// is queued at the engine is expected to be silent, so it does not count as a failure.
    fn record_silence_failure(&mut self, checked: &CheckedAttempt) {
        if checked.is_queued_at_engine {
            return;
        }
        let engine = self.engines.get(&checked.engine);
        if engine.is_none_or(|engine| engine.last_active_at <= checked.last_active_at) {
            let silent_fraction = self.class_stats[checked.class].silent_fraction;
            self.record_silence(checked.engine, silent_fraction);
        } else if !checked.was_silent {
            self.record_silence_of_class(checked.engine, checked.class);
        }
    }

    fn count_silence(&mut self, id: QueryId, class: usize) {
        let query = self.queries.get_mut(id);
        if let Some(attempt) = query.and_then(|query| query.attempt.as_mut()) {
            attempt.was_silent = true;
        }
        let silent_fraction = &mut self.class_stats[class].silent_fraction;
        *silent_fraction += CLASS_GAIN * (1.0 - *silent_fraction);
    }

    /// Returns how long an attempt may be silent, counted from `since`. Without progress reports
    /// the limit is the time that is left until a new attempt would be expected to end at the
    /// objective. It is kept between a minimum and a maximum multiple of the usual run time, since
    /// estimates vary.
    pub(super) fn silence_limit(&self, query: &Query, since: Micros) -> Micros {
        if self.settings.progress_period.is_some() {
            return self.control_periods(SILENT_PERIODS);
        }
        let usual = self.usual_run(query);
        let remaining = seconds(self.objective_at(query).saturating_sub(since));
        let latest_restart = remaining - self.expected_run(query);
        let limit = latest_restart.min(MAX_SILENT_RUNS * usual);
        micros(limit.max(MIN_SILENT_RUNS * usual)).max(1)
    }

    /// Cancels an attempt so that the query can go elsewhere. Does so only if another engine is
    /// available, a new attempt has enough time and is allowed, and a duplicate does no harm.
    pub(super) fn reroute(&mut self, id: QueryId, actions: &mut Vec<Action>) {
        let query = self.queries.get(id);
        if query.is_some_and(|query| self.may_reroute(query)) {
            self.cancel_attempt(id, actions);
        }
    }

    fn may_reroute(&self, query: &Query) -> bool {
        let Some(attempt) = &query.attempt else {
            return false;
        };
        let mut engines = self.engines.iter();
        let has_alternative =
            engines.any(|(id, engine)| *id != attempt.engine && self.is_available(engine));
        let has_time = self.now + micros(self.expected_run(query)) < query.deadline;
        has_alternative
            && has_time
            && self.is_safe_to_duplicate(query)
            && !query.is_streaming
            && self.reason_not_to_repeat(query).is_none()
            && self.retry_budget_allows()
    }
}
