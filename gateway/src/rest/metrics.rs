//! The REST front end's metrics, in the text format of Prometheus.

use std::cell::Cell;

use super::RestFrontend;
use crate::idempotency::KeyCounts;
use crate::stats::write_metric;

/// Counts since the start.
#[derive(Default)]
pub(super) struct Counters {
    /// Further pages served.
    pub pages: Cell<u64>,
    /// Pages requested after their time.
    pub expired_pages: Cell<u64>,
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
        let (results_len, reserved) = (results.len(), results.budget().reserved());
        let counters = &self.counters;
        let mut out = String::new();
        let mut gauge = |name, help, value: usize| {
            write_metric(&mut out, name, "gauge", help, value as u64);
        };
        gauge(
            "svc_rest_results",
            "Results whose pages may be fetched.",
            results_len,
        );
        gauge(
            "svc_rest_results_bytes",
            "Bytes held or reserved.",
            reserved,
        );
        for (name, help, counter) in [
            (
                "svc_rest_results_full_total",
                "Queries refused for want of that.",
                &counters.results_full,
            ),
            (
                "svc_rest_pages_total",
                "Further pages served.",
                &counters.pages,
            ),
            (
                "svc_rest_pages_gone_total",
                "Pages asked for after their time.",
                &counters.expired_pages,
            ),
            (
                "svc_rest_tokens_unknown_total",
                "Tokens nobody here has made.",
                &counters.unknown_tokens,
            ),
        ] {
            write_metric(&mut out, name, "counter", help, counter.get());
        }
        write_key_metrics(&mut out, keys);
        out
    }
}

fn write_key_metrics(out: &mut String, keys: KeyCounts) {
    write_metric(
        out,
        "svc_rest_keys",
        "gauge",
        "Idempotency keys taken.",
        keys.keys as u64,
    );
    write_metric(
        out,
        "svc_rest_keys_joined_total",
        "counter",
        "Queries that joined one that ran.",
        keys.joined,
    );
    write_metric(
        out,
        "svc_rest_keys_replayed_total",
        "counter",
        "Queries that got a recorded answer.",
        keys.replayed,
    );
}
