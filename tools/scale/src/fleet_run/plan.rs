//! How large a fleet run is, and how long its phases last.

use std::time::Duration;

use crate::figures::Options;
use crate::lightweight_gateway::Part;

/// Sizes and times of a run.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Lightweight gateways.
    pub lightweight: usize,
    /// Lightweight gateways in the first step, which voters' messages are compared with.
    pub first_step: usize,
    /// Processes that lightweight gateways share.
    pub processes: usize,
    /// Gateways in a process of their own.
    pub real: usize,
    /// Control processes that vote.
    pub voters: u64,
    /// Control processes that serve subscribers.
    pub observers: u64,
    /// Engines that the event bus lists.
    pub engines: usize,
    /// Lightweight gateways that end and come back at once.
    pub returning: usize,
    /// Changes a second.
    pub changes_per_second: f64,
    /// How long a fleet that has just started settles: a start is a burst, measured by itself.
    pub settle: Duration,
    /// How long a phase without faults is measured.
    pub steady: Duration,
    /// How long what follows a fault is observed.
    pub after_fault: Duration,
    /// How many lightweight gateways start a second, over all processes.
    pub starts_per_second: u32,
    /// The parts that lightweight gateways run.
    pub parts: Vec<Part>,
    /// The seed of random numbers.
    pub seed: u64,
    /// Whether figures are held to counts and bytes and not to time.
    pub short: bool,
}

/// Lightweight gateways of the long form.
const LONG_FORM_GATEWAYS: usize = 7_600;

impl Plan {
    /// The plan of a form.
    #[must_use]
    pub fn from_options(options: &Options) -> Self {
        if options.short {
            Plan::short(options.seed)
        } else {
            Plan::long(LONG_FORM_GATEWAYS, options.seed)
        }
    }

    /// The short form, for CI.
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

    /// The long form with so many lightweight gateways.
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
            returning: lightweight / 5,
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

    /// Gateways of all kinds.
    #[must_use]
    pub fn gateways(&self) -> usize {
        self.lightweight + self.real
    }

    /// How many of `all` lightweight gateways a process has.
    #[must_use]
    pub fn share(&self, all: usize, process: usize) -> usize {
        let processes = self.processes.max(1);
        all / processes + usize::from(process < all % processes)
    }
}
