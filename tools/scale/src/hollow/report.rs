//! What the run tells a process of hollow front ends on its standard input, and what that reports on its standard
//! output: a JSON object a line. Times are microseconds since the machine's start, which all processes share.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use violetgate_raft::NodeId;
use violetgate_replicated_state::{Micros, Revision};

use super::changes::{Faults, Sequence};

/// The time that all processes of the machine share.
#[must_use]
pub fn now() -> Micros {
    let at = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    u64::try_from(at.tv_sec).unwrap_or(0) * 1_000_000
        + u64::try_from(at.tv_nsec).unwrap_or(0) / 1_000
}

/// What the run tells a process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Command {
    /// A change was answered as done: no gate may be open on a state without it for longer than the drain limit.
    Answered {
        /// The revision that it made.
        revision: Revision,
        /// When the answer came.
        at: Micros,
    },
    /// The first so many front ends end, as if their processes were killed.
    Kill {
        /// How many.
        count: usize,
    },
    /// So many front ends are to run: those that do not start, without any state.
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
    /// Of the subscription to agreed state.
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

/// How many front ends have seen the same changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SequenceCount {
    /// The changes.
    pub sequence: Sequence,
    /// Front ends.
    pub front_ends: usize,
}

/// The state of all front ends of a process.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Totals {
    /// When.
    pub at: Micros,
    /// Front ends that run.
    pub running: usize,
    /// Those whose gates are open.
    pub serving: usize,
    /// How often an open gate was found shut.
    pub gates_shut: u64,
    /// How often a gate was found open on a state that lacks a change answered longer ago than the drain limit.
    pub stale: u64,
    /// What went wrong with changes.
    pub faults: Faults,
    /// Bytes since the start, those of ended front ends among them.
    pub traffic: Traffic,
    /// Front ends by the observer that they watch.
    pub watching: BTreeMap<NodeId, usize>,
    /// Changes seen.
    pub sequences: Vec<SequenceCount>,
    /// The least and the greatest number of front ends that one reckons with.
    pub shares: Option<(u32, u32)>,
    /// Front ends that the event bus has reached.
    pub bus_heard: usize,
}

/// What a process reports.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Report {
    /// A change is in force at all front ends of this process whose gates are open.
    InForce {
        /// The number of the change; all before it are in force as well.
        change: u64,
        /// When.
        at: Micros,
        /// Front ends whose gates are open.
        serving: usize,
    },
    /// Another number of gates is open.
    Gates {
        /// When.
        at: Micros,
        /// Front ends that run.
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
