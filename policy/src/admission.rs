//! Whether a query that arrives is sent at once, queued, or rejected.
//!
//! - Decides: [`AdmissionDecision`].
//! - Inputs: the predicted wait (queued work over what the engines do for this gateway) and the
//!   threshold, the longest wait with which the query can still be in time; both in seconds.
//! - Rule: a query that fits on an engine is sent. Otherwise it is queued with a probability
//!   that falls from 1 to 0 as the predicted wait passes the threshold (a logistic function,
//!   after M. Mazzucco, "Virtual queues from scratch, Part 4").
//! - Reason: a queue that is longer than clients wait makes every query late.

use crate::deadline::HIGH_LATE_FRACTION;
use crate::interface::{Action, EngineId, Micros, NewQuery, QueryId};
use crate::placement::draw_fraction;
use crate::priority::ARRIVAL_GAIN;
use crate::state::Query;
use crate::units::{micros, seconds};
use crate::Gateway;

/// The width of the fall from admission to rejection, as a fraction of the threshold.
const SLOPE_FRACTION: f64 = 0.1;
/// The threshold is at least this fraction of the deadline (of the objective, where answers come
/// late).
const MIN_THRESHOLD_FRACTION: f64 = 0.5;
/// The least threshold, in seconds; the admission probability divides by it.
const MIN_THRESHOLD_S: f64 = 1e-3;
/// All queries of a class use one draw for this fraction of the threshold, so that a client
/// that retries at once gets the same answer.
const SHARED_DRAW_FRACTION: f64 = 0.1;

/// What becomes of a query that arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AdmissionDecision {
    /// It goes to this engine at once.
    Send(EngineId),
    /// It waits for an engine.
    Queue,
    /// It is rejected.
    Reject(RejectReason),
}

/// Why a query that arrives is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RejectReason {
    /// It is a client's retry that would be late, and useless then.
    ObjectiveUnachievable,
    /// The predicted wait is too long.
    PredictedWaitTooLong,
}

/// What the threshold is made from; times in seconds.
#[derive(Debug, Clone, Copy)]
struct ThresholdInputs {
    /// The deadline of the class, or the client's time if that is less.
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

    /// The index of a query's class; classes that the settings do not name share the last one.
    fn class_index(&self, request: &NewQuery) -> usize {
        (request.class as usize).min(self.settings.classes.len() - 1)
    }

    /// Enters a query in the table, with what is expected of it. Returns how long ago its client
    /// first sent it.
    fn register_query(&mut self, class_index: usize, request: &NewQuery) -> Micros {
        let sequence = self.queries.next_sequence(self.now);
        let age = self.age_of_request(class_index, request);
        let class = &self.settings.classes[class_index];
        let query = Query {
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
        let weight = class.priority_weight.unwrap_or(1.0);
        self.overall.priority_weight.record(weight, ARRIVAL_GAIN);
        self.overall.work.record(query.work, ARRIVAL_GAIN);
        if class.ordered_by_key {
            if let Some(key) = request.ordering_key {
                let order = self.queries.keys.entry(key).or_default();
                order.open.insert(sequence, request.id);
            }
        }
        self.queries.insert(query);
        age
    }

    /// Whether a query may wait, by the draw that all queries of its class use for a while.
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

    /// The wait in seconds that a query would have: queued work over what the engines do for this
    /// gateway. Engines that are backing off take nothing, so they do not count.
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

/// The threshold in seconds: the deadline less the expected run. As answers of the class come
/// late, which earn less, it approaches the same figure made from the objective.
fn wait_threshold(inputs: &ThresholdInputs) -> f64 {
    let in_time_for =
        |limit: f64| (limit - inputs.expected_run).max(MIN_THRESHOLD_FRACTION * limit);
    let by_deadline = in_time_for(inputs.deadline);
    let by_objective = in_time_for(inputs.objective).min(by_deadline);
    let lateness = (inputs.late_fraction / HIGH_LATE_FRACTION).min(1.0);
    (by_deadline + (by_objective - by_deadline) * lateness).max(MIN_THRESHOLD_S)
}

/// The probability of admission; 1/2 where the predicted wait equals the threshold.
fn admission_probability(predicted_wait: f64, threshold: f64) -> f64 {
    1.0 / (1.0 + ((predicted_wait - threshold) / (SLOPE_FRACTION * threshold)).exp())
}
