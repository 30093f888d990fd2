//! An attempt reports its progress.
//!
//! - Decides: [`ProgressDecision`].
//! - Inputs: the fraction of its work that is done, the time that took, memory that it lacks,
//!   and whether it is queued at the engine; the expected run and the predicted wait of a new
//!   attempt, in seconds.
//! - Reason: an attempt that is stuck or far slower than expected is better off elsewhere, as
//!   long as a new one would be done well before it.

use crate::interface::{Action, EngineId, Micros, Progress, QueryId};
use crate::memory_grant::cut_memory_quota;
use crate::speed::PROGRESS_SPEED_GAIN;
use crate::state::Query;
use crate::timers::QUEUE_POLL_PERIODS;
use crate::units::{micros, seconds};
use crate::Gateway;

/// An attempt is slow that takes this many times its expected run in all ...
const SLOW_RUN_FACTOR: f64 = 3.0;
/// ... and is rerouted if it still takes this many times as long as a new attempt.
const REMAINING_RUN_FACTOR: f64 = 2.0;
/// Control periods for which nothing is sent to an engine where queries wait for memory.
const MEMORY_BACKOFF_PERIODS: f64 = 1.2;
/// Bounds of what a report is taken to say.
const MIN_FRACTION_DONE: f64 = 1e-3;
const MIN_TIME_S: f64 = 1e-3;

/// What follows from a progress report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ProgressDecision {
    /// The attempt goes on.
    Continue,
    /// It is cancelled, so that the query is sent elsewhere.
    Reroute,
    /// The query is given up.
    GiveUp,
}

/// What is known of an attempt as it reports.
#[derive(Debug, Clone, Copy)]
struct Reporting {
    engine: EngineId,
    sent_at: Micros,
    priority: u8,
}

/// How fast an attempt runs, by its report.
#[derive(Debug, Clone, Copy)]
struct RunEstimate {
    /// Run time in all, in seconds.
    total: f64,
    /// Time to the end, in seconds.
    remaining: f64,
    /// Work per thread-second.
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
        let restart_with_more = match progress {
            Progress::Spilling(missing_mb) => self.on_spill(id, missing_mb),
            _ => false,
        };
        self.record_progress_of_engine(reporting.engine, progress);
        let Some(query) = self.queries.get(id) else {
            return;
        };
        match progress {
            Progress::Spilling(_) if restart_with_more => self.reroute(id, actions),
            // A queued attempt has done no work yet; the last attempt is reserved for faults.
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
                let Reporting {
                    engine, priority, ..
                } = reporting;
                self.record_engine_speed(engine, priority, run.speed, PROGRESS_SPEED_GAIN);
            }
            _ => {}
        }
        self.schedule_check_after_progress(id);
    }

    /// Records the report with its attempt; `None` if that is not the one that is out.
    fn record_progress(
        &mut self,
        id: QueryId,
        number: u32,
        progress: Progress,
    ) -> Option<Reporting> {
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
        Some(Reporting {
            engine: attempt.engine,
            sent_at: attempt.sent_at,
            priority: attempt.priority,
        })
    }

    /// Records the report with its engine. One where queries wait for memory gets nothing for a
    /// while.
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

    /// Whether a query has an attempt to spare after the next one.
    fn has_spare_attempt(&self, query: &Query) -> bool {
        query.attempts + 1 < self.settings.max_attempts.unwrap_or(u32::MAX)
    }

    fn estimate_run(&self, query: &Query, sent_at: Micros, fraction: f64) -> RunEstimate {
        let elapsed = seconds(self.now - sent_at).max(MIN_TIME_S);
        // `max` first, so that a fraction that is not a number counts as nearly nothing done.
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
        // The work that so long a run comes to at the usual speed, where that is more than
        // expected.
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

    /// The next check is for silence. An attempt that is queued at its engine reports no more, so
    /// it is also checked when it can no longer be in time.
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
