//! Collects the observers' reports on which revisions the gateways have applied. Each observer
//! sends its report to all replicas.

use std::collections::BTreeSet;

use violetgate_raft::{Membership, NodeId};
use violetgate_replicated_state::Micros;
use violetgate_state_distribution::{FleetProgress, FleetTotals, ProgressSummary, RevisionInForce};

use super::status::ReplicaStatus;
use super::ReplicaRuntime;
use crate::clock::boot_time;
use crate::wire::PeerMessage;

/// The age up to which an observer's last report is used, in microseconds.
const REPORT_FRESH_FOR_US: Micros = 1_000_000;

/// The reports received, and the ids of the observers that sent them.
#[derive(Default)]
pub(super) struct FleetReports {
    progress: FleetProgress,
    observers: BTreeSet<NodeId>,
}

impl FleetReports {
    fn record(
        &mut self,
        now: Micros,
        observer: NodeId,
        summary: ProgressSummary,
        membership: &Membership,
    ) {
        self.forget_removed(membership);
        if membership.contains(observer) {
            self.observers.insert(observer);
            self.progress.report(now, observer, summary);
            self.progress.record(now, REPORT_FRESH_FOR_US);
        }
    }

    fn forget_removed(&mut self, membership: &Membership) {
        let progress = &mut self.progress;
        self.observers.retain(|id| {
            let is_member = membership.contains(*id);
            if !is_member {
                progress.forget(*id);
            }
            is_member
        });
    }
}

impl ReplicaRuntime {
    /// Returns the progress of all gateways, as observers have reported it recently.
    #[must_use]
    pub fn fleet_progress(&self) -> FleetTotals {
        let reports = self.fleet_reports.borrow();
        reports.progress.totals(boot_time(), REPORT_FRESH_FOR_US)
    }

    /// Returns the record of the latest revision that came into force: when it was known, and when
    /// all gateways that serve requests were first found to have applied it.
    #[must_use]
    pub fn last_in_force(&self) -> Option<RevisionInForce> {
        let reports = self.fleet_reports.borrow();
        reports.progress.in_force().last().copied()
    }

    /// Reports the progress of this replica's subscribers to all replicas, including this one.
    pub(crate) fn report_progress(&self, summary: ProgressSummary) {
        let ReplicaStatus { id, members, .. } = self.status();
        let message = PeerMessage::Progress(summary.clone());
        for to in members.ids().filter(|to| *to != id) {
            self.transport.send(to, &message);
        }
        self.record_progress(id, summary);
    }

    pub(super) fn record_progress(&self, observer: NodeId, summary: ProgressSummary) {
        let replica = self.replica.borrow();
        self.fleet_reports.borrow_mut().record(
            boot_time(),
            observer,
            summary,
            replica.membership(),
        );
    }
}
