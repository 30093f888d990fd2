//! The statistics over all engines and all queries, and the totals over all engines.

use std::collections::BTreeSet;

use super::HealthCounts;
use crate::estimators::MovingMean;
use crate::interface::{EngineId, Micros};

/// The statistics over all engines and all queries.
#[derive(Debug, Default)]
pub(crate) struct OverallStats {
    /// The engines that operators cordoned. They need not be in the list.
    pub cordoned: BTreeSet<EngineId>,
    /// The sum of the work of answered queries, in seconds on one thread. Older work has less
    /// weight.
    pub work_done: f64,
    /// The thread-seconds that the work in `work_done` took, with the same weights.
    pub thread_seconds: f64,
    /// The priority weight of the queries that arrive.
    pub priority_weight: MovingMean,
    /// The expected work of the queries that arrive, in seconds on one thread.
    pub work: MovingMean,
    /// The utilisation from load reports, 0 to 1.
    pub utilisation: MovingMean,
    /// The thread-seconds that were recently unused (positive) or used beyond the capacity
    /// (negative), within a maximum and a minimum.
    pub capacity_credit: f64,
    /// The time at which `capacity_credit` was last updated.
    pub capacity_credit_at: Micros,
    /// The moving mean logarithm of the speed of answers, over all engines.
    pub log_speed: f64,
    /// The time at which `counts`, `ejection_suspended`, `thread_capacity` and
    /// `open_thread_capacity` were last computed over all engines.
    pub totals_at: Micros,
    /// The time at which all engines were last searched for one with capacity.
    pub full_search_at: Micros,
    /// The counts of engines at `totals_at`.
    pub counts: HealthCounts,
    /// Whether ejection is ignored because over half of the engines in use are ejected.
    pub ejection_suspended: bool,
    /// The sum of the thread limits of all available engines.
    pub thread_capacity: f64,
    /// The sum of the thread limits of all available engines that are not in backoff.
    pub open_thread_capacity: f64,
    /// The growth of this gateway's thread limits, as a fraction of its fair shares. It applies to
    /// engines of which this gateway's fair share is less than one thread.
    pub limit_growth: f64,
}
