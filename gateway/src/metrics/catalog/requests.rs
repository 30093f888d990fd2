//! Metrics of the requests of all protocols, and of the engines that they are sent to.

use super::super::{Metric, MetricKind, Unit};

/// Requests whose result was written completely, by class.
pub const REQUESTS_SERVED: Metric = Metric {
    name: "svc_passed_total",
    kind: MetricKind::Counter,
    unit: Unit::Requests,
    help: "Requests served.",
};

/// Requests rejected with an error after which the client can safely retry, by class.
pub const REQUESTS_REJECTED: Metric = Metric {
    name: "svc_dropped_total",
    kind: MetricKind::Counter,
    unit: Unit::Requests,
    help: "Requests refused.",
};

/// Requests that ended with any other error, by class.
pub const REQUESTS_FAILED: Metric = Metric {
    name: "svc_bad_gateway_total",
    kind: MetricKind::Counter,
    unit: Unit::Requests,
    help: "Requests failed.",
};

/// First attempts and retries that were written completely to an engine.
pub const ATTEMPTS: Metric = Metric {
    name: "svc_upstream_tries_total",
    kind: MetricKind::Counter,
    unit: Unit::Attempts,
    help: "Attempts written whole to engines.",
};

/// Requests that have been read completely and whose answer is not yet written.
pub const REQUESTS_IN_PROGRESS: Metric = Metric {
    name: "svc_in_progress",
    kind: MetricKind::Gauge,
    unit: Unit::Requests,
    help: "Requests taken and not ended.",
};

/// Engines in the list, draining ones included.
pub const ENGINES_LISTED: Metric = Metric {
    name: "svc_known_engines",
    kind: MetricKind::Gauge,
    unit: Unit::Engines,
    help: "Engines in the list.",
};

/// Listed engines that get no requests now because they are cordoned or ejected.
pub const ENGINES_AVOIDED: Metric = Metric {
    name: "svc_skipped_engines",
    kind: MetricKind::Gauge,
    unit: Unit::Engines,
    help: "Listed engines that are avoided now.",
};
