//! Metrics of the event bus, written if this gateway takes part in a cluster or a fleet.

use super::super::{Metric, MetricKind, Unit};

/// Bytes sent to the event bus.
pub const SENT_BYTES: Metric = Metric {
    name: "svc_bus_sent_bytes_total",
    kind: MetricKind::Counter,
    unit: Unit::Bytes,
    help: "Bytes sent to the event bus.",
};

/// Bytes received from the event bus.
pub const RECEIVED_BYTES: Metric = Metric {
    name: "svc_bus_received_bytes_total",
    kind: MetricKind::Counter,
    unit: Unit::Bytes,
    help: "Bytes received from the event bus.",
};
