//! Metrics of a gateway that takes part in a fleet. They are written as samples alone, without HELP
//! and TYPE lines.

use super::super::{Metric, MetricKind, Unit};

/// The fleet size that the fair shares are calculated from, this gateway included.
pub const SIZE: Metric = Metric {
    name: "svc_fleet_share",
    kind: MetricKind::Gauge,
    unit: Unit::Gateways,
    help: "The fleet size in use, this gateway included.",
};

/// Whether this process was paused and has not yet received messages from enough other members.
pub const IS_RECOVERING_FROM_PAUSE: Metric = Metric {
    name: "svc_fleet_doubts_itself",
    kind: MetricKind::Gauge,
    unit: Unit::Boolean,
    help: "This process was paused, and suspects nobody for now.",
};

/// Received datagrams of unknown senders, other fleets or other protocol versions.
pub const DATAGRAMS_REJECTED: Metric = Metric {
    name: "svc_fleet_turned_away_total",
    kind: MetricKind::Counter,
    unit: Unit::Datagrams,
    help: "Datagrams rejected.",
};

/// Datagrams that the operating system did not accept.
pub const DATAGRAMS_UNSENT: Metric = Metric {
    name: "svc_fleet_unsent_total",
    kind: MetricKind::Counter,
    unit: Unit::Datagrams,
    help: "Datagrams that the operating system did not accept.",
};

/// Bytes of datagrams sent.
pub const SENT_BYTES: Metric = Metric {
    name: "svc_fleet_sent_bytes_total",
    kind: MetricKind::Counter,
    unit: Unit::Bytes,
    help: "Bytes of datagrams sent.",
};

/// Bytes of datagrams received.
pub const RECEIVED_BYTES: Metric = Metric {
    name: "svc_fleet_received_bytes_total",
    kind: MetricKind::Counter,
    unit: Unit::Bytes,
    help: "Bytes of datagrams received.",
};

/// How long this gateway has seen a member in its current state, by member, address and state.
pub const MEMBER_STATE_AGE: Metric = Metric {
    name: "svc_fleet_member_seconds",
    kind: MetricKind::Gauge,
    unit: Unit::Seconds,
    help: "The time since a member is seen in its state.",
};

/// How long a member has answered other members but not this gateway, by member and address.
pub const LINK_CUT_AGE: Metric = Metric {
    name: "svc_fleet_link_cut_seconds",
    kind: MetricKind::Gauge,
    unit: Unit::Seconds,
    help: "The time since a link is cut.",
};
