//! Computes the capacity that all engines together have for this gateway.
//!
//! - Decides: this module decides the thread capacity of all engines, whether ejection is
//!   suspended, and the capacity credit in thread-seconds.
//! - Inputs: it uses the thread limits and the health of all engines, and the threads in use.
//! - Reason: limits change with time and with each answer, so a running sum would have to be
//!   corrected at every change. A pass over all engines is cheap if there are few. If there are
//!   many, a pass is made only every [`MAX_TOTALS_AGE_US`].

use crate::interface::Micros;
use crate::placement::MAX_SCANNED_ENGINES;
use crate::state::HealthCounts;
use crate::units::seconds;
use crate::Gateway;

/// The age at which totals over many engines are computed again, in microseconds.
const MAX_TOTALS_AGE_US: Micros = 100_000;
/// The maximum debt, that is how far the capacity credit may fall below 0, as a multiple of the
/// maximum credit. The maximum credit is the thread-seconds that the engines sustain during the
/// shortest objective.
const MAX_DEBT_OBJECTIVES: f64 = 12.0;

impl Gateway {
    /// Updates the totals over all engines. With many engines, most totals are kept until they
    /// reach the maximum age.
    pub(crate) fn update_engine_totals(&mut self) {
        let is_small = self.engines.len() <= MAX_SCANNED_ENGINES;
        if is_small || self.now >= self.overall.totals_at + MAX_TOTALS_AGE_US {
            self.overall.totals_at = self.now;
            self.renew_slow_start_draws();
            self.count_engines();
            self.sum_capacity();
        }
        self.update_capacity_credit();
    }

    /// Counts healthy engines. Suspends ejection while over half of the engines in use are ejected:
    /// so many engines have a common cause of failure, and ejection would leave too few.
    fn count_engines(&mut self) {
        let counts = HealthCounts::of(self.engines.values(), false);
        self.overall.ejection_suspended = 2 * counts.ejected > counts.in_use;
        self.overall.counts = if self.overall.ejection_suspended {
            HealthCounts::of(self.engines.values(), true)
        } else {
            counts
        };
    }

    fn sum_capacity(&mut self) {
        let (mut capacity, mut open_capacity) = (0.0, 0.0);
        let engines = self.engines.values();
        for engine in engines.filter(|engine| self.is_available(engine)) {
            let limit = self.thread_limit(engine);
            capacity += limit;
            if engine.backoff_until <= self.now {
                open_capacity += limit;
            }
        }
        self.overall.thread_capacity = capacity;
        self.overall.open_thread_capacity = open_capacity;
    }

    /// Adds the thread-seconds that were unused since the last update, or subtracts the
    /// thread-seconds that were used beyond the capacity.
    fn update_capacity_credit(&mut self) {
        let elapsed = seconds(self.now - self.overall.capacity_credit_at);
        let capacity = self.overall.thread_capacity;
        let max_credit = capacity * seconds(self.shortest_objective());
        let in_use = self.queries.threads_out.iter().sum::<f64>();
        let credit = self.overall.capacity_credit + (capacity - in_use) * elapsed;
        self.overall.capacity_credit = credit.clamp(-MAX_DEBT_OBJECTIVES * max_credit, max_credit);
        self.overall.capacity_credit_at = self.now;
    }
}
