//! Decides when a query has to be answered, and when it is given up.
//!
//! - Decides: this module decides the time by which an answer earns its full weight (the
//!   objective), whether a query can still meet it, and when a queued query is given up.
//! - Inputs: it uses the deadline and objective of the query's class, the client's timeout, the
//!   expected run time and, for deduplicated queries, the time at which engines forget the first
//!   attempt. Times are in microseconds.
//! - Reason: a query that cannot meet its limit only delays queries that can meet theirs, and the
//!   retries of its client prolong an overload.

use crate::interface::{Idempotency, Micros, NewQuery, QueryId};
use crate::state::Query;
use crate::units::micros;
use crate::Gateway;

/// The fraction of their weight below which late answers count as useless.
const LOW_LATE_WEIGHT_FRACTION: f64 = 0.5;
/// The fraction of late answers above which many answers of a class count as late. As the fraction
/// rises to this value, the limit for admission moves from the deadline to the objective.
pub(crate) const HIGH_LATE_FRACTION: f64 = 0.1;
/// The expected run of a queued query counts as no more than the client's timeout divided by this
/// number. So no estimate, however long, causes a query to be given up before half of that
/// timeout has passed.
const MAX_QUEUED_RUN_DIVISOR: u64 = 2;

impl Gateway {
    /// Returns how long ago the client first sent a request. A request that is not marked as a
    /// retry is a first request, with the age 0. A client's retry has a shorter timeout than first
    /// requests, and its age is the deadline of the class minus that timeout. The age is 0 if the
    /// timeout plus the answer grace is not shorter than the longest timeout of first requests.
    pub(crate) fn age_of_request(&mut self, class: usize, request: &NewQuery) -> Micros {
        let deadline = self.settings.classes[class].deadline.unwrap_or(0);
        let grace = self.settings.answer_grace.unwrap_or(0);
        let longest = &mut self.class_stats[class].longest_first_timeout;
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

    /// Returns the time after which an answer to a query is late.
    pub(crate) fn objective_at(&self, query: &Query) -> Micros {
        self.objective_for_work(query, query.work)
    }

    /// Returns the time after which an answer to a query would be late if the query had the given
    /// work, in seconds on one thread.
    pub(crate) fn objective_for_work(&self, query: &Query, work: f64) -> Micros {
        let class = self.class_of(query);
        let stretch = class.objective_stretch.unwrap_or(0.0) * work / query.threads;
        class.latency_objective.map_or(query.deadline, |objective| {
            (query.first_requested_at + objective + micros(stretch)).min(query.deadline)
        })
    }

    /// Returns whether an answer to a query is useless once its objective is missed. This is so if
    /// late answers of its class earn little, and other queries are queued or many answers of the
    /// class are late.
    pub(crate) fn is_useless_when_late(&self, query: &Query) -> bool {
        let class = self.class_of(query);
        let late_weight = class.late_weight_fraction.unwrap_or(1.0);
        let earns_little_late =
            class.idempotency == Idempotency::Idempotent && late_weight < LOW_LATE_WEIGHT_FRACTION;
        let others_queued = self.queries.queued() > usize::from(query.is_queued);
        let many_late = self.stats_of(query).late_fraction > HIGH_LATE_FRACTION;
        earns_little_late && (others_queued || many_late)
    }

    /// Returns whether a query would be late even if it were sent now, and would then be useless.
    pub(crate) fn objective_is_unachievable(&self, query: &Query) -> bool {
        self.is_useless_when_late(query)
            && self.now + micros(self.expected_run(query)) >= self.objective_at(query)
    }

    /// Returns the time from which a queued query is given up. If late answers are useless, a run
    /// from that time on would miss the objective. Otherwise it would miss the deadline, or engines
    /// have forgotten the first attempt, whichever comes first.
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

    /// Sets the time of a query's next check. It is no later than the deadline, so that the query
    /// is always answered by then. While an attempt is out the check may be up to
    /// [`Self::time_out_slack`] later, since the attempt's time-out arrives at the deadline.
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

    /// Returns how long after the deadline the gateway waits for the time-out of an attempt.
    pub(crate) fn time_out_slack(&self) -> Micros {
        self.settings.answer_grace.unwrap_or(0) / 2
    }
}
