//! The REST front end's counts, and how the metrics show them.

use std::cell::Cell;

use super::RestFrontend;
use crate::idempotency::KeyCounts;
use crate::metrics::catalog::rest;
use crate::metrics::text::MetricsText;

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
