//! This gateway in a fleet. These metrics are written as samples alone: their HELP lines are not
//! on the page.

use super::super::{Metric, MetricKind, Unit};

/// The number of gateways that the decisions reckon with.
pub const SIZE: Metric = Metric {
    name: "svc_fleet_share",
    kind: MetricKind::Gauge,
    unit: Unit::Gateways,
    help: "The fleet size in use, this gateway included.",
};

/// Whether this process was paused and has not yet had messages of enough others.
pub const IS_RECOVERING_FROM_PAUSE: Metric = Metric {
    name: "svc_fleet_doubts_itself",
    kind: MetricKind::Gauge,
    unit: Unit::Boolean,
    help: "This process was paused, and suspects nobody for now.",
};

/// Datagrams of unknown senders, other fleets or other versions.
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

/// The time since this gateway sees a member in its state, by member, address and state.
pub const MEMBER_STATE_AGE: Metric = Metric {
    name: "svc_fleet_member_seconds",
    kind: MetricKind::Gauge,
    unit: Unit::Seconds,
    help: "The time since a member is seen in its state.",
};

/// The time since a member answers others and not this gateway, by member and address.
pub const LINK_CUT_AGE: Metric = Metric {
    name: "svc_fleet_link_cut_seconds",
    kind: MetricKind::Gauge,
    unit: Unit::Seconds,
    help: "The time since a link is cut.",
};
