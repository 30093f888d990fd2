//! Metrics of the memory that peers make this process hold.

use super::super::{Metric, MetricKind, Unit};

/// The part of the memory limit that is for the data of peers.
pub const LIMIT_BYTES: Metric = Metric {
    name: "svc_memory_limit_bytes",
    kind: MetricKind::Gauge,
    unit: Unit::Bytes,
    help: "Memory that peers can make this process hold.",
};

/// Memory that is held for peers, by purpose.
pub const CHARGED_BYTES: Metric = Metric {
    name: "svc_memory_charged_bytes",
    kind: MetricKind::Gauge,
    unit: Unit::Bytes,
    help: "Memory held for peers, by purpose.",
};

/// Requests and answers that did not fit into the limit when they were first tried.
pub const CHARGES_REJECTED: Metric = Metric {
    name: "svc_memory_rejected_total",
    kind: MetricKind::Counter,
    unit: Unit::RequestsAndAttempts,
    help: "Times that memory for a request or an answer did not fit into the limit.",
};

/// Connections that were closed because their memory was reclaimed.
pub const CONNECTIONS_RECLAIMED: Metric = Metric {
    name: "svc_memory_reclaimed_total",
    kind: MetricKind::Counter,
    unit: Unit::Connections,
    help: "Connections closed to reclaim their memory.",
};
