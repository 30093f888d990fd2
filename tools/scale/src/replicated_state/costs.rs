//! The costs of a cluster, and the slopes of these costs by the number of its instances.

use crate::figures::Figures;
use crate::slope::{MeasuredRole, Slope};

const ROLE: MeasuredRole = MeasuredRole {
    name: "agreed_state",
    size_of: "instances",
    target: TARGET,
};
/// The number of instances that replicated state has to support.
pub const TARGET: f64 = 7_600.0;
/// The budget of the leader's CPU time: its event loop is one thread, so it can use one core at
/// most.
const CORE_US_PER_S: f64 = 1_000_000.0;
/// The budget of a change: it has to be in force everywhere within ten seconds.
const CHANGE_BUDGET_MS: f64 = 10_000.0;

/// The CPU time of a cluster, and the messages that its leader receives, while nothing changes.
pub struct IdleCosts {
    pub leader_us_per_s: f64,
    pub others_us_per_s: f64,
    pub process_us_per_s: f64,
    pub read_index_per_s: f64,
    pub messages_per_s: f64,
    pub bytes_per_s: f64,
}

/// The costs of a cluster at one size.
pub struct Costs {
    pub idle: IdleCosts,
    pub other_us_per_s: f64,
    pub change_ms: f64,
    pub slowest_change_ms: f64,
    pub change_cpu_us: f64,
    pub changes: u64,
}

/// The slopes of each cost over the number of instances.
pub struct Slopes {
    leader: Slope,
    other: Slope,
    read_index: Slope,
    messages: Slope,
    received: Slope,
    change: Slope,
    slowest_change: Slope,
    change_cpu: Slope,
}

impl Default for Slopes {
    fn default() -> Self {
        Slopes {
            leader: ROLE.slope("leader_at_rest", "us_per_s", Some(CORE_US_PER_S)),
            other: ROLE.slope("other_at_rest", "us_per_s", None),
            read_index: ROLE.slope("questions", "per_s", None),
            messages: ROLE.slope("leader_received_messages", "per_s", None),
            received: ROLE.slope("leader_received_bytes", "per_s", None),
            change: ROLE.slope("change_everywhere", "ms", Some(CHANGE_BUDGET_MS)),
            slowest_change: ROLE.slope("slowest_change_everywhere", "ms", None),
            change_cpu: ROLE.slope("change_cpu", "us", None),
        }
    }
}

impl Slopes {
    /// Adds the costs of a cluster of `size` instances.
    pub fn push(&mut self, size: f64, costs: &Costs) {
        self.leader.push(size, costs.idle.leader_us_per_s);
        self.other.push(size, costs.other_us_per_s);
        self.read_index.push(size, costs.idle.read_index_per_s);
        self.messages.push(size, costs.idle.messages_per_s);
        self.received.push(size, costs.idle.bytes_per_s);
        self.change.push(size, costs.change_ms);
        self.slowest_change.push(size, costs.slowest_change_ms);
        self.change_cpu.push(size, costs.change_cpu_us);
    }

    /// Fits all slopes and adds them to the figures.
    pub fn record(&self, figures: &mut Figures) {
        let Slopes {
            leader,
            other,
            read_index,
            messages,
            received,
            change,
            slowest_change,
            change_cpu,
        } = self;
        let all = [
            leader,
            other,
            read_index,
            messages,
            received,
            change,
            slowest_change,
            change_cpu,
        ];
        all.into_iter().for_each(|slope| slope.record(figures));
    }
}
