//! The figures of a run, and the checks against their bounds.

use std::collections::BTreeMap;
use std::fmt::Write as _;

/// Options of a run: its form and its seed.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Selects the short form, for CI: small sizes and fixed seeds, with bounds on counts and bytes
    /// but not on times.
    pub short: bool,
    /// The seed from which the test derives its random numbers.
    pub seed: u64,
}

impl Options {
    /// Returns `short` in the short form, otherwise `long`.
    #[must_use]
    pub fn select<T>(&self, short: T, long: T) -> T {
        if self.short {
            short
        } else {
            long
        }
    }
}

/// The size at which a cost of a role exceeds its budget.
#[derive(Debug, Clone)]
pub struct CapacityLimit {
    /// The names of the role and of the cost that exceeds its budget.
    pub name: String,
    /// The size at which the budget is exceeded; `None` if no size exceeds it.
    pub size: Option<f64>,
    /// The unit of the size, such as `engines`.
    pub size_of: &'static str,
    /// The size that the role has to support.
    pub target: f64,
}

impl CapacityLimit {
    /// Returns the size as a fraction of the target; infinite if no size exceeds the budget.
    #[must_use]
    pub fn fraction_of_target(&self) -> f64 {
        self.size.map_or(f64::INFINITY, |size| size / self.target)
    }
}

/// Figures by name, in the order of their names, with the failures and capacity limits of the run.
#[derive(Debug, Default)]
pub struct Figures {
    values: BTreeMap<String, String>,
    failures: Vec<String>,
    limits: Vec<CapacityLimit>,
}

impl Figures {
    /// Adds a figure. Names are lower case with underscores, and end in their unit (`_us`,
    /// `_bytes`, `_per_s`).
    pub fn add(&mut self, name: &str, value: impl std::fmt::Display) {
        self.values.insert(name.to_owned(), value.to_string());
    }

    /// Adds a figure with three significant digits.
    pub fn add_number(&mut self, name: &str, value: f64) {
        let digits = if value == 0.0 {
            0.0
        } else {
            value.abs().log10().floor()
        };
        let decimals = (2.0 - digits).clamp(0.0, 6.0) as usize;
        self.add(name, format!("{value:.decimals$}"));
    }

    /// Adds a figure that must be at most `bound`, and a failure if it exceeds the bound or is NaN.
    pub fn at_most(&mut self, name: &str, value: f64, bound: f64) {
        self.add_number(name, value);
        if value.is_nan() || value > bound {
            self.failures
                .push(format!("{name}={value} is over {bound}"));
        }
    }

    /// Adds a failure that is not a figure above its bound.
    pub fn add_failure(&mut self, what: impl Into<String>) {
        self.failures.push(what.into());
    }

    /// Adds the size at which a cost exceeds its budget.
    pub fn add_limit(&mut self, limit: CapacityLimit) {
        self.limits.push(limit);
    }

    /// Returns the capacity limits, the smallest fraction of its target first.
    #[must_use]
    pub fn limits(&self) -> Vec<&CapacityLimit> {
        let mut limits: Vec<_> = self.limits.iter().collect();
        limits.sort_by(|a, b| a.fraction_of_target().total_cmp(&b.fraction_of_target()));
        limits
    }

    /// Returns the failures, in the order in which they were added.
    #[must_use]
    pub fn failures(&self) -> &[String] {
        &self.failures
    }

    /// Formats all figures as the line `NAME: key=value ...`.
    #[must_use]
    pub fn line(&self, name: &str) -> String {
        let mut line = format!("{name}:");
        for (key, value) in &self.values {
            let _ = write!(line, " {key}={value}");
        }
        line
    }
}
