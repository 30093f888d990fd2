//! Counts of requests and attempts, and how the metrics show them.

use std::cell::Cell;

use violetgate_policy::EngineCounts;

use crate::metrics::catalog::requests;
use crate::metrics::text::MetricsText;
use crate::metrics::Metric;

/// The label that says a request's class.
const CLASS_LABEL: &str = "category";

/// How a request ended, for its client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestEnding {
    /// All rows were written.
    Served,
    /// Rejected; a retry does no harm.
    Rejected,
    /// Any other error, also the one that answers a client's own cancel.
    Failed,
}

#[derive(Default)]
struct ClassCounters {
    name: String,
    served: Cell<u64>,
    refused: Cell<u64>,
    failed: Cell<u64>,
}

/// Counters since the start of this process.
pub struct Stats {
    classes: Vec<ClassCounters>,
    attempts: Cell<u64>,
    open: Cell<u64>,
}

/// Adds one to a counter.
pub fn increment(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}

impl Stats {
    /// Counters for classes of these names, all at 0.
    #[must_use]
    pub fn new<'a>(classes: impl Iterator<Item = &'a str>) -> Self {
        let classes = classes
            .map(|name| ClassCounters {
                name: name.to_owned(),
                ..ClassCounters::default()
            })
            .collect();
        Stats {
            classes,
            attempts: Cell::new(0),
            open: Cell::new(0),
        }
    }

    /// Counts a request of a class that has been read. It is in progress until what is returned is
    /// dropped.
    pub fn start_request(&self, class: u32) -> RequestInProgress<'_> {
        increment(&self.open);
        RequestInProgress {
            stats: self,
            class: class as usize,
        }
    }

    /// Counts an attempt that has been written completely to an engine.
    pub fn count_attempt(&self) {
        increment(&self.attempts);
    }

    /// All metrics.
    #[must_use]
    pub fn render(&self, engines: EngineCounts) -> String {
        let mut out = MetricsText::new();
        self.write_by_class(&mut out, &requests::REQUESTS_SERVED, |class| &class.served);
        self.write_by_class(&mut out, &requests::REQUESTS_REJECTED, |class| {
            &class.refused
        });
        self.write_by_class(&mut out, &requests::REQUESTS_FAILED, |class| &class.failed);
        out.write_value(&requests::ATTEMPTS, self.attempts.get());
        out.write_value(&requests::REQUESTS_IN_PROGRESS, self.open.get());
        out.write_value(&requests::ENGINES_LISTED, engines.listed as u64);
        out.write_value(&requests::ENGINES_AVOIDED, engines.avoided as u64);
        out.into_string()
    }

    fn write_by_class(
        &self,
        out: &mut MetricsText,
        metric: &Metric,
        counter: fn(&ClassCounters) -> &Cell<u64>,
    ) {
        let samples = self.classes.iter();
        let samples = samples.map(|class| (class.name.as_str(), counter(class).get()));
        out.write_by_label(metric, CLASS_LABEL, samples);
    }
}

/// A request in progress. Dropped without an ending, as when its client has disconnected, it stands
/// under no counter.
pub struct RequestInProgress<'a> {
    stats: &'a Stats,
    class: usize,
}

impl RequestInProgress<'_> {
    /// Its answer has been written.
    pub fn finish(self, ending: RequestEnding) {
        if let Some(class) = self.stats.classes.get(self.class) {
            increment(match ending {
                RequestEnding::Served => &class.served,
                RequestEnding::Rejected => &class.refused,
                RequestEnding::Failed => &class.failed,
            });
        }
    }
}

impl Drop for RequestInProgress<'_> {
    fn drop(&mut self) {
        self.stats.open.set(self.stats.open.get() - 1);
    }
}

#[cfg(test)]
mod tests;
