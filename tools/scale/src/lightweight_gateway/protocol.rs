//! What the run sends to a process of lightweight gateways on its standard input, and what that
//! reports on its standard output: one JSON object a line.
//!
//! Times are microseconds since the machine's start, which all processes share.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use violetgate_raft::NodeId;
use violetgate_replicated_state::{Micros, Revision};

use super::change_sequence::{ChangeSequence, SequenceFaults};

/// The time that all processes of the machine share.
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
    /// A change was answered as done: no gate may be open on a state without it for longer than the
    /// drain limit.
    Answered {
        /// The revision that it made.
        revision: Revision,
        /// When the answer came.
        at: Micros,
    },
    /// Some gateways end, as if their processes were killed.
    Kill {
        /// How many, the first ones.
        count: usize,
    },
    /// Some gateways are to run: those that do not, start without any state.
    Start {
        /// How many are to run, the first ones.
        running: usize,
        /// How many start each second; `None`: all at once.
        per_second: Option<u32>,
    },
}

/// Bytes sent and received, by part.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Traffic {
    /// Of the subscription to replicated state.
    pub subscription: u64,
    /// Of the event bus.
    pub bus: u64,
    /// Of the membership.
    pub membership: u64,
}

impl Traffic {
    /// Of all parts.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.subscription + self.bus + self.membership
    }

    /// Adds those of another.
    pub fn add(&mut self, other: Traffic) {
        self.subscription += other.subscription;
        self.bus += other.bus;
        self.membership += other.membership;
    }
}

/// How many gateways have applied the same changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SequenceCount {
    /// The changes.
    pub sequence: ChangeSequence,
    /// Gateways.
    #[serde(rename = "front_ends")]
    pub gateways: usize,
}

/// The least and the greatest fleet size that a gateway knows; two numbers in JSON.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u32, u32)", into = "(u32, u32)")]
pub struct FleetSizeRange {
    /// The least.
    pub least: u32,
    /// The greatest.
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
    /// The range of two ranges.
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
    /// When.
    pub at: Micros,
    /// Gateways that run.
    pub running: usize,
    /// Those whose gates are open.
    pub serving: usize,
    /// How often an open gate was seen shut.
    #[serde(rename = "gates_shut")]
    pub gate_closures: u64,
    /// How often a gate was seen open on a state that lacks a change answered longer ago than the
    /// drain limit.
    pub stale: u64,
    /// What went wrong with changes.
    pub faults: SequenceFaults,
    /// Bytes since the start, those of ended gateways among them.
    pub traffic: Traffic,
    /// Gateways by the observer that they watch.
    #[serde(rename = "watching")]
    pub gateways_by_observer: BTreeMap<NodeId, usize>,
    /// Changes applied.
    pub sequences: Vec<SequenceCount>,
    /// The fleet sizes that gateways know.
    #[serde(rename = "shares")]
    pub fleet_sizes: Option<FleetSizeRange>,
    /// Gateways that have received events from the event bus.
    #[serde(rename = "bus_heard")]
    pub with_bus_events: usize,
}

impl Totals {
    /// Adds those of another process. `at` does not change.
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

/// What a process reports.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Report {
    /// A change is in force at all gateways of this process whose gates are open.
    InForce {
        /// The number of the change; all before it are in force as well.
        change: u64,
        /// When.
        at: Micros,
        /// Gateways whose gates are open.
        serving: usize,
    },
    /// Another number of gates is open.
    Gates {
        /// When.
        at: Micros,
        /// Gateways that run.
        running: usize,
        /// Those whose gates are open.
        serving: usize,
    },
    /// The state of all; now and then.
    Totals(Totals),
    /// The process ends for this reason.
    Failed {
        /// Why.
        cause: String,
    },
}
