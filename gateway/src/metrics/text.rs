//! The text format of Prometheus: a HELP and a TYPE line for each metric, and a line for each
//! sample.

use std::fmt::Write as _;

use super::{Metric, MetricKind};

/// A label of a sample. The value is written without escapes, so it must not contain a quote, a
/// backslash or a line feed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Label<'a> {
    /// The label's name.
    pub name: &'a str,
    /// The label's value.
    pub value: &'a str,
}

/// Builds the text of a metrics page.
#[derive(Debug, Default)]
pub struct MetricsText {
    text: String,
}

impl MetricsText {
    /// Creates an empty text.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Writes a metric that has one sample, without labels.
    pub fn write_value(&mut self, metric: &Metric, value: u64) {
        self.write_head(metric);
        self.write_sample(metric, &[], value);
    }

    /// Writes a metric that has any number of samples, which differ in the value of one label.
    pub fn write_by_label<'a>(
        &mut self,
        metric: &Metric,
        label: &str,
        samples: impl Iterator<Item = (&'a str, u64)>,
    ) {
        self.write_head(metric);
        for (label_value, value) in samples {
            let label = Label {
                name: label,
                value: label_value,
            };
            self.write_sample(metric, &[label], value);
        }
    }

    /// Writes a sample alone, without the HELP and TYPE lines of its metric.
    pub fn write_sample(&mut self, metric: &Metric, labels: &[Label], value: u64) {
        self.text.push_str(metric.name);
        self.write_labels(labels);
        let _ = writeln!(self.text, " {value}");
    }

    /// Returns the text that has been written.
    #[must_use]
    pub fn into_string(self) -> String {
        self.text
    }

    fn write_head(&mut self, metric: &Metric) {
        let Metric { name, help, .. } = metric;
        let kind = match metric.kind {
            MetricKind::Counter => "counter",
            MetricKind::Gauge => "gauge",
        };
        let _ = writeln!(self.text, "# HELP {name} {help}\n# TYPE {name} {kind}");
    }

    fn write_labels(&mut self, labels: &[Label]) {
        let mut opening = '{';
        for Label { name, value } in labels {
            let _ = write!(self.text, "{opening}{name}=\"{value}\"");
            opening = ',';
        }
        if !labels.is_empty() {
            self.text.push('}');
        }
    }
}
