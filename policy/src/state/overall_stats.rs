//! What is learned over all engines and all queries, and the totals over the engines.

use std::collections::BTreeSet;

use super::HealthCounts;
use crate::estimators::MovingMean;
use crate::interface::{EngineId, Micros};

/// What is learned over all engines and all queries.
#[derive(Debug, Default)]
pub(crate) struct OverallStats {
    /// Engines that operators cordoned, in the list or not.
    pub cordoned: BTreeSet<EngineId>,
    /// Moving sum of work done, in seconds on one thread.
    pub work_done: f64,
    /// Moving sum of the thread-seconds that it took.
    pub thread_seconds: f64,
    /// Priority weights of the queries that arrive.
    pub priority_weight: MovingMean,
    /// Work of the queries that arrive, in seconds on one thread.
    pub work: MovingMean,
    /// Utilisation from load reports, 0 to 1.
    pub utilisation: MovingMean,
    /// Thread-seconds of capacity that were unused (above 0) or overdrawn, as of a time.
    pub capacity_credit: f64,
    pub capacity_credit_at: Micros,
    /// Logarithm of the moving speed of answers, whichever engine gave them.
    pub log_speed: f64,
    /// When the totals below were last taken over all engines.
    pub totals_at: Micros,
    /// When all engines were last searched for one that fits.
    pub full_search_at: Micros,
    /// The engines as they were last counted.
    pub counts: HealthCounts,
    /// Ejection is ignored, since over half of the engines in use are ejected.
    pub ejection_suspended: bool,
    /// The thread limits of all available engines together.
    pub thread_capacity: f64,
    /// The same without engines that are backing off.
    pub open_thread_capacity: f64,
    /// Growth of this gateway's thread limits, as a fraction of its fair shares, where these are
    /// less than one thread an engine.
    pub limit_growth: f64,
}
