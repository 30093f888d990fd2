//! Figures of agreed state, in the text format of Prometheus.

use std::fmt::Write as _;

use violetgate_raft::Role;
use violetgate_replica_runtime::{
    FleetTotals, ReplicaStatus, RevisionInForce, SubscriptionStatus, TrafficStats,
};

/// Spans of time under which serving front ends are behind, as the labels of `svc_cluster_behind`.
pub(super) const BEHIND: [&str; 4] = ["0.1", "1", "10", "inf"];

struct Text(String);

impl Text {
    fn head(&mut self, name: &str, kind: &str, help: &str) {
        let _ = write!(
            self.0,
            "# HELP svc_cluster_{name} {help}\n# TYPE svc_cluster_{name} {kind}\n"
        );
    }

    fn gauge(&mut self, name: &str, help: &str, value: u64) {
        self.head(name, "gauge", help);
        let _ = writeln!(self.0, "svc_cluster_{name} {value}");
    }

    fn counter(&mut self, name: &str, help: &str, value: u64) {
        self.head(name, "counter", help);
        let _ = writeln!(self.0, "svc_cluster_{name} {value}");
    }

    /// One value for each label.
    fn labelled<'a>(
        &mut self,
        name: &str,
        help: &str,
        values: impl Iterator<Item = (&'a str, String, u64)>,
    ) {
        self.head(name, "gauge", help);
        for (label, text, value) in values {
            let _ = writeln!(self.0, "svc_cluster_{name}{{{label}=\"{text}\"}} {value}");
        }
    }
}

/// What a member counts.
pub(super) struct MemberFigures {
    pub status: ReplicaStatus,
    pub routes: bool,
    pub turned_away: u64,
    pub dropped: u64,
    /// With other members.
    pub traffic: TrafficStats,
    /// Subscribers here; `None`: it takes none.
    pub subscribers: Option<usize>,
    pub fleet: FleetTotals,
    pub last_in_force: Option<RevisionInForce>,
}

/// Milliseconds from the moment at which a revision was known to an observer until it was in force everywhere.
pub(super) fn until_in_force(record: &RevisionInForce) -> u64 {
    record.in_force_at.saturating_sub(record.known_at) / 1_000
}

impl MemberFigures {
    pub fn text(&self) -> String {
        let MemberFigures {
            status,
            traffic,
            fleet,
            ..
        } = self;
        let mut out = Text(String::new());
        out.gauge(
            "leads",
            "This member leads.",
            u64::from(status.role == Role::Leader),
        );
        out.gauge("term", "The term.", status.term);
        out.gauge(
            "commit",
            "The last entry that is agreed on, as known here.",
            status.commit,
        );
        out.gauge(
            "applied",
            "The last entry that is applied here.",
            status.applied,
        );
        out.gauge("revision", "The state's revision.", status.revision);
        out.gauge(
            "voters",
            "Members that vote.",
            status.members.voters.len() as u64,
        );
        out.gauge(
            "routes",
            "The state is confirmed: requests may be sent.",
            u64::from(self.routes),
        );
        out.counter(
            "turned_away_total",
            "Requests and attempts not sent on old state.",
            self.turned_away,
        );
        out.counter(
            "dropped_total",
            "Messages to members dropped.",
            self.dropped,
        );
        out.counter(
            "messages_sent_total",
            "Messages sent to members.",
            traffic.messages_sent,
        );
        out.counter(
            "messages_received_total",
            "Messages received from members.",
            traffic.messages_received,
        );
        if let Some(subscribers) = self.subscribers {
            out.gauge(
                "subscribers",
                "Front ends connected to this observer.",
                subscribers as u64,
            );
        }
        out.gauge(
            "observers",
            "Observers that reported of late.",
            fleet.observers.into(),
        );
        out.gauge(
            "silent_observers",
            "Observers that did not.",
            fleet.silent_observers.into(),
        );
        out.gauge("serving", "Front ends that serve.", fleet.serving.into());
        out.gauge(
            "not_serving",
            "Front ends whose gates are shut.",
            fleet.not_serving.into(),
        );
        out.gauge(
            "in_force",
            "The revision in force at all front ends that serve.",
            fleet.in_force,
        );
        if let Some(record) = &self.last_in_force {
            out.gauge(
                "in_force_after_ms",
                "The time until the last one was in force.",
                until_in_force(record),
            );
        }
        let behind = BEHIND.iter().zip(fleet.behind);
        let behind =
            behind.map(|(under, count)| ("under_s", (*under).to_owned(), u64::from(count)));
        out.labelled(
            "behind",
            "Serving front ends that lack a revision, by how long.",
            behind,
        );
        out.0
    }
}

/// What a subscriber counts.
pub(super) struct SubscriberFigures {
    pub status: SubscriptionStatus,
    pub traffic: TrafficStats,
    pub turned_away: u64,
}

impl SubscriberFigures {
    pub fn text(&self) -> String {
        let SubscriberFigures {
            status,
            traffic,
            turned_away,
        } = self;
        let mut out = Text(String::new());
        out.gauge("revision", "The state's revision.", status.revision);
        out.gauge(
            "routes",
            "The state is confirmed: requests may be sent.",
            u64::from(status.freshness.is_ok()),
        );
        out.counter(
            "turned_away_total",
            "Requests and attempts not sent on old state.",
            *turned_away,
        );
        out.counter(
            "sent_bytes_total",
            "Bytes sent to observers.",
            traffic.bytes_sent,
        );
        out.counter(
            "received_bytes_total",
            "Bytes received from observers.",
            traffic.bytes_received,
        );
        out.gauge(
            "observer",
            "The observer that is watched; 0: none.",
            status.watched.unwrap_or(0),
        );
        out.gauge(
            "reserve_observer",
            "The observer held in reserve; 0: none.",
            status.standby.unwrap_or(0),
        );
        let rejection = status
            .rejection
            .iter()
            .map(|rejection| ("code", rejection.code().to_owned(), 1));
        out.labelled(
            "refused",
            "An observer turned this front end away, by the reason's code.",
            rejection,
        );
        out.0
    }
}
