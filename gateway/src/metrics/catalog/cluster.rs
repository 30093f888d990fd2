//! Metrics of a gateway that takes part in a cluster, as a member or as a subscriber.

use super::super::{Metric, MetricKind, Unit};

/// The revision of the shared state on this gateway. Members and subscribers write it.
pub const REVISION: Metric = Metric {
    name: "svc_cluster_revision",
    kind: MetricKind::Gauge,
    unit: Unit::Revision,
    help: "The state's revision.",
};

/// Whether the fence is open: the state is confirmed, so requests may be sent. Members and
/// subscribers write it.
pub const MAY_ROUTE: Metric = Metric {
    name: "svc_cluster_routes",
    kind: MetricKind::Gauge,
    unit: Unit::Boolean,
    help: "The state is confirmed: requests may be sent.",
};

/// Requests and attempts that the closed fence has stopped. Members and subscribers write it.
pub const FENCED: Metric = Metric {
    name: "svc_cluster_turned_away_total",
    kind: MetricKind::Counter,
    unit: Unit::RequestsAndAttempts,
    help: "Requests and attempts not sent on old state.",
};

/// Whether this member is the leader.
pub const IS_LEADER: Metric = Metric {
    name: "svc_cluster_leads",
    kind: MetricKind::Gauge,
    unit: Unit::Boolean,
    help: "This member leads.",
};

/// The Raft term that this member is in.
pub const TERM: Metric = Metric {
    name: "svc_cluster_term",
    kind: MetricKind::Gauge,
    unit: Unit::Term,
    help: "The term.",
};

/// The index of the last entry that this member knows to be committed.
pub const COMMIT_INDEX: Metric = Metric {
    name: "svc_cluster_commit",
    kind: MetricKind::Gauge,
    unit: Unit::LogIndex,
    help: "The last entry that is agreed on, as known here.",
};

/// The index of the last entry that this member has applied.
pub const APPLIED_INDEX: Metric = Metric {
    name: "svc_cluster_applied",
    kind: MetricKind::Gauge,
    unit: Unit::LogIndex,
    help: "The last entry that is applied here.",
};

/// The number of members that vote.
pub const VOTERS: Metric = Metric {
    name: "svc_cluster_voters",
    kind: MetricKind::Gauge,
    unit: Unit::Members,
    help: "Members that vote.",
};

/// Messages to other members that were dropped because their queue was full.
pub const MESSAGES_DROPPED: Metric = Metric {
    name: "svc_cluster_dropped_total",
    kind: MetricKind::Counter,
    unit: Unit::Messages,
    help: "Messages to members dropped.",
};

/// Messages sent to other members.
pub const MESSAGES_SENT: Metric = Metric {
    name: "svc_cluster_messages_sent_total",
    kind: MetricKind::Counter,
    unit: Unit::Messages,
    help: "Messages sent to members.",
};

/// Messages received from other members.
pub const MESSAGES_RECEIVED: Metric = Metric {
    name: "svc_cluster_messages_received_total",
    kind: MetricKind::Counter,
    unit: Unit::Messages,
    help: "Messages received from members.",
};

/// Subscribers connected to this observer.
pub const SUBSCRIBERS: Metric = Metric {
    name: "svc_cluster_subscribers",
    kind: MetricKind::Gauge,
    unit: Unit::Gateways,
    help: "Front ends connected to this observer.",
};

/// Observers that have reported on their subscribers recently.
pub const OBSERVERS: Metric = Metric {
    name: "svc_cluster_observers",
    kind: MetricKind::Gauge,
    unit: Unit::Members,
    help: "Observers that reported of late.",
};

/// Observers that have not reported recently.
pub const OBSERVERS_SILENT: Metric = Metric {
    name: "svc_cluster_silent_observers",
    kind: MetricKind::Gauge,
    unit: Unit::Members,
    help: "Observers that did not.",
};

/// Subscribers whose fence is open.
pub const GATEWAYS_SERVING: Metric = Metric {
    name: "svc_cluster_serving",
    kind: MetricKind::Gauge,
    unit: Unit::Gateways,
    help: "Front ends that serve.",
};

/// Subscribers whose fence is closed.
pub const GATEWAYS_NOT_SERVING: Metric = Metric {
    name: "svc_cluster_not_serving",
    kind: MetricKind::Gauge,
    unit: Unit::Gateways,
    help: "Front ends whose gates are shut.",
};

/// The latest revision that is in force on all serving subscribers.
pub const REVISION_IN_FORCE: Metric = Metric {
    name: "svc_cluster_in_force",
    kind: MetricKind::Gauge,
    unit: Unit::Revision,
    help: "The revision in force at all front ends that serve.",
};

/// How long it took from when an observer knew the revision that [`REVISION_IN_FORCE`] shows until
/// that revision was in force on all serving subscribers.
pub const PROPAGATION_TIME: Metric = Metric {
    name: "svc_cluster_in_force_after_ms",
    kind: MetricKind::Gauge,
    unit: Unit::Milliseconds,
    help: "The time until the last one was in force.",
};

/// Serving subscribers that lack a revision, by how long they have lacked it. The label is the
/// upper bound in seconds; a subscriber counts only under the lowest bound that applies.
pub const GATEWAYS_BEHIND: Metric = Metric {
    name: "svc_cluster_behind",
    kind: MetricKind::Gauge,
    unit: Unit::Gateways,
    help: "Serving front ends that lack a revision, by how long.",
};

/// Bytes that this subscriber sent to observers.
pub const SENT_BYTES: Metric = Metric {
    name: "svc_cluster_sent_bytes_total",
    kind: MetricKind::Counter,
    unit: Unit::Bytes,
    help: "Bytes sent to observers.",
};

/// Bytes that this subscriber received from observers.
pub const RECEIVED_BYTES: Metric = Metric {
    name: "svc_cluster_received_bytes_total",
    kind: MetricKind::Counter,
    unit: Unit::Bytes,
    help: "Bytes received from observers.",
};

/// The observer that sends changes to this subscriber.
pub const WATCHED_OBSERVER: Metric = Metric {
    name: "svc_cluster_observer",
    kind: MetricKind::Gauge,
    unit: Unit::MemberId,
    help: "The observer that is watched; 0: none.",
};

/// The observer that takes over when the one of [`WATCHED_OBSERVER`] fails.
pub const STANDBY_OBSERVER: Metric = Metric {
    name: "svc_cluster_reserve_observer",
    kind: MetricKind::Gauge,
    unit: Unit::MemberId,
    help: "The observer held in reserve; 0: none.",
};

/// Whether an observer has rejected this subscriber, by the code of the reason.
pub const SUBSCRIPTION_REJECTED: Metric = Metric {
    name: "svc_cluster_refused",
    kind: MetricKind::Gauge,
    unit: Unit::Boolean,
    help: "An observer turned this front end away, by the reason's code.",
};
