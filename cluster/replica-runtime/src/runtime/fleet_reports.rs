//! How far all front ends are, as observers report it to all members.

use std::collections::BTreeSet;

use violetgate_raft::{Membership, NodeId};
use violetgate_replicated_state::Micros;
use violetgate_state_distribution::{FleetProgress, FleetTotals, ProgressSummary, RevisionInForce};

use super::status::ReplicaStatus;
use super::ReplicaRuntime;
use crate::clock::boot_time;
use crate::wire::Frame;

/// A report of an observer counts for so long.
const PROGRESS_FRESH: Micros = 1_000_000;

/// What observers reported, and which did.
#[derive(Default)]
pub(super) struct Reports {
    progress: FleetProgress,
    observers: BTreeSet<NodeId>,
}

impl Reports {
    fn take(&mut self, now: Micros, from: NodeId, summary: ProgressSummary, members: &Membership) {
        let gone: Vec<_> = self
            .observers
            .iter()
            .filter(|id| !members.contains(**id))
            .copied()
            .collect();
        for id in gone {
            self.observers.remove(&id);
            self.progress.forget(id);
        }
        // One that is no member any more is no observer either.
        if members.contains(from) {
            self.observers.insert(from);
            self.progress.report(now, from, summary);
            self.progress.record(now, PROGRESS_FRESH);
        }
    }
}

impl ReplicaRuntime {
    /// How far all front ends are, as observers have reported it of late.
    #[must_use]
    pub fn fleet_progress(&self) -> FleetTotals {
        self.fleet
            .borrow()
            .progress
            .totals(boot_time(), PROGRESS_FRESH)
    }

    /// The latest revision that was in force at all serving front ends, and when it was.
    #[must_use]
    pub fn last_in_force(&self) -> Option<RevisionInForce> {
        self.fleet.borrow().progress.in_force().last().copied()
    }

    /// Reports how far this member's subscribers are to all members, this one among them.
    pub(crate) fn report_progress(&self, summary: ProgressSummary) {
        let ReplicaStatus { id, members, .. } = self.status();
        let frame = Frame::Progress(summary.clone());
        members
            .ids()
            .filter(|to| *to != id)
            .for_each(|to| self.transport.send(to, &frame));
        self.progress_came(id, summary);
    }

    pub(super) fn progress_came(&self, from: NodeId, summary: ProgressSummary) {
        let member = self.member.borrow();
        self.fleet
            .borrow_mut()
            .take(boot_time(), from, summary, member.membership());
    }
}
