//! Which queued query is sent next, and in which order queries of one key run.
//!
//! - Decides: when a query enters its queue, and which one is sent as capacity opens.
//! - Inputs: the order of arrival, the ordering keys of queries and their open attempts, and
//!   whether the retry budget is spent.
//! - Rule: each class has a queue. The oldest query at the head of any queue is sent, if it
//!   fits on an engine; otherwise the next oldest head.
//! - Reason: in order of arrival no query is passed over for ever, and a query that fits
//!   nowhere holds up its own class only.

use crate::interface::{Action, EngineId, Micros, Outcome, QueryId};
use crate::state::{KeyHold, Query};
use crate::timers::QUEUE_POLL_PERIODS;
use crate::Gateway;

impl Gateway {
    /// Queues a query. It is checked again when, as things are now, it can no longer be in time.
    pub(crate) fn enqueue(&mut self, id: QueryId) {
        self.queries.count_as_queued(id);
        self.enter_queue_in_order(id);
        let soonest = self.now + self.control_periods(QUEUE_POLL_PERIODS);
        let at = self.queries.get(id).map_or(0, |query| {
            // No event reports the end of a hold on a key.
            let hold_ends = self
                .key_hold_of(query)
                .map_or(Micros::MAX, |hold| hold.until);
            self.give_up_at(query).min(hold_ends)
        });
        self.schedule_check(id, at.max(soonest));
    }

    /// Sends queued queries for as long as an engine fits the head of a queue.
    pub(crate) fn dispatch_queued(&mut self, actions: &mut Vec<Action>) {
        while let Some((id, engine)) = self.next_to_send() {
            self.queries.leave_queue(id);
            if !self.send(id, engine, actions) {
                self.answer_finally(id, actions);
            }
        }
    }

    /// The next query to send, with its engine. While the retry budget is spent, queries that had
    /// an attempt must not hold up those behind them that had none.
    fn next_to_send(&mut self) -> Option<(QueryId, EngineId)> {
        let first_attempts_only = !self.retry_budget_allows();
        let heads = self.queries.queue_heads(first_attempts_only);
        heads
            .into_iter()
            .find_map(|id| Some((id, self.choose_engine(id)?)))
    }

    /// Puts a query that counts as queued into its queue, unless its key makes it wait.
    fn enter_queue_in_order(&mut self, id: QueryId) {
        let query = self.queries.get(id);
        if query.is_some_and(|query| self.key_allows(query)) {
            self.queries.enter_queue(id);
        }
    }

    /// Whether a query may run as far as its ordering key is concerned: it is the oldest one
    /// open, and no attempt of another may still run.
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

    /// Holds the ordering key of a query whose attempt may still run.
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

    /// Takes a query out of the order of its key and lets the next one in.
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
        }
    }
}
