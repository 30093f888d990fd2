//! Request metrics, in the text format of Prometheus.

use std::cell::Cell;
use std::fmt::Write;

use violetgate_policy::EngineCounts;

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

/// Writes one metric without labels, with its HELP and TYPE lines.
pub fn write_metric(out: &mut String, name: &str, kind: &str, help: &str, value: u64) {
    let _ = writeln!(
        out,
        "# HELP {name} {help}\n# TYPE {name} {kind}\n{name} {value}"
    );
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
        let mut out = String::new();
        self.write_by_class(&mut out, "passed_total", "Requests served.", |class| {
            &class.served
        });
        self.write_by_class(&mut out, "dropped_total", "Requests refused.", |class| {
            &class.refused
        });
        self.write_by_class(&mut out, "bad_gateway_total", "Requests failed.", |class| {
            &class.failed
        });
        let mut counter = |name, help, value| write_metric(&mut out, name, "counter", help, value);
        counter(
            "svc_upstream_tries_total",
            "Attempts written whole to engines.",
            self.attempts.get(),
        );
        let mut gauge = |name, help, value| write_metric(&mut out, name, "gauge", help, value);
        gauge(
            "svc_in_progress",
            "Requests taken and not ended.",
            self.open.get(),
        );
        gauge(
            "svc_known_engines",
            "Engines in the list.",
            engines.listed as u64,
        );
        gauge(
            "svc_skipped_engines",
            "Listed engines that are avoided now.",
            engines.avoided as u64,
        );
        out
    }

    fn write_by_class(
        &self,
        out: &mut String,
        name: &str,
        help: &str,
        counter: fn(&ClassCounters) -> &Cell<u64>,
    ) {
        let _ = writeln!(out, "# HELP svc_{name} {help}\n# TYPE svc_{name} counter");
        for class in &self.classes {
            let _ = writeln!(
                out,
                "svc_{name}{{category=\"{}\"}} {}",
                class.name,
                counter(class).get()
            );
        }
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
