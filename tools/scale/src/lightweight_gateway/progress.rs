//! What a process of lightweight gateways has observed and reported so far.

use std::collections::VecDeque;
use std::io::Write;

use violetgate_replicated_state::{Micros, Revision};

use super::change_sequence::SequenceFaults;
use super::gateway::LightweightGateway;
use super::protocol::{now, Report, Traffic};

/// The most answered changes that are remembered at a time.
const MAX_ANSWERED_CHANGES: usize = 4_096;

/// Writes a report to standard output.
pub(super) fn write_report(report: &Report) {
    if let Ok(line) = serde_json::to_string(report) {
        // A run that no longer reads has ended, and so does this process soon.
        let _ = writeln!(std::io::stdout().lock(), "{line}");
    }
}

/// A change that was answered as done.
struct AnsweredChange {
    at: Micros,
    revision: Revision,
}

/// How many gateways run, and how many of them have open gates.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct GateCounts {
    pub running: usize,
    pub serving: usize,
}

/// What was observed and reported so far.
#[derive(Default)]
pub(super) struct Progress {
    /// Changes answered of late, in order.
    answered: VecDeque<AnsweredChange>,
    /// The revision that the state behind each open gate has to have.
    pub required_revision: Revision,
    /// How often an open gate was seen shut.
    pub gate_closures: u64,
    /// How often a gate was seen open on older state than required.
    pub stale: u64,
    /// The last change that was reported as in force.
    reported_change: u64,
    reported_gates: GateCounts,
    totals_reported_at: Micros,
    /// Bytes of gateways that have ended.
    pub ended_traffic: Traffic,
    /// Faults of gateways that have ended.
    pub ended_faults: SequenceFaults,
}

impl Progress {
    /// Remembers a change that was answered as done.
    pub(super) fn on_answered(&mut self, revision: Revision, at: Micros) {
        if self.answered.len() < MAX_ANSWERED_CHANGES {
            self.answered.push_back(AnsweredChange { at, revision });
        }
    }

    /// Requires the changes that were answered longer ago than the limit.
    pub(super) fn update_required_revision(&mut self, now: Micros, limit: Micros) {
        while let Some(change) = self.answered.front() {
            if change.at + limit >= now {
                break;
            }
            self.required_revision = self.required_revision.max(change.revision);
            self.answered.pop_front();
        }
    }

    /// Adds what a gateway that ends has counted.
    pub(super) fn on_ended(&mut self, gateway: &LightweightGateway) {
        self.ended_traffic.add(gateway.traffic());
        self.ended_faults.add(gateway.faults());
    }

    /// Reports the gates where their number has changed.
    pub(super) fn report_gates(&mut self, gates: GateCounts) {
        if self.reported_gates != gates {
            self.reported_gates = gates;
            write_report(&Report::Gates {
                at: now(),
                running: gates.running,
                serving: gates.serving,
            });
        }
    }

    /// Reports the last change in force where it is a later one.
    pub(super) fn report_in_force(&mut self, change: u64, serving: usize) {
        if change > self.reported_change {
            self.reported_change = change;
            write_report(&Report::InForce {
                change,
                at: now(),
                serving,
            });
        }
    }

    /// Whether totals are due; they count as reported then.
    pub(super) fn take_totals_due(&mut self, now: Micros, interval: Micros) -> bool {
        let is_due = now >= self.totals_reported_at + interval;
        if is_due {
            self.totals_reported_at = now;
        }
        is_due
    }
}
