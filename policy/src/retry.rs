//! Whether a query gets a further attempt.
//!
//! - Decides: [`RetryDecision`] once an attempt has ended, and the limits on every further
//!   attempt: their number, whether the query may run twice and where, and the retry budget.
//! - Inputs: the class's idempotency and deduplication window (microseconds), the time to the
//!   deadline, the expected run, and the retries of the budget's window.
//! - Reason: retries hide faults of single engines, but add load, and a query that may have run
//!   must not run again where that would have an effect.

use crate::interface::{DedupGroup, Engine, Idempotency, Micros, RetryBudget};
use crate::state::Query;
use crate::units::micros;
use crate::Gateway;

/// The expected run of a retry counts as no more than its client's timeout over this, so that no
/// estimate, however long, rules out a retry before the last quarter of that time.
const MAX_RETRY_RUN_DIVISOR: u64 = 4;

/// What follows once an attempt of a query has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RetryDecision {
    /// It is queued for a further attempt.
    Retry,
    /// It gets no further attempt.
    Stop(StopReason),
}

/// Why a query gets no further attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StopReason {
    /// A further run would not end before its deadline.
    DeadlineTooClose,
    /// It may have run, and no engine would discard a duplicate, or no longer.
    OutsideDedupGroup,
    /// A second engine answered with an error: the fault is the query's.
    FailedTwice,
    /// It has had all its attempts.
    AttemptsSpent,
    /// It may have run, and must not run twice.
    NotIdempotent,
    /// It would be late, and useless then.
    ObjectiveUnachievable,
}

impl Gateway {
    /// Whether a query gets a further attempt; `failed_twice` says that two attempts ended in
    /// errors.
    pub(crate) fn retry_decision(&self, query: &Query, failed_twice: bool) -> RetryDecision {
        let max_run = query.request.client_timeout / MAX_RETRY_RUN_DIVISOR;
        let run = micros(self.expected_run(query)).min(max_run);
        if self.now + run >= query.deadline {
            return RetryDecision::Stop(StopReason::DeadlineTooClose);
        }
        let mut engines = self.engines.values();
        if !engines.any(|engine| self.discards_duplicates_of(query, &engine.listed)) {
            return RetryDecision::Stop(StopReason::OutsideDedupGroup);
        }
        if failed_twice {
            return RetryDecision::Stop(StopReason::FailedTwice);
        }
        if let Some(reason) = self.repetition_limit(query) {
            return RetryDecision::Stop(reason);
        }
        if self.objective_is_unachievable(query) {
            return RetryDecision::Stop(StopReason::ObjectiveUnachievable);
        }
        RetryDecision::Retry
    }

    /// Why a query may have no further attempt anywhere, if so.
    pub(crate) fn repetition_limit(&self, query: &Query) -> Option<StopReason> {
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

    /// Whether a duplicate of a query would have no effect on an engine. A deduplicated query
    /// that may have run goes only to engines that still remember it.
    pub(crate) fn discards_duplicates_of(&self, query: &Query, engine: &Engine) -> bool {
        let class = self.class_of(query);
        let is_deduplicated = class.idempotency == Idempotency::Deduplicated;
        let Some(first) = query.first_run.filter(|_| is_deduplicated) else {
            return true;
        };
        let same_zone = first.engine.zone == engine.zone;
        let in_group = match class.dedup_group {
            DedupGroup::All => true,
            DedupGroup::Zone => same_zone,
            DedupGroup::Cell => same_zone && first.engine.cell == engine.cell,
        };
        in_group && self.now < first.sent_at + class.dedup_window.unwrap_or(0)
    }

    /// Whether a duplicate of a query would have no effect anywhere, for more than a control
    /// period yet.
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

    /// When the attempt was sent that engines remember first.
    fn first_sent_at(&self, query: &Query) -> Micros {
        let first_run = query.first_run.map(|first| first.sent_at);
        let running = query.attempt.as_ref().map(|attempt| attempt.sent_at);
        first_run.or(running).unwrap_or(self.now)
    }

    /// Whether the retry budget allows a further attempt.
    pub(crate) fn retry_budget_allows(&self) -> bool {
        let Some(budget) = self.settings.retry_budget else {
            return true;
        };
        let from = self.now.saturating_sub(budget.window);
        self.queries.history.retries_since(from) + 1.0 <= self.retries_allowed(&budget)
    }

    /// The retries that the budget allows in the window that ends now.
    pub(crate) fn retries_allowed(&self, budget: &RetryBudget) -> f64 {
        let from = self.now.saturating_sub(budget.window);
        let arrivals = self.queries.history.arrivals_since(from);
        budget.min_retries + budget.retry_ratio * arrivals
    }
}
