//! The REST front end's metrics, in the text format of Prometheus.

use std::cell::Cell;

use super::RestFrontend;
use crate::stats::write_metric;

/// Counts since the start.
#[derive(Default)]
pub(super) struct Counters {
    /// Further pages served.
    pub pages: Cell<u64>,
    /// Pages requested after their time.
    pub gone: Cell<u64>,
    /// Tokens that nobody here has made.
    pub unknown_tokens: Cell<u64>,
    /// Queries rejected as the results of others take all capacity.
    pub results_full: Cell<u64>,
}

impl RestFrontend {
    /// The metrics.
    #[must_use]
    pub fn metrics(&self) -> String {
        let results = self.parts.results.borrow();
        let keys = self.parts.idempotency.counts();
        let counters = &self.counters;
        let mut out = String::new();
        for (name, kind, help, value) in [
            (
                "svc_rest_results",
                "gauge",
                "Results whose pages may be fetched.",
                results.len() as u64,
            ),
            (
                "svc_rest_results_bytes",
                "gauge",
                "Bytes held or reserved.",
                results.budget().reserved() as u64,
            ),
            (
                "svc_rest_results_full_total",
                "counter",
                "Queries refused for want of that.",
                counters.results_full.get(),
            ),
            (
                "svc_rest_pages_total",
                "counter",
                "Further pages served.",
                counters.pages.get(),
            ),
            (
                "svc_rest_pages_gone_total",
                "counter",
                "Pages asked for after their time.",
                counters.gone.get(),
            ),
            (
                "svc_rest_tokens_unknown_total",
                "counter",
                "Tokens nobody here has made.",
                counters.unknown_tokens.get(),
            ),
            (
                "svc_rest_keys",
                "gauge",
                "Idempotency keys taken.",
                keys.keys as u64,
            ),
            (
                "svc_rest_keys_joined_total",
                "counter",
                "Queries that joined one that ran.",
                keys.joined,
            ),
            (
                "svc_rest_keys_replayed_total",
                "counter",
                "Queries that got a recorded answer.",
                keys.replayed,
            ),
        ] {
            write_metric(&mut out, name, kind, help, value);
        }
        out
    }
}
