//! The counters and metrics of the REST front end.

use std::cell::Cell;

use super::RestFrontend;
use crate::idempotency::KeyCounts;
use crate::metrics::catalog::rest;
use crate::metrics::text::MetricsText;

/// Counts since the start of the process.
#[derive(Default)]
pub(super) struct Counters {
    /// The number of pages fetched from stored results. The page that answers a query is not
    /// counted.
    pub pages: Cell<u64>,
    /// The number of requests for a result that has expired or was deleted.
    pub expired_pages: Cell<u64>,
    /// The number of requests with a token that this process did not create, or with a page number
    /// that the result does not have.
    pub unknown_tokens: Cell<u64>,
    /// The number of queries rejected because stored results take all capacity.
    pub results_full: Cell<u64>,
}

impl RestFrontend {
    /// Returns the metrics of the front end in the Prometheus text format.
    #[must_use]
    pub fn metrics(&self) -> String {
        let results = self.parts.results.borrow();
        let keys = self.parts.idempotency.counts();
        let (results_len, reserved) = (results.len(), results.budget().reserved());
        let counters = &self.counters;
        let mut out = MetricsText::new();
        out.write_value(&rest::RESULTS, results_len as u64);
        out.write_value(&rest::RESULTS_BYTES, reserved as u64);
        out.write_value(&rest::RESULTS_FULL, counters.results_full.get());
        out.write_value(&rest::PAGES, counters.pages.get());
        out.write_value(&rest::PAGES_EXPIRED, counters.expired_pages.get());
        out.write_value(&rest::TOKENS_UNKNOWN, counters.unknown_tokens.get());
        write_key_metrics(&mut out, keys);
        out.into_string()
    }
}

fn write_key_metrics(out: &mut MetricsText, keys: KeyCounts) {
    out.write_value(&rest::KEYS, keys.keys as u64);
    out.write_value(&rest::KEYS_JOINED, keys.joined);
    out.write_value(&rest::KEYS_REPLAYED, keys.replayed);
}
