//! When the gateway acts without an event.
//!
//! - Decides: when the next timer fires, and which queries are checked then.
//! - Inputs: the time at which each query is to be checked, whether any query is queued, and
//!   the control period, all in microseconds.
//! - Reason: capacity can also open without an event, when a backoff ends or the limit of an
//!   engine that is warming up grows.

use crate::interface::{Action, Micros};
use crate::units::{micros, seconds};
use crate::Gateway;

/// Time between two tries to send queued queries, in control periods.
pub(crate) const QUEUE_POLL_PERIODS: f64 = 0.05;
/// The objective that is assumed where no class has one.
const DEFAULT_OBJECTIVE_US: Micros = 1_000_000;

impl Gateway {
    /// The unit of the rules' spans: the progress period, or else the shortest objective.
    pub(crate) fn control_period(&self) -> Micros {
        let period = self.settings.progress_period;
        period.unwrap_or(self.shortest_objective()).max(1)
    }

    /// The shortest objective, or deadline, of any class.
    pub(crate) fn shortest_objective(&self) -> Micros {
        let classes = self.settings.classes.iter();
        classes
            .filter_map(|class| class.latency_objective.or(class.deadline))
            .min()
            .unwrap_or(DEFAULT_OBJECTIVE_US)
    }

    /// A number of control periods as a span; at least a microsecond.
    pub(crate) fn control_periods(&self, count: f64) -> Micros {
        micros(count * seconds(self.control_period())).max(1)
    }

    /// Checks the queries whose time has come.
    pub(crate) fn run_due_checks(&mut self, actions: &mut Vec<Action>) {
        while let Some(id) = self.queries.take_due_check(self.now) {
            self.on_check_due(id, actions);
        }
    }

    /// Sets the timer for the next check, or for the next try to send queued queries, unless one
    /// that is set already fires before.
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
