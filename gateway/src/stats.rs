//! The figures that operators read, in the text format of Prometheus.

use std::cell::Cell;
use std::fmt::Write;

/// How a request ended, for its client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// All rows were written.
    Served,
    /// Turned away; another try does no harm.
    Refused,
    /// Any other error, also the one that tells a client of its own cancel.
    Failed,
}

#[derive(Default)]
struct Class {
    name: String,
    served: Cell<u64>,
    refused: Cell<u64>,
    failed: Cell<u64>,
}

/// Counts since the start of this process.
pub struct Stats {
    classes: Vec<Class>,
    tries: Cell<u64>,
    open: Cell<u64>,
}

fn add(count: &Cell<u64>) {
    count.set(count.get() + 1);
}

impl Stats {
    /// Counts for classes of these names, all from 0.
    #[must_use]
    pub fn new<'a>(classes: impl Iterator<Item = &'a str>) -> Self {
        let classes = classes
            .map(|name| Class {
                name: name.to_owned(),
                ..Class::default()
            })
            .collect();
        Stats {
            classes,
            tries: Cell::new(0),
            open: Cell::new(0),
        }
    }

    /// A request of a class has been read. It is in progress until what is returned is dropped.
    pub fn begin(&self, class: u32) -> InProgress<'_> {
        add(&self.open);
        InProgress {
            stats: self,
            class: class as usize,
        }
    }

    /// An attempt has been written whole to an engine.
    pub fn tried(&self) {
        add(&self.tries);
    }

    /// All figures; of the engine list, how many engines it holds and how many of those are avoided.
    #[must_use]
    pub fn text(&self, known: usize, skipped: usize) -> String {
        let mut out = String::new();
        let count = |out: &mut String, name: &str, help: &str, of: fn(&Class) -> &Cell<u64>| {
            let _ = writeln!(out, "# HELP svc_{name} {help}\n# TYPE svc_{name} counter");
            for class in &self.classes {
                let _ = writeln!(
                    out,
                    "svc_{name}{{category=\"{}\"}} {}",
                    class.name,
                    of(class).get()
                );
            }
        };
        count(&mut out, "passed_total", "Requests served.", |c| &c.served);
        count(&mut out, "dropped_total", "Requests refused.", |c| {
            &c.refused
        });
        count(&mut out, "bad_gateway_total", "Requests failed.", |c| {
            &c.failed
        });
        for (name, kind, help, value) in [
            (
                "upstream_tries_total",
                "counter",
                "Attempts written whole to engines.",
                self.tries.get(),
            ),
            (
                "in_progress",
                "gauge",
                "Requests taken and not ended.",
                self.open.get(),
            ),
            (
                "known_engines",
                "gauge",
                "Engines in the list.",
                known as u64,
            ),
            (
                "skipped_engines",
                "gauge",
                "Listed engines that are avoided now.",
                skipped as u64,
            ),
        ] {
            let _ = writeln!(
                out,
                "# HELP svc_{name} {help}\n# TYPE svc_{name} {kind}\nsvc_{name} {value}"
            );
        }
        out
    }
}

/// A request in progress. Dropped without an ending, as when its client has left, it stands under no count.
pub struct InProgress<'a> {
    stats: &'a Stats,
    class: usize,
}

impl InProgress<'_> {
    /// Its answer has been written.
    pub fn ended(self, ending: Ending) {
        if let Some(class) = self.stats.classes.get(self.class) {
            add(match ending {
                Ending::Served => &class.served,
                Ending::Refused => &class.refused,
                Ending::Failed => &class.failed,
            });
        }
    }
}

impl Drop for InProgress<'_> {
    fn drop(&mut self) {
        self.stats.open.set(self.stats.open.get() - 1);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Every class is told from the start on, and each way out counts once.
    #[test]
    fn every_way_out_counts_once() {
        let stats = Stats::new(["a", "b"].into_iter());
        stats.tried();
        let left = stats.begin(0);
        for ending in [
            Ending::Served,
            Ending::Served,
            Ending::Refused,
            Ending::Failed,
        ] {
            stats.begin(1).ended(ending);
        }
        let told = |text: &str| {
            text.lines()
                .filter(|l| !l.starts_with('#'))
                .map(|l| l.to_owned())
                .collect::<Vec<_>>()
        };
        let expected = [
            "svc_passed_total{category=\"a\"} 0",
            "svc_passed_total{category=\"b\"} 2",
            "svc_dropped_total{category=\"a\"} 0",
            "svc_dropped_total{category=\"b\"} 1",
            "svc_bad_gateway_total{category=\"a\"} 0",
            "svc_bad_gateway_total{category=\"b\"} 1",
            "svc_upstream_tries_total 1",
            "svc_in_progress 1",
            "svc_known_engines 7",
            "svc_skipped_engines 2",
        ];
        assert_eq!(told(&stats.text(7, 2)), expected);
        drop(left);
        assert!(stats.text(0, 0).contains("\nsvc_in_progress 0\n"));
    }
}
