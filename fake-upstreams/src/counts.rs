//! What has reached the engines: attempts by request and by key, pages, and attempts at engines
//! that were draining or cordoned.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

/// For how long every engine discards a repeat of an idempotency key.
const DEDUP_WINDOW: Duration = Duration::from_secs(12);

/// Counts since the start.
#[derive(Debug, Clone, Default)]
pub struct Counts {
    /// Attempts that arrived complete, by request id.
    pub by_request: HashMap<String, u32>,
    /// Megabytes that the last attempt of a request was granted; 0 if the engine was to choose.
    pub reserved: BTreeMap<String, u64>,
    /// Attempts that arrived complete, by idempotency key.
    pub by_key: HashMap<String, u32>,
    /// How often a key took effect: repeats within the window are discarded.
    pub effects: HashMap<String, u32>,
    /// Further pages that were requested, by request id and page number.
    pub pages: HashMap<(String, usize), u32>,
    /// Attempts by engine.
    pub by_engine: BTreeMap<String, u32>,
    /// Attempts that were cancelled.
    pub cancels: u32,
    /// Attempts that are running.
    pub running: u32,
    /// The most attempts that were running at a time.
    pub most_running: u32,
    /// The longest time after the drain of an engine at which it got an attempt.
    pub latest_after_drain: Duration,
    /// The longest time after the cordon of an engine at which it got an attempt.
    pub latest_after_cordon: Duration,
    /// Attempts at engines that were cordoned.
    pub after_cordon: u32,
    cordoned_at: BTreeMap<String, Instant>,
    drained_at: BTreeMap<String, Instant>,
    last_effect_at: HashMap<String, Instant>,
}

impl Counts {
    /// All attempts.
    #[must_use]
    pub fn attempts(&self) -> u32 {
        self.by_engine.values().sum()
    }

    /// An engine is draining from now on, if it was not before.
    pub(crate) fn record_drain(&mut self, engine: &str) {
        self.drained_at
            .entry(engine.to_owned())
            .or_insert_with(Instant::now);
    }

    /// An engine is cordoned from now on, if it was not before; or no longer.
    pub(crate) fn record_cordon(&mut self, engine: &str, is_cordoned: bool) {
        if is_cordoned {
            self.cordoned_at
                .entry(engine.to_owned())
                .or_insert_with(Instant::now);
        } else {
            self.cordoned_at.remove(engine);
        }
    }

    /// An attempt has arrived complete.
    pub(crate) fn record_attempt(&mut self, engine: &str, request_id: &str, key: Option<&str>) {
        *self.by_request.entry(request_id.to_owned()).or_default() += 1;
        *self.by_engine.entry(engine.to_owned()).or_default() += 1;
        if let Some(drained_at) = self.drained_at.get(engine) {
            self.latest_after_drain = self.latest_after_drain.max(drained_at.elapsed());
        }
        if let Some(cordoned_at) = self.cordoned_at.get(engine) {
            self.latest_after_cordon = self.latest_after_cordon.max(cordoned_at.elapsed());
            self.after_cordon += 1;
        }
        if let Some(key) = key {
            *self.by_key.entry(key.to_owned()).or_default() += 1;
        }
    }

    /// A further page was requested.
    pub(crate) fn record_page(&mut self, request_id: &str, page: usize) {
        *self.pages.entry((request_id.to_owned(), page)).or_default() += 1;
    }

    /// An attempt has begun to run.
    pub(crate) fn record_start(&mut self) {
        self.running += 1;
        self.most_running = self.most_running.max(self.running);
    }

    /// An attempt has run to its end: its key takes effect, unless it did within the window.
    pub(crate) fn record_effect(&mut self, key: Option<&str>) {
        let Some(key) = key else { return };
        let now = Instant::now();
        let last = self.last_effect_at.insert(key.to_owned(), now);
        if last.is_none_or(|at| now.duration_since(at) > DEDUP_WINDOW) {
            *self.effects.entry(key.to_owned()).or_default() += 1;
        }
    }
}
