//! The metrics of members and subscribers about the shared state.

use violetgate_raft::Role;
use violetgate_replica_runtime::{
    FleetTotals, ReplicaStatus, RevisionInForce, SubscriptionStatus, TrafficStats,
};

use super::MICROS_PER_MS;
use crate::metrics::catalog::cluster;
use crate::metrics::text::MetricsText;

/// The label values of [`cluster::GATEWAYS_BEHIND`]: the upper bounds, in seconds, of how long a
/// serving gateway has lacked its observer's revision. It is counted only under the smallest bound
/// that is above this time.
pub(super) const BEHIND_UNDER_S: [&str; 4] = ["0.1", "1", "10", "inf"];

/// The label of [`cluster::GATEWAYS_BEHIND`] that contains the upper bound.
const BEHIND_LABEL: &str = "under_s";

/// The label that contains the reason for which an observer rejected a subscriber.
const REJECTION_LABEL: &str = "code";

/// The values from which a member's metrics are rendered.
pub(super) struct MemberMetrics {
    pub status: ReplicaStatus,
    pub may_route: bool,
    /// The number of requests and attempts that were not sent because the fence was closed.
    pub fenced: u64,
    pub dropped_messages: u64,
    /// The traffic with other members.
    pub traffic: TrafficStats,
    /// The number of connected subscribers; `None` if the member is not an observer.
    pub subscribers: Option<usize>,
    pub fleet: FleetTotals,
    pub last_in_force: Option<RevisionInForce>,
}

/// Returns the milliseconds from an observer's first report of a revision until the revision was
/// found in force at all serving gateways.
pub(super) fn propagation_ms(record: &RevisionInForce) -> u64 {
    record.in_force_at.saturating_sub(record.known_at) / MICROS_PER_MS
}

impl MemberMetrics {
    pub(super) fn render(&self) -> String {
        let mut out = MetricsText::new();
        self.write_replica(&mut out);
        self.write_traffic(&mut out);
        self.write_fleet(&mut out);
        out.into_string()
    }

    fn write_replica(&self, out: &mut MetricsText) {
        let status = &self.status;
        let is_leader = status.role == Role::Leader;
        let voters = status.members.voters.len();
        out.write_value(&cluster::IS_LEADER, u64::from(is_leader));
        out.write_value(&cluster::TERM, status.term);
        out.write_value(&cluster::COMMIT_INDEX, status.commit);
        out.write_value(&cluster::APPLIED_INDEX, status.applied);
        out.write_value(&cluster::REVISION, status.revision);
        out.write_value(&cluster::VOTERS, voters as u64);
        out.write_value(&cluster::MAY_ROUTE, u64::from(self.may_route));
    }

    fn write_traffic(&self, out: &mut MetricsText) {
        let traffic = &self.traffic;
        out.write_value(&cluster::FENCED, self.fenced);
        out.write_value(&cluster::MESSAGES_DROPPED, self.dropped_messages);
        out.write_value(&cluster::MESSAGES_SENT, traffic.messages_sent);
        out.write_value(&cluster::MESSAGES_RECEIVED, traffic.messages_received);
    }

    /// Writes the metrics of the subscribers, as observers report them.
    fn write_fleet(&self, out: &mut MetricsText) {
        let fleet = &self.fleet;
        if let Some(subscribers) = self.subscribers {
            out.write_value(&cluster::SUBSCRIBERS, subscribers as u64);
        }
        out.write_value(&cluster::OBSERVERS, fleet.observers.into());
        out.write_value(&cluster::OBSERVERS_SILENT, fleet.silent_observers.into());
        out.write_value(&cluster::GATEWAYS_SERVING, fleet.serving.into());
        out.write_value(&cluster::GATEWAYS_NOT_SERVING, fleet.not_serving.into());
        out.write_value(&cluster::REVISION_IN_FORCE, fleet.in_force);
        if let Some(record) = &self.last_in_force {
            out.write_value(&cluster::PROPAGATION_TIME, propagation_ms(record));
        }
        let behind = BEHIND_UNDER_S.into_iter().zip(fleet.behind.map(u64::from));
        out.write_by_label(&cluster::GATEWAYS_BEHIND, BEHIND_LABEL, behind);
    }
}

/// The values from which a subscriber's metrics are rendered.
pub(super) struct SubscriberMetrics {
    pub status: SubscriptionStatus,
    pub traffic: TrafficStats,
    /// The number of requests and attempts that were not sent because the fence was closed.
    pub fenced: u64,
}

impl SubscriberMetrics {
    pub(super) fn render(&self) -> String {
        let mut out = MetricsText::new();
        self.write_state(&mut out);
        self.write_traffic(&mut out);
        self.write_observers(&mut out);
        out.into_string()
    }

    fn write_state(&self, out: &mut MetricsText) {
        let may_route = self.status.freshness.is_ok();
        out.write_value(&cluster::REVISION, self.status.revision);
        out.write_value(&cluster::MAY_ROUTE, u64::from(may_route));
    }

    fn write_traffic(&self, out: &mut MetricsText) {
        out.write_value(&cluster::FENCED, self.fenced);
        out.write_value(&cluster::SENT_BYTES, self.traffic.bytes_sent);
        out.write_value(&cluster::RECEIVED_BYTES, self.traffic.bytes_received);
    }

    fn write_observers(&self, out: &mut MetricsText) {
        let status = &self.status;
        out.write_value(&cluster::WATCHED_OBSERVER, status.watched.unwrap_or(0));
        out.write_value(&cluster::STANDBY_OBSERVER, status.standby.unwrap_or(0));
        let rejection = status.rejection.iter();
        let rejection = rejection.map(|rejection| (rejection.code(), 1));
        out.write_by_label(&cluster::SUBSCRIPTION_REJECTED, REJECTION_LABEL, rejection);
    }
}
