//! Gives the final answer to a query without a result, and decides what happens to its attempt.
//!
//! - Decides: this module decides whether the query is rejected or failed, the retry-after time in
//!   microseconds, and whether the attempt is cancelled.
//! - Inputs: it uses the idempotency of the class, whether the query may have run, the predicted
//!   wait and the expected run.
//! - Reason: a client may retry after a rejection without harm. A query is failed only if it may
//!   have had its effect and a retry could repeat that effect.

use crate::interface::{Action, DedupGroup, Idempotency, Micros, QueryId};
use crate::speed::CLASS_GAIN;
use crate::state::Query;
use crate::units::micros;
use crate::Gateway;

/// The final answer to a query without a result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FinalAnswer {
    /// The query is rejected: it had no effect, or a duplicate of it has none.
    Reject,
    /// The query is failed: it may have had its effect, and a duplicate could repeat that effect.
    Fail,
}

impl Gateway {
    /// Rejects or fails a query at once, and cancels its attempt if that does no harm. This is the
    /// only function that gives a final answer other than a result.
    pub(crate) fn answer_finally(&mut self, id: QueryId, actions: &mut Vec<Action>) {
        self.queries.leave_queue(id);
        let is_open = |query: &&mut Query| !query.is_finished && !query.is_streaming;
        let Some(query) = self.queries.get_mut(id).filter(is_open) else {
            return;
        };
        query.is_finished = true;
        let Some(query) = self.queries.get(id) else {
            return;
        };
        actions.push(match self.final_answer(query) {
            FinalAnswer::Reject => Action::Reject {
                query: id,
                retry_after: self.retry_after(query),
            },
            FinalAnswer::Fail => Action::Fail { query: id },
        });
        self.cancel_attempt(id, actions);
        self.remove_if_done(id);
    }

    /// Gives up a query that was admitted, because its objective is unachievable or the time of
    /// [`Self::give_up_at`] has come. It counts as a late answer in the statistics of its class.
    pub(crate) fn give_up(&mut self, id: QueryId, actions: &mut Vec<Action>) {
        let Some(query) = self.queries.get(id) else {
            return;
        };
        let late_fraction = &mut self.class_stats[query.class].late_fraction;
        *late_fraction += CLASS_GAIN * (1.0 - *late_fraction);
        self.answer_finally(id, actions);
    }

    /// Handles the event that the client of a query disconnected.
    pub(crate) fn on_client_disconnected(&mut self, id: QueryId, actions: &mut Vec<Action>) {
        self.queries.leave_queue(id);
        if let Some(query) = self.queries.get_mut(id) {
            query.is_finished = true;
            self.cancel_attempt(id, actions);
            self.remove_if_done(id);
        }
    }

    /// Handles the event that the response to a query has begun to stream.
    pub(crate) fn on_response_started(&mut self, id: QueryId) {
        if let Some(query) = self.queries.get_mut(id) {
            query.is_streaming = true;
        }
    }

    fn final_answer(&self, query: &Query) -> FinalAnswer {
        let class = self.class_of(query);
        let surely_did_not_run = query.attempt.is_none() && !query.may_have_run;
        let is_harmless = match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::Deduplicated => surely_did_not_run || class.dedup_group == DedupGroup::All,
            Idempotency::AtMostOnce => surely_did_not_run,
        };
        if is_harmless {
            FinalAnswer::Reject
        } else {
            FinalAnswer::Fail
        }
    }

    /// Returns how long the client should wait before a retry: the predicted wait, but at least an
    /// expected run, since full engines are assumed to free no threads sooner.
    fn retry_after(&self, query: &Query) -> Micros {
        let wait = self.predicted_wait().max(self.expected_run(query));
        micros(wait).min(self.settings.max_retry_after.unwrap_or(0))
    }

    /// Cancels the attempt of a query, if attempts can be cancelled and a duplicate does no harm.
    pub(crate) fn cancel_attempt(&mut self, id: QueryId, actions: &mut Vec<Action>) {
        let Some(query) = self.queries.get(id) else {
            return;
        };
        let may_cancel = self.settings.can_cancel && self.is_safe_to_duplicate(query);
        let number = query.attempts.saturating_sub(1);
        let Some(query) = self.queries.get_mut(id) else {
            return;
        };
        if let Some(attempt) = query.attempt.as_mut() {
            if may_cancel && !attempt.cancelled {
                attempt.cancelled = true;
                actions.push(Action::Cancel {
                    query: id,
                    attempt: number,
                });
            }
        }
    }

    /// Removes a query that is finished and has no attempt out, and lets the next query with the
    /// same ordering key into its queue.
    pub(crate) fn remove_if_done(&mut self, id: QueryId) {
        let is_done = |query: &&Query| query.is_finished && query.attempt.is_none();
        let Some(query) = self.queries.get(id).filter(is_done) else {
            return;
        };
        let (key, sequence) = (query.request.ordering_key, query.sequence);
        self.queries.remove(id);
        if let Some(key) = key {
            self.release_key(key, sequence);
        }
    }
}
