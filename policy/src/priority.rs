//! How queries rank against each other at a busy engine.
//!
//! - Decides: the priority of an attempt, 0 (lowest) to 3, and how many threads a query
//!   competes with.
//! - Inputs: the priority weight of its class, its expected work in seconds on one thread, and
//!   the means of both over all queries.
//! - Reason: where not all can be in time, those that earn the most weight for their work come
//!   first. Without priorities at the engines all queries rank alike.

use crate::state::{Query, ThreadsByPriority};
use crate::Gateway;

/// How engines divide scarce cores and disks between threads, by the priority of their queries.
pub(crate) const SHARES_BY_PRIORITY: [f64; 4] = [1.0, 4.0, 8.0, 16.0];
/// The priority of all queries where engines heed none.
const UNIFORM_PRIORITY: u8 = 1;
/// The last index of [`SHARES_BY_PRIORITY`].
const HIGHEST_PRIORITY: u8 = 3;
/// Weight of an arrival in the moving means over all queries.
pub(crate) const ARRIVAL_GAIN: f64 = 0.02;

impl Gateway {
    /// The priority of a query: the highest if it earns the mean for its work, one less for each
    /// halving.
    pub(crate) fn priority(&self, query: &Query) -> u8 {
        if !self.settings.priorities {
            return UNIFORM_PRIORITY;
        }
        let usual = self.overall.priority_weight.mean / self.overall.work.mean.max(1e-6);
        let weight = self.class_of(query).priority_weight.unwrap_or(1.0);
        let earns = weight / query.work / usual.max(1e-6);
        let halvings = (-earns.log2())
            .ceil()
            .clamp(0.0, f64::from(HIGHEST_PRIORITY));
        HIGHEST_PRIORITY.saturating_sub(halvings as u8)
    }

    /// The threads that a query competes with. Those of lower priority count by what they leave
    /// it.
    pub(crate) fn competing_threads(&self, query: &Query, threads: &ThreadsByPriority) -> f64 {
        let own = SHARES_BY_PRIORITY[usize::from(self.priority(query))];
        threads
            .iter()
            .zip(SHARES_BY_PRIORITY)
            .map(|(count, weight)| count * (weight / own).min(1.0))
            .sum()
    }
}
