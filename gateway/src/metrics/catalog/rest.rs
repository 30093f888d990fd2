//! Metrics of the REST front end: results that are cached for their pages, and idempotency keys.

use super::super::{Metric, MetricKind, Unit};

/// The number of cached results.
pub const RESULTS: Metric = Metric {
    name: "svc_rest_results",
    kind: MetricKind::Gauge,
    unit: Unit::Results,
    help: "Results whose pages may be fetched.",
};

/// Bytes that results occupy or have reserved. Results are kept for later pages and for retries.
pub const RESULTS_BYTES: Metric = Metric {
    name: "svc_rest_results_bytes",
    kind: MetricKind::Gauge,
    unit: Unit::Bytes,
    help: "Bytes held or reserved.",
};

/// Queries rejected because other results took all capacity.
pub const RESULTS_FULL: Metric = Metric {
    name: "svc_rest_results_full_total",
    kind: MetricKind::Counter,
    unit: Unit::Requests,
    help: "Queries refused for want of that.",
};

/// Pages served after the first one of their result.
pub const PAGES: Metric = Metric {
    name: "svc_rest_pages_total",
    kind: MetricKind::Counter,
    unit: Unit::Pages,
    help: "Further pages served.",
};

/// Pages requested after their result had expired.
pub const PAGES_EXPIRED: Metric = Metric {
    name: "svc_rest_pages_gone_total",
    kind: MetricKind::Counter,
    unit: Unit::Pages,
    help: "Pages asked for after their time.",
};

/// Requests with a page token that this process did not issue.
pub const TOKENS_UNKNOWN: Metric = Metric {
    name: "svc_rest_tokens_unknown_total",
    kind: MetricKind::Counter,
    unit: Unit::Tokens,
    help: "Tokens nobody here has made.",
};

/// Idempotency keys in use.
pub const KEYS: Metric = Metric {
    name: "svc_rest_keys",
    kind: MetricKind::Gauge,
    unit: Unit::Keys,
    help: "Idempotency keys taken.",
};

/// Queries that got the answer of a running query with the same key.
pub const KEYS_JOINED: Metric = Metric {
    name: "svc_rest_keys_joined_total",
    kind: MetricKind::Counter,
    unit: Unit::Requests,
    help: "Queries that joined one that ran.",
};

/// Queries that got the answer recorded for their key.
pub const KEYS_REPLAYED: Metric = Metric {
    name: "svc_rest_keys_replayed_total",
    kind: MetricKind::Counter,
    unit: Unit::Requests,
    help: "Queries that got a recorded answer.",
};
