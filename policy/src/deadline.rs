//! When a query has to be answered, and when it is given up.
//!
//! - Decides: the time by which an answer earns its full weight (the objective), whether that
//!   can still be met, and when a queued query is given up.
//! - Inputs: the deadline and objective of its class and its client, its expected run time,
//!   and, for deduplicated queries, the time at which engines forget its first attempt; all in
//!   microseconds.
//! - Reason: a query that cannot be in time only delays those that can, and the retries of its
//!   client prolong an overload.

use crate::interface::{Idempotency, Micros, NewQuery, QueryId};
use crate::state::Query;
use crate::units::micros;
use crate::Gateway;

/// A class whose late answers earn less than this fraction of their weight has only its
/// objective.
const LITTLE_LATE_WEIGHT: f64 = 0.5;
/// The fraction of late answers at which a class counts as late.
pub(crate) const HIGH_LATE_FRACTION: f64 = 0.1;
/// The expected run of a queued query counts as no more than its client's timeout over this, so
/// that no estimate, however long, has it given up before half of that time.
const MAX_QUEUED_RUN_DIVISOR: u64 = 2;

impl Gateway {
    /// How long ago the client first sent a request. A retry brings less time than a first
    /// request; what is not marked as a retry counts as a first request.
    pub(crate) fn age_of_request(&mut self, class: usize, request: &NewQuery) -> Micros {
        let deadline = self.settings.classes[class].deadline.unwrap_or(0);
        let grace = self.settings.answer_grace.unwrap_or(0);
        let longest = &mut self.class_stats[class].longest_first_request;
        if !request.is_client_retry {
            *longest = (*longest).max(request.client_timeout);
            return 0;
        }
        if request.client_timeout + grace < *longest {
            deadline.saturating_sub(request.client_timeout)
        } else {
            0
        }
    }

    /// When an answer to a query is late.
    pub(crate) fn objective_at(&self, query: &Query) -> Micros {
        self.objective_for_work(query, query.work)
    }

    /// When an answer to a query would be late if it were this much work, in seconds on one
    /// thread.
    pub(crate) fn objective_for_work(&self, query: &Query, work: f64) -> Micros {
        let class = self.class_of(query);
        let stretch = class.objective_stretch.unwrap_or(0.0) * work / query.threads;
        class.latency_objective.map_or(query.deadline, |objective| {
            (query.first_requested_at + objective + micros(stretch)).min(query.deadline)
        })
    }

    /// Whether an answer to a query is useless once its objective is missed: late answers of its
    /// class earn little, and other queries wait or are late too.
    pub(crate) fn is_useless_when_late(&self, query: &Query) -> bool {
        let class = self.class_of(query);
        let late_weight = class.late_weight_fraction.unwrap_or(1.0);
        let earns_little_late =
            class.idempotency == Idempotency::Idempotent && late_weight < LITTLE_LATE_WEIGHT;
        let others_queued = self.queries.queued() > usize::from(query.is_queued);
        let many_late = self.stats_of(query).late_fraction > HIGH_LATE_FRACTION;
        earns_little_late && (others_queued || many_late)
    }

    /// Whether a query would be late even if it were sent now, and is useless then.
    pub(crate) fn objective_is_unachievable(&self, query: &Query) -> bool {
        self.is_useless_when_late(query)
            && self.now + micros(self.expected_run(query)) >= self.objective_at(query)
    }

    /// When a queued query can no longer be in time, by its objective, its deadline or the time
    /// at which engines forget its first attempt.
    pub(crate) fn give_up_at(&self, query: &Query) -> Micros {
        let run = micros(self.expected_run(query));
        if self.is_useless_when_late(query) {
            return self.objective_at(query).saturating_sub(run);
        }
        let class = self.class_of(query);
        let is_deduplicated = class.idempotency == Idempotency::Deduplicated;
        let first_run = query.first_run.filter(|_| is_deduplicated);
        let forgotten_at = first_run.map_or(Micros::MAX, |first| {
            first.sent_at + class.dedup_window.unwrap_or(0)
        });
        let max_run = query.request.client_timeout / MAX_QUEUED_RUN_DIVISOR;
        query
            .deadline
            .saturating_sub(run.min(max_run))
            .min(forgotten_at)
    }

    /// Sets when a query is checked next, no later than its deadline, so that it is always
    /// answered in time. With an attempt out that is a little later, since its time-out comes at
    /// the deadline.
    pub(crate) fn schedule_check(&mut self, id: QueryId, at: Micros) {
        let Some(query) = self.queries.get(id) else {
            return;
        };
        let last = if query.attempt.is_some() {
            query.deadline + self.time_out_slack()
        } else {
            query.deadline
        };
        self.queries.set_check(id, at.min(last));
    }

    /// How long after the deadline an attempt's time-out is awaited.
    pub(crate) fn time_out_slack(&self) -> Micros {
        self.settings.answer_grace.unwrap_or(0) / 2
    }
}
