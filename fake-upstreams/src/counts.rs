//! Counts of what has reached the engines: attempts by request and by key, pages, and attempts at
//! engines that were draining or cordoned.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

/// How long after an attempt with an idempotency key completed another attempt with that key has no
/// effect.
const DEDUP_WINDOW: Duration = Duration::from_secs(12);

/// Counts over all engines since the start.
#[derive(Debug, Clone, Default)]
pub struct Counts {
    /// Attempts that were received in full, by request id.
    pub by_request: HashMap<String, u32>,
    /// Memory that the gateway reserved for the last attempt of each request, in megabytes; 0 if
    /// the engine chooses.
    pub reserved: BTreeMap<String, u64>,
    /// Attempts that were received in full, by idempotency key.
    pub by_key: HashMap<String, u32>,
    /// Number of times each idempotency key took effect. Engines discard repeats that complete
    /// within the deduplication window.
    pub effects: HashMap<String, u32>,
    /// Requests for pages after the first, by request id and page number.
    pub pages: HashMap<(String, usize), u32>,
    /// Attempts that were received in full, by engine id.
    pub by_engine: BTreeMap<String, u32>,
    /// Attempts that were cancelled.
    pub cancels: u32,
    /// Attempts that are running now.
    pub running: u32,
    /// Maximum number of attempts that ran at the same time.
    pub most_running: u32,
    /// Longest time between the drain of an engine and an attempt that it received.
    pub longest_after_drain: Duration,
    /// Longest time between the cordon of an engine and an attempt that it received while cordoned.
    pub longest_after_cordon: Duration,
    /// Attempts that cordoned engines received.
    pub after_cordon: u32,
    cordoned_at: BTreeMap<String, Instant>,
    drained_at: BTreeMap<String, Instant>,
    last_effect_at: HashMap<String, Instant>,
}

impl Counts {
    /// Returns the number of attempts that all engines received in full.
    #[must_use]
    pub fn attempts(&self) -> u32 {
        self.by_engine.values().sum()
    }

    /// Records that an engine is draining. Only the first call for an engine sets the time.
    pub(crate) fn record_drain(&mut self, engine: &str) {
        self.drained_at
            .entry(engine.to_owned())
            .or_insert_with(Instant::now);
    }

    /// Records that an engine is cordoned, or no longer cordoned. A repeated cordon keeps the time
    /// of the first.
    pub(crate) fn record_cordon(&mut self, engine: &str, is_cordoned: bool) {
        if is_cordoned {
            self.cordoned_at
                .entry(engine.to_owned())
                .or_insert_with(Instant::now);
        } else {
            self.cordoned_at.remove(engine);
        }
    }

    /// Counts an attempt that an engine received in full.
    pub(crate) fn record_attempt(&mut self, engine: &str, request_id: &str, key: Option<&str>) {
        *self.by_request.entry(request_id.to_owned()).or_default() += 1;
        *self.by_engine.entry(engine.to_owned()).or_default() += 1;
        if let Some(drained_at) = self.drained_at.get(engine) {
            self.longest_after_drain = self.longest_after_drain.max(drained_at.elapsed());
        }
        if let Some(cordoned_at) = self.cordoned_at.get(engine) {
            self.longest_after_cordon = self.longest_after_cordon.max(cordoned_at.elapsed());
            self.after_cordon += 1;
        }
        if let Some(key) = key {
            *self.by_key.entry(key.to_owned()).or_default() += 1;
        }
    }

    /// Counts a request for a page after the first.
    pub(crate) fn record_page(&mut self, request_id: &str, page: usize) {
        *self.pages.entry((request_id.to_owned(), page)).or_default() += 1;
    }

    /// Counts an attempt that starts to run.
    pub(crate) fn record_start(&mut self) {
        self.running += 1;
        self.most_running = self.most_running.max(self.running);
    }

    /// Records that an attempt has completed. Its key takes effect, unless an attempt with the same
    /// key completed within the deduplication window.
    pub(crate) fn record_effect(&mut self, key: Option<&str>) {
        let Some(key) = key else { return };
        let now = Instant::now();
        let last = self.last_effect_at.insert(key.to_owned(), now);
        if last.is_none_or(|at| now.duration_since(at) > DEDUP_WINDOW) {
            *self.effects.entry(key.to_owned()).or_default() += 1;
        }
    }
}
