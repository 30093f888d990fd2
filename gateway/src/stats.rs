//! Counts requests and attempts, and writes the counts as metrics.

use std::cell::Cell;

use violetgate_policy::EngineCounts;

use crate::metrics::catalog::requests;
use crate::metrics::text::MetricsText;
use crate::metrics::Metric;

/// The name of the label whose value is a request's class.
const CLASS_LABEL: &str = "category";

/// How a request ended from its client's point of view.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestEnding {
    /// All rows were written.
    Served,
    /// The request was rejected with an error after which the client can safely retry.
    Rejected,
    /// Any other error, including the answer to a request that its client has cancelled.
    Failed,
}

#[derive(Default)]
struct ClassCounters {
    name: String,
    served: Cell<u64>,
    rejected: Cell<u64>,
    failed: Cell<u64>,
}

/// Counters of requests and attempts since the start of this process.
pub struct Stats {
    classes: Vec<ClassCounters>,
    attempts: Cell<u64>,
    in_progress: Cell<u64>,
}

/// Adds one to a counter.
pub fn increment(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}

impl Stats {
    /// Creates counters for classes with these names, all at 0. The position of a name is the
    /// class's number.
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
            in_progress: Cell::new(0),
        }
    }

    /// Counts a request that has been read. The request is in progress until the returned value is
    /// dropped.
    pub fn start_request(&self, class: u32) -> RequestInProgress<'_> {
        increment(&self.in_progress);
        RequestInProgress {
            stats: self,
            class: class as usize,
        }
    }

    /// Counts an attempt that has been written completely to an engine.
    pub fn count_attempt(&self) {
        increment(&self.attempts);
    }

    /// Writes all counters and the given numbers of engines as metrics.
    #[must_use]
    pub fn render(&self, engines: EngineCounts) -> String {
        let mut out = MetricsText::new();
        self.write_by_class(&mut out, &requests::REQUESTS_SERVED, |class| &class.served);
        self.write_by_class(&mut out, &requests::REQUESTS_REJECTED, |class| {
            &class.rejected
        });
        self.write_by_class(&mut out, &requests::REQUESTS_FAILED, |class| &class.failed);
        out.write_value(&requests::ATTEMPTS, self.attempts.get());
        out.write_value(&requests::REQUESTS_IN_PROGRESS, self.in_progress.get());
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

/// A request in progress. If it is dropped without [`RequestInProgress::finish`], for example
/// because its client has disconnected, its ending isn't counted.
pub struct RequestInProgress<'a> {
    stats: &'a Stats,
    class: usize,
}

impl RequestInProgress<'_> {
    /// Counts the ending of the request, whose answer has been written.
    pub fn finish(self, ending: RequestEnding) {
        if let Some(class) = self.stats.classes.get(self.class) {
            increment(match ending {
                RequestEnding::Served => &class.served,
                RequestEnding::Rejected => &class.rejected,
                RequestEnding::Failed => &class.failed,
            });
        }
    }
}

impl Drop for RequestInProgress<'_> {
    fn drop(&mut self) {
        self.stats.in_progress.set(self.stats.in_progress.get() - 1);
    }
}

#[cfg(test)]
mod tests;
