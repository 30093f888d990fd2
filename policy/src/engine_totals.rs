//! The capacity of all engines together for this gateway.
//!
//! - Decides: the thread capacity of all engines, whether ejection is suspended, and the capacity
//!   credit.
//! - Inputs: the thread limits and health of all engines, and the threads in use. Credit is in
//!   thread-seconds.
//! - Reason: limits change with time and with each answer, so that running sums would have to
//!   be corrected at each. A pass over all engines is cheap for few engines, and for many it is
//!   made only every [`MAX_TOTALS_AGE_US`].

use crate::interface::Micros;
use crate::placement::MAX_SCANNED_ENGINES;
use crate::state::HealthCounts;
use crate::units::seconds;
use crate::Gateway;

/// The age at which totals over many engines are taken anew.
const MAX_TOTALS_AGE_US: Micros = 100_000;
/// The most credit is what the engines sustain in one shortest objective; the most debt is this
/// many times that.
const MAX_DEBT_OBJECTIVES: f64 = 12.0;

impl Gateway {
    /// Brings the totals over all engines up to date.
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

    /// Counts healthy engines. Ejection is suspended while over half of those in use are ejected:
    /// the cause is shared then, and ejection would leave nobody.
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

    /// Adds the thread-seconds that were unused since the last time, or takes off those that
    /// were overdrawn.
    fn update_capacity_credit(&mut self) {
        let elapsed = seconds(self.now - self.overall.capacity_credit_at);
        let capacity = self.overall.thread_capacity;
        let most = capacity * seconds(self.shortest_objective());
        let in_use = self.queries.threads_out.iter().sum::<f64>();
        let credit = self.overall.capacity_credit + (capacity - in_use) * elapsed;
        self.overall.capacity_credit = credit.clamp(-MAX_DEBT_OBJECTIVES * most, most);
        self.overall.capacity_credit_at = self.now;
    }
}
