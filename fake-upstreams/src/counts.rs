//! What has reached the engines: attempts by request and by key, pages asked for, and sends to engines that were
//! listed as draining.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

/// For how long every engine drops a repeat of a key, as the protocol's deployment has it.
const WINDOW: Duration = Duration::from_secs(12);

/// Counts since the start of the fleet.
#[derive(Debug, Clone, Default)]
pub struct Counts {
    /// Attempts that came whole, by request id.
    pub by_request: HashMap<String, u32>,
    /// Megabytes that the last attempt of a request was granted; 0: the engine's own choice.
    pub reserved: BTreeMap<String, u64>,
    /// Attempts that came whole, by idempotency key.
    pub by_key: HashMap<String, u32>,
    /// How often a key had its effect: repeats within the window are dropped.
    pub effects: HashMap<String, u32>,
    /// Further pages asked for, by request id and page.
    pub pages: HashMap<(String, usize), u32>,
    /// Attempts by engine.
    pub by_engine: BTreeMap<String, u32>,
    /// Attempts that were cancelled.
    pub cancels: u32,
    /// Attempts that are running.
    pub running: u32,
    /// The same, at its highest.
    pub most_running: u32,
    /// The longest time after its drain was told at which an engine got an attempt.
    pub latest_after_drain: Duration,
    /// The same after an operator's call out that was agreed on.
    pub latest_after_call: Duration,
    /// Attempts that came to engines that were called out, within that time.
    pub after_calls: u32,
    called_out: BTreeMap<String, Instant>,
    drained: BTreeMap<String, Instant>,
    taken: HashMap<String, Instant>,
}

impl Counts {
    /// All attempts.
    #[must_use]
    pub fn attempts(&self) -> u32 {
        self.by_engine.values().sum()
    }

    pub(crate) fn drained(&mut self, engine: &str) {
        self.drained
            .entry(engine.to_owned())
            .or_insert_with(Instant::now);
    }

    pub(crate) fn called(&mut self, engine: &str, out: bool) {
        if out {
            self.called_out
                .entry(engine.to_owned())
                .or_insert_with(Instant::now);
        } else {
            self.called_out.remove(engine);
        }
    }

    pub(crate) fn attempt(&mut self, engine: &str, rid: &str, key: Option<&str>) {
        *self.by_request.entry(rid.to_owned()).or_default() += 1;
        *self.by_engine.entry(engine.to_owned()).or_default() += 1;
        if let Some(told) = self.drained.get(engine) {
            self.latest_after_drain = self.latest_after_drain.max(told.elapsed());
        }
        if let Some(told) = self.called_out.get(engine) {
            self.latest_after_call = self.latest_after_call.max(told.elapsed());
            self.after_calls += 1;
        }
        if let Some(key) = key {
            *self.by_key.entry(key.to_owned()).or_default() += 1;
        }
    }

    /// An attempt has begun to run.
    pub(crate) fn began(&mut self) {
        self.running += 1;
        self.most_running = self.most_running.max(self.running);
    }

    /// An attempt has run to its end: a key has its effect, unless it had it within the window.
    pub(crate) fn ran(&mut self, key: Option<&str>) {
        let Some(key) = key else { return };
        let now = Instant::now();
        let before = self.taken.insert(key.to_owned(), now);
        if before.is_none_or(|at| now.duration_since(at) > WINDOW) {
            *self.effects.entry(key.to_owned()).or_default() += 1;
        }
    }
}
