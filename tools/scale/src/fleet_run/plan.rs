//! The sizes of a fleet run and the durations of its phases.

use std::time::Duration;

use crate::figures::Options;
use crate::lightweight_gateway::Part;

/// The sizes and durations of a run.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The number of lightweight gateways.
    pub lightweight: usize,
    /// The number of lightweight gateways in the first step. Voters' messages with all gateways are
    /// compared with those of this step.
    pub first_step: usize,
    /// The number of processes that run the lightweight gateways.
    pub processes: usize,
    /// The number of real gateways, each in a process of its own.
    pub real: usize,
    /// The number of control processes that vote.
    pub voters: u64,
    /// The number of control processes that serve subscribers.
    pub observers: u64,
    /// The number of engines that the event bus lists.
    pub engines: usize,
    /// The number of lightweight gateways that are killed and later restart at the same time.
    pub restarted: usize,
    /// The rate of changes.
    pub changes_per_second: f64,
    /// How long the fleet settles after its start, so that the burst of the start does not count as
    /// steady cost.
    pub settle: Duration,
    /// How long the phase without faults is measured.
    pub steady: Duration,
    /// How long the fleet is observed after a fault.
    pub after_fault: Duration,
    /// The rate at which lightweight gateways start, over all processes.
    pub starts_per_second: u32,
    /// The parts that lightweight gateways run.
    pub parts: Vec<Part>,
    /// The seed from which the test derives its random numbers.
    pub seed: u64,
    /// Whether only counts and bytes are checked against bounds, and not times.
    pub short: bool,
}

/// The number of lightweight gateways of the long form.
const LONG_FORM_GATEWAYS: usize = 7_600;

impl Plan {
    /// Returns the plan that the options select.
    #[must_use]
    pub fn from_options(options: &Options) -> Self {
        if options.short {
            Plan::short(options.seed)
        } else {
            Plan::long(LONG_FORM_GATEWAYS, options.seed)
        }
    }

    /// Returns the plan of the short form, for CI.
    #[must_use]
    pub fn short(seed: u64) -> Self {
        Plan {
            lightweight: 40,
            first_step: 20,
            processes: 2,
            real: 1,
            voters: 3,
            observers: 2,
            engines: 3,
            restarted: 8,
            changes_per_second: 3.0,
            settle: Duration::from_secs(6),
            steady: Duration::from_secs(3),
            after_fault: Duration::from_secs(2),
            starts_per_second: 100,
            parts: Part::all(),
            seed,
            short: true,
        }
    }

    /// Returns the plan of the long form with `lightweight` lightweight gateways.
    #[must_use]
    pub fn long(lightweight: usize, seed: u64) -> Self {
        Plan {
            lightweight,
            first_step: lightweight.min(1_000),
            processes: 8,
            real: 3,
            voters: 5,
            observers: 4,
            engines: 80,
            restarted: lightweight / 5,
            changes_per_second: 3.0,
            settle: Duration::from_secs(30),
            steady: Duration::from_secs(30),
            after_fault: Duration::from_secs(12),
            starts_per_second: 400,
            parts: Part::all(),
            seed,
            short: false,
        }
    }

    /// Returns the number of gateways, real and lightweight.
    #[must_use]
    pub fn gateways(&self) -> usize {
        self.lightweight + self.real
    }

    /// Returns how many of `all` lightweight gateways the process with the index `process` runs.
    #[must_use]
    pub fn share(&self, all: usize, process: usize) -> usize {
        let processes = self.processes.max(1);
        all / processes + usize::from(process < all % processes)
    }
}
