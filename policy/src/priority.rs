//! Decides how queries rank against each other at a busy engine.
//!
//! - Decides: this module decides the priority of an attempt, from 0 (lowest) to 3, and how many
//!   threads a query competes with.
//! - Inputs: it uses the priority weight of the class, the expected work in seconds on one thread,
//!   and the means of both over all queries.
//! - Reason: if not all queries can meet their objectives, queries that earn the most weight for
//!   their work come first. If engines do not apply priorities, all queries have the same one.

use crate::state::{Query, ThreadsByPriority};
use crate::Gateway;

/// The relative share of busy cores and disks that an engine gives to a thread, indexed by the
/// priority of its query.
pub(crate) const SHARES_BY_PRIORITY: [f64; 4] = [1.0, 4.0, 8.0, 16.0];
/// The priority of all queries if engines do not apply priorities.
const UNIFORM_PRIORITY: u8 = 1;
/// The last index of [`SHARES_BY_PRIORITY`].
const HIGHEST_PRIORITY: u8 = 3;
/// The minimum weight of an arrival in the moving means over all queries.
pub(crate) const ARRIVAL_GAIN: f64 = 0.02;

impl Gateway {
    /// Returns the priority of a query. It is the highest one if the query earns at least the mean
    /// weight per work, and one lower for each halving below that.
    pub(crate) fn priority(&self, query: &Query) -> u8 {
        if !self.settings.priorities {
            return UNIFORM_PRIORITY;
        }
        let usual = self.overall.priority_weight.mean / self.overall.work.mean.max(1e-6);
        let weight = self.class_of(query).priority_weight.unwrap_or(1.0);
        let relative_weight = weight / query.work / usual.max(1e-6);
        let halvings = (-relative_weight.log2())
            .ceil()
            .clamp(0.0, f64::from(HIGHEST_PRIORITY));
        HIGHEST_PRIORITY.saturating_sub(halvings as u8)
    }

    /// Returns the number of threads that a query competes with. A thread of lower priority counts
    /// as a fraction: its share divided by the share of the query's priority.
    pub(crate) fn competing_threads(&self, query: &Query, threads: &ThreadsByPriority) -> f64 {
        let own_share = SHARES_BY_PRIORITY[usize::from(self.priority(query))];
        threads
            .iter()
            .zip(SHARES_BY_PRIORITY)
            .map(|(count, weight)| count * (weight / own_share).min(1.0))
            .sum()
    }
}
