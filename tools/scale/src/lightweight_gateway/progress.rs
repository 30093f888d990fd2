//! The observations and reports of a process of lightweight gateways.

use std::collections::VecDeque;
use std::io::Write;

use violetgate_replicated_state::{Micros, Revision};

use super::change_sequence::SequenceFaults;
use super::gateway::LightweightGateway;
use super::protocol::{now, Report, Traffic};

/// The maximum number of answered changes that gateways with open gates may still lack; later
/// changes are ignored.
const MAX_ANSWERED_CHANGES: usize = 4_096;

/// Writes a report to standard output.
pub(super) fn write_report(report: &Report) {
    if let Ok(line) = serde_json::to_string(report) {
        // A write fails only if the run has ended. Then standard input is closed too, which ends
        // this process.
        let _ = writeln!(std::io::stdout().lock(), "{line}");
    }
}

/// A change that was answered as done.
struct AnsweredChange {
    at: Micros,
    revision: Revision,
}

/// The number of gateways that run, and of those whose gates are open.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct GateCounts {
    pub running: usize,
    pub serving: usize,
}

/// The observations of a process, and the last reports that it made.
#[derive(Default)]
pub(super) struct Progress {
    /// Changes that were answered recently and that gateways with open gates may still lack, in
    /// order.
    answered: VecDeque<AnsweredChange>,
    /// The minimum revision of the state of every gateway whose gate is open.
    pub required_revision: Revision,
    /// How often a gate that was open at one check was shut at the next.
    pub gate_closures: u64,
    /// How often a check found a gate open on older state than required.
    pub stale: u64,
    /// The number of the last change that was reported as in force.
    reported_change: u64,
    reported_gates: GateCounts,
    totals_reported_at: Micros,
    /// The bytes sent and received by gateways that have ended.
    pub ended_traffic: Traffic,
    /// The faults of gateways that have ended.
    pub ended_faults: SequenceFaults,
}

impl Progress {
    /// Remembers a change that was answered as done.
    pub(super) fn on_answered(&mut self, revision: Revision, at: Micros) {
        if self.answered.len() < MAX_ANSWERED_CHANGES {
            self.answered.push_back(AnsweredChange { at, revision });
        }
    }

    /// Raises the required revision to that of the changes that were answered more than `limit`
    /// before `now`.
    pub(super) fn update_required_revision(&mut self, now: Micros, limit: Micros) {
        while let Some(change) = self.answered.front() {
            if change.at + limit >= now {
                break;
            }
            self.required_revision = self.required_revision.max(change.revision);
            self.answered.pop_front();
        }
    }

    /// Adds the counts of a gateway that ends.
    pub(super) fn on_ended(&mut self, gateway: &LightweightGateway) {
        self.ended_traffic.add(gateway.traffic());
        self.ended_faults.add(gateway.faults());
    }

    /// Reports the gates if their counts have changed.
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

    /// Reports the last change in force if it is later than the one reported before.
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

    /// Returns whether totals are due. If they are, they count as reported.
    pub(super) fn take_totals_due(&mut self, now: Micros, interval: Micros) -> bool {
        let is_due = now >= self.totals_reported_at + interval;
        if is_due {
            self.totals_reported_at = now;
        }
        is_due
    }
}
