//! Handles the progress reports of an attempt.
//!
//! - Decides: this module makes the [`ProgressDecision`].
//! - Inputs: it uses the fraction of the work that is done, the time that it took, the memory that
//!   the attempt lacks, and whether the attempt is queued at the engine. It also uses the expected
//!   run and the predicted wait of a new attempt, in seconds.
//! - Reason: a query whose attempt is stuck or far slower than expected is sent elsewhere, provided
//!   that a new attempt would end well before this one.

use crate::interface::{Action, EngineId, Micros, Progress, QueryId};
use crate::memory_grant::cut_memory_quota;
use crate::speed::PROGRESS_SPEED_GAIN;
use crate::state::Query;
use crate::timers::QUEUE_POLL_PERIODS;
use crate::units::{micros, seconds};
use crate::Gateway;

/// An attempt is slow if its total run time is more than this multiple of the expected run.
const SLOW_RUN_FACTOR: f64 = 3.0;
/// A slow attempt is rerouted if its remaining run time is more than this multiple of the time that
/// a new attempt would take.
const REMAINING_RUN_FACTOR: f64 = 2.0;
/// How long nothing is sent to an engine where queries wait for memory, in control periods.
const MEMORY_BACKOFF_PERIODS: f64 = 1.2;
/// The minimum fraction done that a report counts as, since the run time is divided by it.
const MIN_FRACTION_DONE: f64 = 1e-3;
/// The minimum run time at a report, in seconds, since the speed is computed by a division by it.
const MIN_TIME_S: f64 = 1e-3;

/// The decision about an attempt after a progress report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ProgressDecision {
    /// The attempt goes on.
    Continue,
    /// The attempt is cancelled if it may be, so that the query is sent elsewhere.
    Reroute,
    /// The query is given up.
    GiveUp,
}

/// The attempt that a progress report is about.
#[derive(Debug, Clone, Copy)]
struct ReportingAttempt {
    engine: EngineId,
    sent_at: Micros,
    priority: u8,
}

/// The run time and the speed of an attempt, estimated from its report.
#[derive(Debug, Clone, Copy)]
struct RunEstimate {
    /// The total run time, in seconds.
    total: f64,
    /// The remaining run time, in seconds.
    remaining: f64,
    /// The work per thread-second.
    speed: f64,
}

impl Gateway {
    /// Handles a progress report.
    pub(crate) fn on_progress(
        &mut self,
        id: QueryId,
        attempt: u32,
        progress: Progress,
        actions: &mut Vec<Action>,
    ) {
        let Some(reporting) = self.record_progress(id, attempt, progress) else {
            return;
        };
        let needs_larger_grant = match progress {
            Progress::Spilling(missing_mb) => self.on_spill(id, missing_mb),
            _ => false,
        };
        self.record_progress_of_engine(reporting.engine, progress);
        let Some(query) = self.queries.get(id) else {
            return;
        };
        match progress {
            Progress::Spilling(_) if needs_larger_grant => self.reroute(id, actions),
            // A queued attempt has done no work yet, so a reroute loses none. It must leave a
            // further attempt for a later failure.
            Progress::WaitingForMemory if self.has_spare_attempt(query) => {
                self.reroute(id, actions);
            }
            Progress::FractionDone(fraction) => {
                let run = self.estimate_run(query, reporting.sent_at, fraction);
                match self.progress_decision(query, &run) {
                    ProgressDecision::GiveUp => return self.give_up(id, actions),
                    ProgressDecision::Reroute => self.reroute(id, actions),
                    ProgressDecision::Continue => {}
                }
                let ReportingAttempt {
                    engine, priority, ..
                } = reporting;
                self.record_engine_speed(engine, priority, run.speed, PROGRESS_SPEED_GAIN);
            }
            _ => {}
        }
        self.schedule_check_after_progress(id);
    }

    /// Records a report in its attempt. Returns `None` if the report is about another attempt than
    /// the one that is out.
    fn record_progress(
        &mut self,
        id: QueryId,
        number: u32,
        progress: Progress,
    ) -> Option<ReportingAttempt> {
        let query = self.queries.get_mut(id)?;
        if number + 1 != query.attempts {
            return None;
        }
        let attempt = query.attempt.as_mut()?;
        attempt.last_progress_at = self.now;
        attempt.is_queued_at_engine = matches!(
            progress,
            Progress::WaitingForMemory | Progress::WaitingForBulkLoad
        );
        Some(ReportingAttempt {
            engine: attempt.engine,
            sent_at: attempt.sent_at,
            priority: attempt.priority,
        })
    }

    /// Records a report in its engine. If queries wait for memory there, the memory quota is cut
    /// and nothing is sent to the engine for a time.
    fn record_progress_of_engine(&mut self, engine: EngineId, progress: Progress) {
        let backoff_until = self.now + self.control_periods(MEMORY_BACKOFF_PERIODS);
        let Some(engine) = self.engines.get_mut(&engine) else {
            return;
        };
        engine.last_active_at = self.now;
        if progress == Progress::WaitingForMemory {
            cut_memory_quota(engine, self.now, self.gateways);
            engine.backoff_until = backoff_until;
        }
    }

    /// Returns whether a query may have at least two more attempts.
    fn has_spare_attempt(&self, query: &Query) -> bool {
        query.attempts + 1 < self.settings.max_attempts.unwrap_or(u32::MAX)
    }

    fn estimate_run(&self, query: &Query, sent_at: Micros, fraction: f64) -> RunEstimate {
        let elapsed = seconds(self.now - sent_at).max(MIN_TIME_S);
        // `max` turns NaN into 0, so that NaN counts as the minimum.
        let done = fraction.max(0.0).clamp(MIN_FRACTION_DONE, 1.0);
        let total = elapsed / done;
        RunEstimate {
            total,
            remaining: total - elapsed,
            speed: done * query.work / (query.threads * elapsed),
        }
    }

    fn progress_decision(&self, query: &Query, run: &RunEstimate) -> ProgressDecision {
        let ends_at = self.now + micros(run.remaining);
        // If the run takes longer than expected, the query may have more work than expected. Assume
        // the work that is done in the total run time at the overall speed. More work extends the
        // objective.
        let work = query
            .work
            .max(self.overall_speed() * run.total * query.threads);
        if self.is_useless_when_late(query) && ends_at > self.objective_for_work(query, work) {
            return ProgressDecision::GiveUp;
        }
        let expected = self.expected_run(query);
        let new_attempt = expected + self.predicted_wait();
        let is_late = ends_at > self.objective_at(query);
        let is_slow = run.total > SLOW_RUN_FACTOR * expected;
        if is_late && is_slow && run.remaining > REMAINING_RUN_FACTOR * new_attempt {
            ProgressDecision::Reroute
        } else {
            ProgressDecision::Continue
        }
    }

    /// Schedules the next check, for silence. An attempt that is queued at its engine sends no
    /// further reports, so it is also checked at the time of [`Self::give_up_at`].
    fn schedule_check_after_progress(&mut self, id: QueryId) {
        let Some(query) = self.queries.get(id) else {
            return;
        };
        let attempt = query.attempt.as_ref();
        let silent_at = self.now + self.silence_limit(query, self.now);
        let at = if attempt.is_some_and(|attempt| attempt.is_queued_at_engine) {
            let soonest = self.now + self.control_periods(QUEUE_POLL_PERIODS);
            self.give_up_at(query).max(soonest).min(silent_at)
        } else {
            silent_at
        };
        self.schedule_check(id, at);
    }
}
