//! The protocol between a run and a process of lightweight gateways. The run sends commands to the
//! process's standard input, and the process writes reports to its standard output, one JSON object
//! per line.
//!
//! Times are in microseconds since the machine was booted, a clock that all processes share.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use violetgate_raft::NodeId;
use violetgate_replicated_state::{Micros, Revision};

use super::change_sequence::{ChangeSequence, SequenceFaults};

/// Returns the current time, on the boot clock that all processes of the machine share.
#[must_use]
pub fn now() -> Micros {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanoseconds = u64::try_from(time.tv_nsec).unwrap_or(0);
    seconds * 1_000_000 + nanoseconds / 1_000
}

/// A command of the run to a process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Command {
    /// A change was answered as done. Once the drain limit has passed since the answer, every
    /// gateway whose gate is open must have the change.
    Answered {
        /// The revision that the change made.
        revision: Revision,
        /// The time of the answer.
        at: Micros,
    },
    /// Ends the first gateways of the process as if their processes were killed.
    Kill {
        /// How many gateways end.
        count: usize,
    },
    /// Starts those of the first gateways that do not run. They start without any state.
    Start {
        /// How many gateways run afterwards.
        running: usize,
        /// How many gateways start per second; `None` starts them all at once.
        per_second: Option<u32>,
    },
}

/// The sum of bytes sent and received, by part.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Traffic {
    /// Bytes of the subscription to replicated state.
    pub subscription: u64,
    /// Bytes of the event bus client.
    pub bus: u64,
    /// Bytes of the membership.
    pub membership: u64,
}

impl Traffic {
    /// Returns the bytes of all parts.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.subscription + self.bus + self.membership
    }

    /// Adds the bytes of `other`, part by part.
    pub fn add(&mut self, other: Traffic) {
        self.subscription += other.subscription;
        self.bus += other.bus;
        self.membership += other.membership;
    }
}

/// The number of gateways that have applied the same changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SequenceCount {
    /// The changes that the gateways have applied.
    pub sequence: ChangeSequence,
    /// The number of these gateways.
    #[serde(rename = "front_ends")]
    pub gateways: usize,
}

/// The range of fleet sizes in use at several gateways; a pair of numbers in JSON.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u32, u32)", into = "(u32, u32)")]
pub struct FleetSizeRange {
    /// The smallest fleet size.
    pub least: u32,
    /// The largest fleet size.
    pub greatest: u32,
}

impl From<u32> for FleetSizeRange {
    fn from(size: u32) -> Self {
        (size, size).into()
    }
}

impl From<(u32, u32)> for FleetSizeRange {
    fn from((least, greatest): (u32, u32)) -> Self {
        FleetSizeRange { least, greatest }
    }
}

impl From<FleetSizeRange> for (u32, u32) {
    fn from(range: FleetSizeRange) -> Self {
        (range.least, range.greatest)
    }
}

impl FleetSizeRange {
    /// Returns the smallest range that contains both ranges.
    #[must_use]
    pub fn union(self, other: FleetSizeRange) -> Self {
        FleetSizeRange {
            least: self.least.min(other.least),
            greatest: self.greatest.max(other.greatest),
        }
    }
}

/// The state of all gateways of a process.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Totals {
    /// The time of the report.
    pub at: Micros,
    /// The number of gateways that run.
    pub running: usize,
    /// The number of gateways whose gates are open.
    pub serving: usize,
    /// How often a gate that was open at one check was shut at the next.
    #[serde(rename = "gates_shut")]
    pub gate_closures: u64,
    /// How often a check found a gate open on state that lacks a change answered longer ago than
    /// the drain limit.
    pub stale: u64,
    /// The faults in applied changes, including those of ended gateways.
    pub faults: SequenceFaults,
    /// The bytes since the start, including those of ended gateways.
    pub traffic: Traffic,
    /// The number of gateways by the observer that they watch.
    #[serde(rename = "watching")]
    pub gateways_by_observer: BTreeMap<NodeId, usize>,
    /// The applied changes, with the number of gateways that have applied them.
    pub sequences: Vec<SequenceCount>,
    /// The range of the fleet sizes in use at the gateways; `None` without membership.
    #[serde(rename = "shares")]
    pub fleet_sizes: Option<FleetSizeRange>,
    /// The number of gateways that have received events from the event bus.
    #[serde(rename = "bus_heard")]
    pub with_bus_events: usize,
}

impl Totals {
    /// Adds the totals of another process. `at` does not change.
    pub fn add(&mut self, other: Totals) {
        self.running += other.running;
        self.serving += other.serving;
        self.gate_closures += other.gate_closures;
        self.stale += other.stale;
        self.faults.add(other.faults);
        self.traffic.add(other.traffic);
        self.with_bus_events += other.with_bus_events;
        self.sequences.extend(other.sequences);
        for (observer, gateways) in other.gateways_by_observer {
            *self.gateways_by_observer.entry(observer).or_default() += gateways;
        }
        let sizes = [self.fleet_sizes, other.fleet_sizes];
        self.fleet_sizes = sizes.into_iter().flatten().reduce(FleetSizeRange::union);
    }
}

/// A report of a process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Report {
    /// A change is in force at all gateways of this process whose gates are open.
    InForce {
        /// The number of the change; all earlier changes are in force as well.
        change: u64,
        /// The time of the check that found the change in force.
        at: Micros,
        /// The number of gateways whose gates are open.
        serving: usize,
    },
    /// The number of running gateways or of open gates has changed.
    Gates {
        /// The time of the check that found the change.
        at: Micros,
        /// The number of gateways that run.
        running: usize,
        /// The number of gateways whose gates are open, so that they may route requests.
        serving: usize,
    },
    /// The state of all gateways of the process, reported at a fixed interval.
    Totals(Totals),
    /// The process failed and ends.
    Failed {
        /// The error message.
        cause: String,
    },
}
