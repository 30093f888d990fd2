//! How far all gateways are, as observers report it to all replicas.

use std::collections::BTreeSet;

use violetgate_raft::{Membership, NodeId};
use violetgate_replicated_state::Micros;
use violetgate_state_distribution::{FleetProgress, FleetTotals, ProgressSummary, RevisionInForce};

use super::status::ReplicaStatus;
use super::ReplicaRuntime;
use crate::clock::boot_time;
use crate::wire::PeerMessage;

/// An observer whose last report is older than this counts as silent.
const REPORT_FRESH_FOR_US: Micros = 1_000_000;

/// The reports, and the observers that sent them.
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
    /// How far all gateways are, as observers have reported it recently.
    #[must_use]
    pub fn fleet_progress(&self) -> FleetTotals {
        let reports = self.fleet_reports.borrow();
        reports.progress.totals(boot_time(), REPORT_FRESH_FOR_US)
    }

    /// The latest revision that was in force at all serving gateways, and when it was.
    #[must_use]
    pub fn last_in_force(&self) -> Option<RevisionInForce> {
        let reports = self.fleet_reports.borrow();
        reports.progress.in_force().last().copied()
    }

    /// Reports how far this replica's subscribers are to all replicas, this one included.
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
