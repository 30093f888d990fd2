//! Decides which queued query is sent next, and in which order queries with the same ordering key
//! run.
//!
//! - Decides: this module decides when a query enters its queue, and which query is sent when an
//!   engine has capacity.
//! - Inputs: it uses the order of arrival, the ordering keys of queries and their open attempts,
//!   and whether the retry budget is spent.
//! - Rule: each class has a queue. Of the queries at the heads of the queues, the oldest one that
//!   fits on an engine is sent.
//! - Reason: order of arrival never starves a query, and a query that fits nowhere delays its own
//!   class only.

use crate::interface::{Action, EngineId, Micros, Outcome, QueryId};
use crate::state::{KeyHold, Query};
use crate::timers::QUEUE_POLL_PERIODS;
use crate::Gateway;

impl Gateway {
    /// Queues a query, and schedules a check at the time from which, by present estimates, it is
    /// given up.
    pub(crate) fn enqueue(&mut self, id: QueryId) {
        self.queries.count_as_queued(id);
        self.enter_queue_in_order(id);
        let soonest = self.now + self.control_periods(QUEUE_POLL_PERIODS);
        let at = self.queries.get(id).map_or(0, |query| {
            // No event reports the end of a hold on a key, so a check is needed then.
            let hold_ends = self
                .key_hold_of(query)
                .map_or(Micros::MAX, |hold| hold.until);
            self.give_up_at(query).min(hold_ends)
        });
        self.schedule_check(id, at.max(soonest));
    }

    /// Sends queued queries as long as the head of any queue fits on an engine.
    pub(crate) fn dispatch_queued(&mut self, actions: &mut Vec<Action>) {
        while let Some((id, engine)) = self.next_to_send() {
            self.queries.leave_queue(id);
            if !self.send(id, engine, actions) {
                self.answer_finally(id, actions);
            }
        }
    }

    /// Returns the next query to send, with its engine. While the retry budget is spent, queries
    /// that have had an attempt are skipped, so that they do not delay queries behind them that
    /// have had none.
    fn next_to_send(&mut self) -> Option<(QueryId, EngineId)> {
        let first_attempts_only = !self.retry_budget_allows();
        let heads = self.queries.queue_heads(first_attempts_only);
        heads
            .into_iter()
            .find_map(|id| Some((id, self.choose_engine(id)?)))
    }

    /// Adds a query that counts as queued to its queue, unless it has to wait for its ordering key.
    fn enter_queue_in_order(&mut self, id: QueryId) {
        let query = self.queries.get(id);
        if query.is_some_and(|query| self.key_allows(query)) {
            self.queries.enter_queue(id);
        }
    }

    /// Returns whether the ordering key of a query lets it run: the query is the oldest open one
    /// with that key, and no attempt of another query with that key may still run.
    pub(crate) fn key_allows(&self, query: &Query) -> bool {
        let key = query.request.ordering_key;
        let order = key.and_then(|key| self.queries.keys.get(&key));
        order.is_none_or(|order| order.may_run(query.sequence, self.now))
    }

    fn key_hold_of(&self, query: &Query) -> Option<KeyHold> {
        let key = query.request.ordering_key?;
        let hold = self.queries.keys.get(&key)?.hold;
        hold.filter(|hold| hold.until > self.now)
    }

    /// Holds the ordering key of a query if the attempt that ended may still run on its engine.
    pub(crate) fn hold_key_after(&mut self, id: QueryId, outcome: Outcome) {
        if !outcome.may_still_run() {
            return;
        }
        let until = self.now + self.settings.key_release_delay.unwrap_or(0);
        let Some(query) = self.queries.get(id) else {
            return;
        };
        let (key, sequence) = (query.request.ordering_key, query.sequence);
        if let Some(order) = key.and_then(|key| self.queries.keys.get_mut(&key)) {
            order.hold = Some(KeyHold { until, sequence });
        }
    }

    /// Removes a query from the order of its key, and adds the next query to its queue.
    pub(crate) fn release_key(&mut self, key: u64, sequence: u64) {
        let Some(order) = self.queries.keys.get_mut(&key) else {
            return;
        };
        order.open.remove(&sequence);
        let held_until = order.hold.map_or(0, |hold| hold.until);
        if let Some(next) = order.first() {
            let query = self.queries.get(next);
            let check_at = query.map_or(held_until, |query| query.check_at.min(held_until));
            self.enter_queue_in_order(next);
            self.schedule_check(next, check_at.max(self.now));
        } else if held_until <= self.now {
            self.queries.keys.remove(&key);
        } else {
            self.queries.forget_key_at(held_until, key);
        }
    }
}
