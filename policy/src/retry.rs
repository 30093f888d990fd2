//! Decides whether a query gets a further attempt.
//!
//! - Decides: this module makes the [`RetryDecision`] when an attempt has ended. It also decides
//!   the limits on every further attempt: the number of attempts, whether and where the query may
//!   run twice, and the retry budget.
//! - Inputs: it uses the class's idempotency and deduplication window (microseconds), the time to
//!   the deadline, the expected run, and the retries in the window of the budget.
//! - Reason: retries hide failures of single engines but add load. A query that may have run must
//!   not run again if that would have an effect.

use crate::interface::{
    DedupGroup, Engine, Idempotency, Micros, PossibleRun, QueryId, RetryBudget,
};
use crate::state::Query;
use crate::units::micros;
use crate::Gateway;

/// The expected run of a retry counts as no more than the client's timeout divided by this number.
/// No estimate, however long, prevents a retry before the last quarter of that timeout.
const MAX_RETRY_RUN_DIVISOR: u64 = 4;

/// The decision about a query after one of its attempts has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RetryDecision {
    /// The query is queued for a further attempt.
    Retry,
    /// The query gets no further attempt, for this reason.
    Stop(StopReason),
}

/// Why a query gets no further attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StopReason {
    /// A further run would not end before the deadline.
    DeadlineTooClose,
    /// The query may have run, and no engine discards a duplicate of it now.
    OutsideDedupGroup,
    /// A second attempt ended in an error, so the query is the cause.
    FailedTwice,
    /// The query has had its maximum number of attempts.
    AttemptsSpent,
    /// The query may have run, and must not run twice.
    NotIdempotent,
    /// The answer would be late, and a late answer would be useless.
    ObjectiveUnachievable,
}

impl Gateway {
    /// Decides whether a query gets a further attempt. `failed_twice` is whether two attempts ended
    /// in errors.
    pub(crate) fn retry_decision(&self, query: &Query, failed_twice: bool) -> RetryDecision {
        let max_run = query.request.client_timeout / MAX_RETRY_RUN_DIVISOR;
        let run = micros(self.expected_run(query)).min(max_run);
        if self.now + run >= query.deadline {
            return RetryDecision::Stop(StopReason::DeadlineTooClose);
        }
        if !self.any_engine_discards_duplicates_of(query) {
            return RetryDecision::Stop(StopReason::OutsideDedupGroup);
        }
        if failed_twice {
            return RetryDecision::Stop(StopReason::FailedTwice);
        }
        if let Some(reason) = self.reason_not_to_repeat(query) {
            return RetryDecision::Stop(reason);
        }
        if self.objective_is_unachievable(query) {
            return RetryDecision::Stop(StopReason::ObjectiveUnachievable);
        }
        RetryDecision::Retry
    }

    /// Returns the reason why a query may have no further attempt at any engine, or `None` if it
    /// may have one.
    pub(crate) fn reason_not_to_repeat(&self, query: &Query) -> Option<StopReason> {
        let max_attempts = self.settings.max_attempts.unwrap_or(u32::MAX).max(1);
        let at_most_once = self.class_of(query).idempotency == Idempotency::AtMostOnce;
        if query.attempts >= max_attempts {
            Some(StopReason::AttemptsSpent)
        } else if at_most_once && query.may_have_run {
            Some(StopReason::NotIdempotent)
        } else {
            None
        }
    }

    /// Returns whether deduplication allows an attempt of a query at an engine. A deduplicated
    /// query that may have run goes only to engines that still remember it and would discard a
    /// duplicate. For all other queries the result is `true`.
    pub(crate) fn discards_duplicates_of(&self, query: &Query, engine: &Engine) -> bool {
        let class = self.class_of(query);
        let is_deduplicated = class.idempotency == Idempotency::Deduplicated;
        let Some(first) = query.first_run.filter(|_| is_deduplicated) else {
            return true;
        };
        let same_zone = first.location.zone == engine.zone;
        let in_group = match class.dedup_group {
            DedupGroup::All => true,
            DedupGroup::Zone => same_zone,
            DedupGroup::Cell => first.location == engine.location(),
        };
        in_group && self.now < first.sent_at + class.dedup_window.unwrap_or(0)
    }

    /// Returns whether deduplication allows an attempt of a query at any engine.
    pub(crate) fn any_engine_discards_duplicates_of(&self, query: &Query) -> bool {
        let mut engines = self.engines.values();
        engines.any(|engine| self.discards_duplicates_of(query, &engine.listed))
    }

    /// Handles the event that an attempt of another request with the same idempotency key was sent:
    /// that attempt may run, and the query is then a duplicate of it.
    pub(crate) fn on_duplicate_sent(&mut self, id: QueryId, run: PossibleRun) {
        let Some(query) = self.queries.get_mut(id) else {
            return;
        };
        query.record_possible_run(run);
        if query.is_queued {
            // The query may have to be given up sooner.
            self.enqueue(id);
        }
    }

    /// Returns whether a duplicate of a query would have no effect at any engine, now and for more
    /// than a control period.
    pub(crate) fn is_safe_to_duplicate(&self, query: &Query) -> bool {
        let class = self.class_of(query);
        match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::AtMostOnce => false,
            Idempotency::Deduplicated => {
                let first_sent_at = self.first_sent_at(query);
                let forgotten_at = first_sent_at + class.dedup_window.unwrap_or(0);
                let is_remembered = self.now + self.control_period() < forgotten_at;
                class.dedup_group == DedupGroup::All && is_remembered
            }
        }
    }

    /// Returns the time from which engines remember a query: when the first attempt that may have
    /// run was sent, or else the attempt that is out, or else now.
    fn first_sent_at(&self, query: &Query) -> Micros {
        let first_run = query.first_run.map(|first| first.sent_at);
        let running = query.attempt.as_ref().map(|attempt| attempt.sent_at);
        first_run.or(running).unwrap_or(self.now)
    }

    /// Returns whether the retry budget allows one more retry.
    pub(crate) fn retry_budget_allows(&self) -> bool {
        let Some(budget) = self.settings.retry_budget else {
            return true;
        };
        let from = self.now.saturating_sub(budget.window);
        self.queries.history.retries_since(from) + 1.0 <= self.retries_allowed(&budget)
    }

    /// Returns the number of retries that the budget allows in the window that ends now.
    pub(crate) fn retries_allowed(&self, budget: &RetryBudget) -> f64 {
        let from = self.now.saturating_sub(budget.window);
        let arrivals = self.queries.history.arrivals_since(from);
        budget.min_retries + budget.retry_ratio * arrivals
    }
}
