//! Metrics of the shared state, in the text format of Prometheus.

use std::fmt::Write as _;

use violetgate_raft::Role;
use violetgate_replica_runtime::{
    FleetTotals, ReplicaStatus, RevisionInForce, SubscriptionStatus, TrafficStats,
};

use super::MICROS_PER_MS;
use crate::stats::write_metric;

/// Upper bounds, in seconds, of the time by which serving gateways are behind: the labels of
/// `svc_cluster_behind`.
pub(super) const BEHIND_UNDER_S: [&str; 4] = ["0.1", "1", "10", "inf"];

/// Metrics as they are written.
struct MetricsText(String);

fn full_name(name: &str) -> String {
    format!("svc_cluster_{name}")
}

impl MetricsText {
    fn write_head(&mut self, name: &str, kind: &str, help: &str) {
        let _ = write!(
            self.0,
            "# HELP svc_cluster_{name} {help}\n# TYPE svc_cluster_{name} {kind}\n"
        );
    }

    fn gauge(&mut self, name: &str, help: &str, value: u64) {
        write_metric(&mut self.0, &full_name(name), "gauge", help, value);
    }

    fn counter(&mut self, name: &str, help: &str, value: u64) {
        write_metric(&mut self.0, &full_name(name), "counter", help, value);
    }

    /// A gauge with one value for each label.
    fn labelled<'a>(
        &mut self,
        name: &str,
        help: &str,
        values: impl Iterator<Item = (&'a str, String, u64)>,
    ) {
        self.write_head(name, "gauge", help);
        for (label, text, value) in values {
            let _ = writeln!(self.0, "svc_cluster_{name}{{{label}=\"{text}\"}} {value}");
        }
    }
}

/// The metrics of a member.
pub(super) struct MemberMetrics {
    pub status: ReplicaStatus,
    pub may_route: bool,
    /// Requests and attempts that the fence has stopped.
    pub fenced: u64,
    pub dropped_messages: u64,
    /// Traffic with other members.
    pub traffic: TrafficStats,
    /// Subscribers connected here; `None`: it is no observer.
    pub subscribers: Option<usize>,
    pub fleet: FleetTotals,
    pub last_in_force: Option<RevisionInForce>,
}

/// Milliseconds from the moment at which a revision was known to an observer until it was in force
/// everywhere.
pub(super) fn propagation_ms(record: &RevisionInForce) -> u64 {
    record.in_force_at.saturating_sub(record.known_at) / MICROS_PER_MS
}

impl MemberMetrics {
    pub(super) fn render(&self) -> String {
        let mut out = MetricsText(String::new());
        self.write_replica(&mut out);
        self.write_traffic(&mut out);
        self.write_fleet(&mut out);
        out.0
    }

    fn write_replica(&self, out: &mut MetricsText) {
        let status = &self.status;
        let (is_leader, voters) = (status.role == Role::Leader, &status.members.voters);
        for (name, help, value) in [
            ("leads", "This member leads.", u64::from(is_leader)),
            ("term", "The term.", status.term),
            (
                "commit",
                "The last entry that is agreed on, as known here.",
                status.commit,
            ),
            (
                "applied",
                "The last entry that is applied here.",
                status.applied,
            ),
            ("revision", "The state's revision.", status.revision),
            ("voters", "Members that vote.", voters.len() as u64),
            (
                "routes",
                "The state is confirmed: requests may be sent.",
                u64::from(self.may_route),
            ),
        ] {
            out.gauge(name, help, value);
        }
    }

    fn write_traffic(&self, out: &mut MetricsText) {
        for (name, help, value) in [
            (
                "turned_away_total",
                "Requests and attempts not sent on old state.",
                self.fenced,
            ),
            (
                "dropped_total",
                "Messages to members dropped.",
                self.dropped_messages,
            ),
            (
                "messages_sent_total",
                "Messages sent to members.",
                self.traffic.messages_sent,
            ),
            (
                "messages_received_total",
                "Messages received from members.",
                self.traffic.messages_received,
            ),
        ] {
            out.counter(name, help, value);
        }
    }

    /// The gateways that subscribe, as observers report them.
    fn write_fleet(&self, out: &mut MetricsText) {
        let fleet = &self.fleet;
        if let Some(subscribers) = self.subscribers {
            let help = "Front ends connected to this observer.";
            out.gauge("subscribers", help, subscribers as u64);
        }
        for (name, help, value) in [
            (
                "observers",
                "Observers that reported of late.",
                fleet.observers.into(),
            ),
            (
                "silent_observers",
                "Observers that did not.",
                fleet.silent_observers.into(),
            ),
            ("serving", "Front ends that serve.", fleet.serving.into()),
            (
                "not_serving",
                "Front ends whose gates are shut.",
                fleet.not_serving.into(),
            ),
            (
                "in_force",
                "The revision in force at all front ends that serve.",
                fleet.in_force,
            ),
        ] {
            out.gauge(name, help, value);
        }
        if let Some(record) = &self.last_in_force {
            let help = "The time until the last one was in force.";
            out.gauge("in_force_after_ms", help, propagation_ms(record));
        }
        let behind = BEHIND_UNDER_S.iter().zip(fleet.behind);
        out.labelled(
            "behind",
            "Serving front ends that lack a revision, by how long.",
            behind.map(|(under, count)| ("under_s", (*under).to_owned(), u64::from(count))),
        );
    }
}

/// The metrics of a subscriber.
pub(super) struct SubscriberMetrics {
    pub status: SubscriptionStatus,
    pub traffic: TrafficStats,
    /// Requests and attempts that the fence has stopped.
    pub fenced: u64,
}

impl SubscriberMetrics {
    pub(super) fn render(&self) -> String {
        let mut out = MetricsText(String::new());
        self.write_state(&mut out);
        self.write_traffic(&mut out);
        self.write_observers(&mut out);
        out.0
    }

    fn write_state(&self, out: &mut MetricsText) {
        out.gauge("revision", "The state's revision.", self.status.revision);
        out.gauge(
            "routes",
            "The state is confirmed: requests may be sent.",
            u64::from(self.status.freshness.is_ok()),
        );
    }

    fn write_traffic(&self, out: &mut MetricsText) {
        for (name, help, value) in [
            (
                "turned_away_total",
                "Requests and attempts not sent on old state.",
                self.fenced,
            ),
            (
                "sent_bytes_total",
                "Bytes sent to observers.",
                self.traffic.bytes_sent,
            ),
            (
                "received_bytes_total",
                "Bytes received from observers.",
                self.traffic.bytes_received,
            ),
        ] {
            out.counter(name, help, value);
        }
    }

    fn write_observers(&self, out: &mut MetricsText) {
        out.gauge(
            "observer",
            "The observer that is watched; 0: none.",
            self.status.watched.unwrap_or(0),
        );
        out.gauge(
            "reserve_observer",
            "The observer held in reserve; 0: none.",
            self.status.standby.unwrap_or(0),
        );
        let rejection = self
            .status
            .rejection
            .iter()
            .map(|rejection| ("code", rejection.code().to_owned(), 1));
        out.labelled(
            "refused",
            "An observer turned this front end away, by the reason's code.",
            rejection,
        );
    }
}
