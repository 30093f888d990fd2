//! Decides when the gateway acts without another event.
//!
//! - Decides: this module decides when the next timer fires, and which queries are checked then.
//! - Inputs: it uses the time of each query's next check, whether any query is queued, and the
//!   control period. Times are in microseconds.
//! - Reason: capacity can also become available without an event, because a backoff ends or the
//!   limit of an engine that warms up grows.

use crate::interface::{Action, Micros};
use crate::units::{micros, seconds};
use crate::Gateway;

/// The interval at which the gateway tries to send queued queries, in control periods.
pub(crate) const QUEUE_POLL_PERIODS: f64 = 0.05;
/// The objective that is assumed if no class has an objective or a deadline.
const DEFAULT_OBJECTIVE_US: Micros = 1_000_000;

impl Gateway {
    /// Returns the control period, the unit in which rules express spans of time. It is the
    /// progress period or, without progress reports, the shortest objective.
    pub(crate) fn control_period(&self) -> Micros {
        let period = self.settings.progress_period;
        period.unwrap_or(self.shortest_objective()).max(1)
    }

    /// Returns the shortest objective of any class. A class without an objective counts with its
    /// deadline.
    pub(crate) fn shortest_objective(&self) -> Micros {
        let classes = self.settings.classes.iter();
        classes
            .filter_map(|class| class.latency_objective.or(class.deadline))
            .min()
            .unwrap_or(DEFAULT_OBJECTIVE_US)
    }

    /// Converts a number of control periods to microseconds. The result is at least 1.
    pub(crate) fn control_periods(&self, count: f64) -> Micros {
        micros(count * seconds(self.control_period())).max(1)
    }

    /// Checks the queries whose check is due.
    pub(crate) fn run_due_checks(&mut self, actions: &mut Vec<Action>) {
        while let Some(id) = self.queries.take_due_check(self.now) {
            self.on_check_due(id, actions);
        }
    }

    /// Sets the timer for the next check, or for the next try to send queued queries if that is
    /// sooner. Does nothing if a pending timer fires no later.
    pub(crate) fn set_timer(&mut self, actions: &mut Vec<Action>) {
        let poll_at = if self.queries.any_queued() {
            self.now + self.control_periods(QUEUE_POLL_PERIODS)
        } else {
            Micros::MAX
        };
        let check_at = self.queries.first_check().unwrap_or(Micros::MAX);
        let at = check_at.min(poll_at).max(self.now + 1);
        let pending = self.timer_at.filter(|pending| *pending > self.now);
        if at < pending.unwrap_or(Micros::MAX) {
            self.timer_at = Some(at);
            actions.push(Action::SetTimer { at });
        }
    }
}
