//! Handles the end of an attempt: releases its capacity, records its outcome, and retries or
//! answers the query.

use crate::interface::{Action, AttemptEnded, EngineId, Outcome, PossibleRun, QueryId};
use crate::outlier_detection::FailureReason;
use crate::retry::{RetryDecision, StopReason};
use crate::state::Attempt;
use crate::Gateway;

/// How long nothing is sent to an engine that rejected an attempt because it was full, in control
/// periods.
const OVERLOAD_BACKOFF_PERIODS: f64 = 0.25;

/// An attempt that has ended and was removed from its query.
#[derive(Debug)]
struct RemovedAttempt {
    attempt: Attempt,
    /// The engine that answered an earlier attempt of the query with an error, if any.
    earlier_error: Option<EngineId>,
}

impl Gateway {
    /// Handles the end of an attempt.
    pub(crate) fn on_attempt_ended(&mut self, ended: &AttemptEnded, actions: &mut Vec<Action>) {
        let Some(removed) = self.take_attempt(ended) else {
            return;
        };
        self.release_capacity(ended.query, &removed.attempt, ended.outcome);
        self.hold_key_after(ended.query, ended.outcome);
        self.record_outcome(ended, &removed);
        let failed_twice = ended.outcome == Outcome::Error && removed.earlier_error.is_some();
        self.retry_or_answer(ended.query, failed_twice, actions);
    }

    /// Removes the attempt from its query. Returns `None` if the event is about another attempt
    /// than the one that is out.
    fn take_attempt(&mut self, ended: &AttemptEnded) -> Option<RemovedAttempt> {
        let query = self.queries.get_mut(ended.query)?;
        if ended.attempt + 1 != query.attempts {
            return None;
        }
        let attempt = query.attempt.take()?;
        query.last_engine = Some(attempt.engine);
        query.is_finished |= ended.query_answered;
        query.may_have_run |= ended.outcome.may_have_run();
        let earlier_error = query.error_engine;
        if ended.outcome == Outcome::Error {
            query.error_engine = Some(attempt.engine);
        }
        Some(RemovedAttempt {
            attempt,
            earlier_error,
        })
    }

    fn release_capacity(&mut self, id: QueryId, attempt: &Attempt, outcome: Outcome) {
        let Some(query) = self.queries.get_mut(id) else {
            return;
        };
        let (class, threads) = (query.class, query.threads);
        if let Some(engine) = self.engines.get_mut(&attempt.engine) {
            engine.release_attempt(id, attempt.priority, threads, attempt.granted_mb);
            if outcome.may_have_run() {
                query.record_possible_run(PossibleRun {
                    location: engine.listed.location(),
                    sent_at: attempt.sent_at,
                });
            }
        }
        self.queries
            .release_attempt(class, attempt.priority, threads);
    }

    /// Updates the health, the backoff and the statistics of engines from the outcome of an
    /// attempt.
    fn record_outcome(&mut self, ended: &AttemptEnded, removed: &RemovedAttempt) {
        let engine = removed.attempt.engine;
        if let Some(reason) = self.failure_reason(ended.query, engine, ended.outcome) {
            self.record_failure(engine, reason);
        }
        match ended.outcome {
            Outcome::Completed => {
                // The query is valid, so an engine that answered it with an error is at fault.
                let other = removed.earlier_error.filter(|other| *other != engine);
                if let Some(other) = other {
                    self.record_failure(other, FailureReason::Error);
                }
                self.record_completion(ended, &removed.attempt);
            }
            Outcome::Overloaded => {
                let until = self.now + self.control_periods(OVERLOAD_BACKOFF_PERIODS);
                if let Some(engine) = self.engines.get_mut(&engine) {
                    engine.backoff_until = until;
                }
            }
            Outcome::Error
            | Outcome::TimedOut
            | Outcome::ConnectionRefused
            | Outcome::ConnectionLost
            | Outcome::Cancelled
            | Outcome::NeverSent => {}
        }
    }

    fn retry_or_answer(&mut self, id: QueryId, failed_twice: bool, actions: &mut Vec<Action>) {
        let Some(query) = self.queries.get(id) else {
            return;
        };
        if query.is_finished {
            return self.remove_if_done(id);
        }
        match self.retry_decision(query, failed_twice) {
            RetryDecision::Retry => self.enqueue(id),
            RetryDecision::Stop(StopReason::ObjectiveUnachievable) => self.give_up(id, actions),
            RetryDecision::Stop(
                StopReason::DeadlineTooClose
                | StopReason::OutsideDedupGroup
                | StopReason::FailedTwice
                | StopReason::AttemptsSpent
                | StopReason::NotIdempotent,
            ) => self.answer_finally(id, actions),
        }
    }
}
