//! The table of open queries. It indexes queued queries by class and checks by time, and counts
//! attempts by class and their threads by priority.

use std::collections::{BTreeMap, BTreeSet};

use super::{KeyOrder, Query, RetryHistory, ThreadsByPriority};
use crate::interface::{Micros, QueryId};

/// Queued queries, by sequence number.
type Queue = BTreeMap<u64, QueryId>;

/// The table of open queries.
#[derive(Debug, Default)]
pub(crate) struct QueryTable {
    queries: BTreeMap<QueryId, Query>,
    /// One queue for each class.
    queues: Vec<Queue>,
    /// The queries of each queue that have had no attempt yet.
    first_attempt_queues: Vec<Queue>,
    /// The time of the next check of each query.
    checks: BTreeSet<(Micros, QueryId)>,
    /// The number of queued queries. It includes queries that wait for their ordering key and are
    /// not in a queue.
    queued: usize,
    queued_work: f64,
    /// The number of attempts that have not ended, by class.
    attempts_out: Vec<usize>,
    /// The threads of all attempts that have not ended.
    pub threads_out: ThreadsByPriority,
    /// The open queries of each ordering key.
    pub keys: BTreeMap<u64, KeyOrder>,
    /// When the holds of ordering keys without open queries end.
    hold_ends: BTreeSet<(Micros, u64)>,
    /// The number of queries that have arrived since the gateway started.
    pub arrivals: u64,
    pub history: RetryHistory,
}

impl QueryTable {
    pub fn new(classes: usize) -> Self {
        QueryTable {
            queues: vec![Queue::new(); classes],
            first_attempt_queues: vec![Queue::new(); classes],
            attempts_out: vec![0; classes],
            ..QueryTable::default()
        }
    }

    pub fn get(&self, id: QueryId) -> Option<&Query> {
        self.queries.get(&id)
    }

    pub fn get_mut(&mut self, id: QueryId) -> Option<&mut Query> {
        self.queries.get_mut(&id)
    }

    pub fn contains(&self, id: QueryId) -> bool {
        self.queries.contains_key(&id)
    }

    /// Counts an arrival and returns its sequence number.
    pub fn next_sequence(&mut self, now: Micros) -> u64 {
        self.history.record_arrival(now);
        self.arrivals += 1;
        self.arrivals
    }

    /// Forgets an ordering key without open queries at `held_until`, when its hold ends, unless it is
    /// used again until then.
    pub fn forget_key_at(&mut self, held_until: Micros, key: u64) {
        self.hold_ends.insert((held_until, key));
    }

    /// Forgets the ordering keys whose holds have ended and which have no open queries.
    pub fn forget_released_keys(&mut self, now: Micros) {
        while let Some((held_until, key)) = self.hold_ends.first().copied() {
            if held_until > now {
                return;
            }
            self.hold_ends.pop_first();
            let order = self.keys.get(&key);
            if order.is_some_and(|order| order.is_unused_at(now)) {
                self.keys.remove(&key);
            }
        }
    }

    pub fn insert(&mut self, query: Query) {
        self.queries.insert(query.request.id, query);
    }

    /// Removes a query from the table, its queue and the checks.
    pub fn remove(&mut self, id: QueryId) {
        self.leave_queue(id);
        if let Some(query) = self.queries.remove(&id) {
            self.checks.remove(&(query.check_at, id));
        }
    }

    /// Counts a query as queued, without adding it to its queue.
    pub fn count_as_queued(&mut self, id: QueryId) {
        let waits = |query: &&mut Query| !query.is_queued && !query.is_finished;
        if let Some(query) = self.queries.get_mut(&id).filter(waits) {
            query.is_queued = true;
            self.queued += 1;
            self.queued_work += query.work;
        }
    }

    /// Adds a query that counts as queued to its queue.
    pub fn enter_queue(&mut self, id: QueryId) {
        if let Some(query) = self.queries.get(&id).filter(|query| query.is_queued) {
            self.queues[query.class].insert(query.sequence, id);
            if query.attempts == 0 {
                self.first_attempt_queues[query.class].insert(query.sequence, id);
            }
        }
    }

    pub fn leave_queue(&mut self, id: QueryId) {
        if let Some(query) = self.queries.get_mut(&id).filter(|query| query.is_queued) {
            query.is_queued = false;
            self.queues[query.class].remove(&query.sequence);
            self.first_attempt_queues[query.class].remove(&query.sequence);
            self.queued -= 1;
            // With no query queued the sum is exactly 0. A reset keeps rounding errors from adding
            // up.
            self.queued_work = if self.queued == 0 {
                0.0
            } else {
                self.queued_work - query.work
            };
        }
    }

    /// Returns the oldest query of each queue, ordered from the oldest to the newest. With
    /// `first_attempts_only`, queries that have had an attempt are left out.
    pub fn queue_heads(&self, first_attempts_only: bool) -> Vec<QueryId> {
        let queues = if first_attempts_only {
            &self.first_attempt_queues
        } else {
            &self.queues
        };
        let mut heads: Vec<_> = queues.iter().filter_map(Queue::first_key_value).collect();
        heads.sort_unstable();
        heads.into_iter().map(|(_, id)| *id).collect()
    }

    pub fn queue_is_empty(&self, class: usize) -> bool {
        self.queues[class].is_empty()
    }

    /// Returns whether any queue holds a query.
    pub fn any_queued(&self) -> bool {
        self.queues.iter().any(|queue| !queue.is_empty())
    }

    /// Returns the number of queries that count as queued.
    pub fn queued(&self) -> usize {
        self.queued
    }

    /// Returns the work of all queries that count as queued, in seconds on one thread.
    pub fn queued_work(&self) -> f64 {
        self.queued_work
    }

    pub fn count_attempt(&mut self, class: usize, priority: u8, threads: f64) {
        self.attempts_out[class] += 1;
        self.threads_out[usize::from(priority)] += threads;
    }

    pub fn release_attempt(&mut self, class: usize, priority: u8, threads: f64) {
        self.attempts_out[class] -= 1;
        self.threads_out[usize::from(priority)] -= threads;
        if self.attempts_out.iter().all(|attempts| *attempts == 0) {
            self.threads_out = ThreadsByPriority::default();
        }
    }

    /// Returns the number of attempts of a class that have not ended.
    pub fn attempts_out(&self, class: usize) -> usize {
        self.attempts_out[class]
    }

    /// Sets the time of a query's next check.
    pub fn set_check(&mut self, id: QueryId, at: Micros) {
        if let Some(query) = self.queries.get_mut(&id) {
            self.checks.remove(&(query.check_at, id));
            query.check_at = at;
            self.checks.insert((at, id));
        }
    }

    /// Returns the time of the next check of any query.
    pub fn first_check(&self) -> Option<Micros> {
        self.checks.first().map(|(at, _)| *at)
    }

    /// Removes the next check that is due and returns its query.
    pub fn take_due_check(&mut self, now: Micros) -> Option<QueryId> {
        let (at, id) = self.checks.first().copied().filter(|(at, _)| *at <= now)?;
        self.checks.remove(&(at, id));
        Some(id)
    }
}
