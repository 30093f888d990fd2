//! Decides whether a query that arrives is sent at once, queued, or rejected.
//!
//! - Decides: this module makes the [`AdmissionDecision`].
//! - Inputs: it uses the predicted wait (queued work divided by the rate at which engines work for
//!   this gateway) and the threshold (the longest wait after which the query can still be answered
//!   by a limit between its objective and its deadline). Both are in seconds.
//! - Rule: a query that fits on an engine is sent. Otherwise it is queued with a probability
//!   that falls from 1 to 0 as the predicted wait passes the threshold (a logistic function,
//!   after M. Mazzucco, "Virtual queues from scratch, Part 4").
//! - Reason: a queue that takes longer than clients wait makes every query late.

use crate::deadline::HIGH_LATE_FRACTION;
use crate::interface::{Action, EngineId, Micros, NewQuery, QueryId};
use crate::placement::draw_fraction;
use crate::priority::ARRIVAL_GAIN;
use crate::state::Query;
use crate::units::{micros, seconds};
use crate::Gateway;

/// The scale of the logistic function, as a fraction of the threshold.
const SLOPE_FRACTION: f64 = 0.1;
/// The longest wait for a limit is at least this fraction of the limit, however long the expected
/// run is. The limits are the deadline and the objective, and the threshold lies between the
/// longest waits for both.
const MIN_THRESHOLD_FRACTION: f64 = 0.5;
/// The minimum threshold, in seconds. The admission probability divides by the threshold.
const MIN_THRESHOLD_S: f64 = 1e-3;
/// The time for which all queries of a class share a random draw, as a fraction of the threshold.
/// A client that retries at once gets no new draw.
const SHARED_DRAW_FRACTION: f64 = 0.1;

/// The decision about a query that arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AdmissionDecision {
    /// The query is sent to this engine at once.
    Send(EngineId),
    /// The query waits for an engine.
    Queue,
    /// The query is rejected for this reason.
    Reject(RejectReason),
}

/// Why a query that arrives is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RejectReason {
    /// The query is a client's retry that would be late, and a late answer would be useless.
    ObjectiveUnachievable,
    /// The predicted wait is too long.
    PredictedWaitTooLong,
    /// An earlier request with the same idempotency key may have run, and no engine discards a
    /// duplicate of it now.
    OutsideDedupGroup,
}

/// The inputs of the admission threshold. Times are in seconds.
#[derive(Debug, Clone, Copy)]
struct ThresholdInputs {
    /// The deadline of the class, or the client's timeout if that is shorter.
    deadline: f64,
    objective: f64,
    expected_run: f64,
    /// The fraction of the class's answers that come late.
    late_fraction: f64,
}

impl Gateway {
    /// Handles the arrival of a query.
    pub(crate) fn on_query_arrived(&mut self, request: &NewQuery, actions: &mut Vec<Action>) {
        let id = request.id;
        if self.queries.contains(id) {
            return;
        }
        let class = self.class_index(request);
        let is_first_in_queue = self.queries.queue_is_empty(class);
        let age = self.register_query(class, request);
        match self.admission_decision(id, age, is_first_in_queue) {
            AdmissionDecision::Send(engine) => {
                self.send(id, engine, actions);
            }
            AdmissionDecision::Queue => self.enqueue(id),
            AdmissionDecision::Reject(_) => self.answer_finally(id, actions),
        }
    }

    fn admission_decision(
        &mut self,
        id: QueryId,
        age: Micros,
        is_first_in_queue: bool,
    ) -> AdmissionDecision {
        if age > 0 && self.is_unachievable(id) {
            return AdmissionDecision::Reject(RejectReason::ObjectiveUnachievable);
        }
        if self.is_outside_dedup_group(id) {
            return AdmissionDecision::Reject(RejectReason::OutsideDedupGroup);
        }
        let engine = is_first_in_queue.then(|| self.choose_engine(id)).flatten();
        if let Some(engine) = engine {
            AdmissionDecision::Send(engine)
        } else if self.admits_to_queue(id) {
            AdmissionDecision::Queue
        } else {
            AdmissionDecision::Reject(RejectReason::PredictedWaitTooLong)
        }
    }

    fn is_unachievable(&self, id: QueryId) -> bool {
        let query = self.queries.get(id);
        query.is_some_and(|query| self.objective_is_unachievable(query))
    }

    fn is_outside_dedup_group(&self, id: QueryId) -> bool {
        let query = self.queries.get(id);
        let duplicate = query.filter(|query| query.first_run.is_some());
        duplicate.is_some_and(|query| !self.any_engine_discards_duplicates_of(query))
    }

    /// Returns the index of a query's class. Unknown classes share the last one.
    fn class_index(&self, request: &NewQuery) -> usize {
        (request.class as usize).min(self.settings.classes.len() - 1)
    }

    /// Adds a query to the table, with its expected work and memory. Returns how long ago its
    /// client first sent it.
    fn register_query(&mut self, class_index: usize, request: &NewQuery) -> Micros {
        let sequence = self.queries.next_sequence(self.now);
        let age = self.age_of_request(class_index, request);
        let class = &self.settings.classes[class_index];
        let mut query = Query {
            sequence,
            first_requested_at: self.now.saturating_sub(age),
            deadline: self.now + request.client_timeout,
            work: self.expected_work(class_index, request),
            threads: class
                .threads
                .filter(|threads| *threads > 0.0)
                .unwrap_or(1.0),
            memory_mb: self.expected_grant(class_index, request),
            class: class_index,
            request: request.clone(),
            ..Query::default()
        };
        if let Some(run) = request.earlier_run {
            query.record_possible_run(run);
        }
        let weight = class.priority_weight.unwrap_or(1.0);
        self.overall.priority_weight.record(weight, ARRIVAL_GAIN);
        self.overall.work.record(query.work, ARRIVAL_GAIN);
        self.queries.forget_released_keys(self.now);
        if class.ordered_by_key {
            if let Some(key) = request.ordering_key {
                let order = self.queries.keys.entry(key).or_default();
                order.open.insert(sequence, request.id);
            }
        }
        self.queries.insert(query);
        age
    }

    /// Returns whether a query may wait in the queue. Compares the admission probability with the
    /// random draw that all queries of the class share for a limited time.
    fn admits_to_queue(&mut self, id: QueryId) -> bool {
        let Some(query) = self.queries.get(id) else {
            return false;
        };
        let class = query.class;
        let threshold = self.admission_threshold(query);
        let probability = admission_probability(self.predicted_wait(), threshold);
        let stats = &mut self.class_stats[class];
        if stats.admission_draw_until <= self.now {
            stats.admission_draw = draw_fraction(&mut self.rng);
            stats.admission_draw_until = self.now + micros(SHARED_DRAW_FRACTION * threshold);
        }
        stats.admission_draw < probability
    }

    /// Predicts how long a new query would wait, in seconds: the queued work divided by the rate at
    /// which engines work for this gateway. Nothing is sent to engines in backoff, so they do not
    /// count.
    pub(crate) fn predicted_wait(&self) -> f64 {
        let threads = self.overall.open_thread_capacity.max(1.0);
        self.queries.queued_work() / (threads * self.overall_speed())
    }

    fn admission_threshold(&self, query: &Query) -> f64 {
        let class = self.class_of(query);
        let deadline = class.deadline.unwrap_or(Micros::MAX);
        let deadline = seconds(deadline.min(query.request.client_timeout));
        let objective = class.latency_objective;
        wait_threshold(&ThresholdInputs {
            deadline,
            objective: objective.map_or(deadline, |objective| seconds(objective).min(deadline)),
            expected_run: self.expected_run(query),
            late_fraction: self.stats_of(query).late_fraction,
        })
    }
}

/// Returns the threshold in seconds: the deadline minus the expected run. Late answers earn less,
/// so the more answers of the class come late, the closer the threshold is to the objective minus
/// the expected run.
fn wait_threshold(inputs: &ThresholdInputs) -> f64 {
    let max_wait_for =
        |limit: f64| (limit - inputs.expected_run).max(MIN_THRESHOLD_FRACTION * limit);
    let by_deadline = max_wait_for(inputs.deadline);
    let by_objective = max_wait_for(inputs.objective).min(by_deadline);
    let lateness = (inputs.late_fraction / HIGH_LATE_FRACTION).min(1.0);
    (by_deadline + (by_objective - by_deadline) * lateness).max(MIN_THRESHOLD_S)
}

/// Returns the probability of admission. It is 1/2 if the predicted wait equals the threshold.
fn admission_probability(predicted_wait: f64, threshold: f64) -> f64 {
    1.0 / (1.0 + ((predicted_wait - threshold) / (SLOPE_FRACTION * threshold)).exp())
}
