//! How large a whole run is, and how long its phases last.

use std::time::Duration;

use crate::hollow::process::Part;
use crate::Options;

/// Sizes and times of a run.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Hollow front ends.
    pub hollow: usize,
    /// Hollow front ends in the first step, which voters' messages are compared with.
    pub first_step: usize,
    /// Processes that hollow front ends share.
    pub processes: usize,
    /// Front ends of their own process.
    pub real: usize,
    /// Control processes that vote.
    pub voters: u64,
    /// Control processes that serve subscribers.
    pub observers: u64,
    /// Engines that the event bus lists.
    pub engines: usize,
    /// Hollow front ends that end and come back at once.
    pub returning: usize,
    /// Changes a second.
    pub changes_per_second: f64,
    /// How long a fleet that has just started is left alone: what a start costs is a burst, and measured by itself.
    pub settle: Duration,
    /// How long a phase without faults is measured.
    pub steady: Duration,
    /// How long what follows a fault is watched.
    pub after_fault: Duration,
    /// How many hollow front ends start a second, over all processes.
    pub starts_per_second: u32,
    /// The parts that hollow front ends run.
    pub parts: Vec<Part>,
    /// Where random numbers begin.
    pub seed: u64,
    /// Held to counts and bytes and not to time.
    pub short: bool,
}

/// Front ends of the fleet that the long form runs.
const FRONT_ENDS: usize = 7_600;

impl Plan {
    /// The plan of a form.
    #[must_use]
    pub fn from_options(options: &Options) -> Self {
        if options.short {
            Plan::short(options.seed)
        } else {
            Plan::long(FRONT_ENDS, options.seed)
        }
    }

    /// The short form, for CI.
    #[must_use]
    pub fn short(seed: u64) -> Self {
        Plan {
            hollow: 40,
            first_step: 20,
            processes: 2,
            real: 1,
            voters: 3,
            observers: 2,
            engines: 3,
            returning: 8,
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

    /// The long form with so many hollow front ends.
    #[must_use]
    pub fn long(hollow: usize, seed: u64) -> Self {
        Plan {
            hollow,
            first_step: hollow.min(1_000),
            processes: 8,
            real: 3,
            voters: 5,
            observers: 4,
            engines: 80,
            returning: hollow / 5,
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

    /// Front ends of all kinds.
    #[must_use]
    pub fn front_ends(&self) -> usize {
        self.hollow + self.real
    }

    /// How many hollow front ends a process has where `all` run.
    #[must_use]
    pub fn share(&self, all: usize, process: usize) -> usize {
        let processes = self.processes.max(1);
        all / processes + usize::from(process < all % processes)
    }
}
