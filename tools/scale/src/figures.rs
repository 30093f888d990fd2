//! The figures of a run, and the bounds they are held to.

use std::collections::BTreeMap;
use std::fmt::Write as _;

/// How much is measured.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// The form for CI: small sizes, fixed seeds, held to counts and bytes and not to time.
    pub short: bool,
    /// The seed of random numbers.
    pub seed: u64,
}

impl Options {
    /// The first value in the short form, else the second.
    #[must_use]
    pub fn select<T>(&self, short: T, long: T) -> T {
        if self.short {
            short
        } else {
            long
        }
    }
}

/// The size at which a cost of a role passes its budget.
#[derive(Debug, Clone)]
pub struct CapacityLimit {
    /// The role and the cost that passes its budget.
    pub name: String,
    /// The size at which it passes it; `None`: at none.
    pub size: Option<f64>,
    /// What the size counts.
    pub size_of: &'static str,
    /// The size that has to be carried.
    pub target: f64,
}

impl CapacityLimit {
    /// The size as a fraction of what has to be carried; infinite where no budget is passed.
    #[must_use]
    pub fn fraction_of_target(&self) -> f64 {
        self.size.map_or(f64::INFINITY, |size| size / self.target)
    }
}

/// Figures by name, in the order of their names, and what missed its bound.
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

    /// Adds a figure that has to stay at or under a bound.
    pub fn at_most(&mut self, name: &str, value: f64, bound: f64) {
        self.add_number(name, value);
        if value.is_nan() || value > bound {
            self.failures
                .push(format!("{name}={value} is over {bound}"));
        }
    }

    /// Adds a failure that is no number.
    pub fn add_failure(&mut self, what: impl Into<String>) {
        self.failures.push(what.into());
    }

    /// Adds the size at which a role ends.
    pub fn add_limit(&mut self, limit: CapacityLimit) {
        self.limits.push(limit);
    }

    /// Where roles end, the smallest fraction of what has to be carried first.
    #[must_use]
    pub fn limits(&self) -> Vec<&CapacityLimit> {
        let mut limits: Vec<_> = self.limits.iter().collect();
        limits.sort_by(|a, b| a.fraction_of_target().total_cmp(&b.fraction_of_target()));
        limits
    }

    /// What missed its bound.
    #[must_use]
    pub fn failures(&self) -> &[String] {
        &self.failures
    }

    /// The line `NAME: key=value ...`.
    #[must_use]
    pub fn line(&self, name: &str) -> String {
        let mut line = format!("{name}:");
        for (key, value) in &self.values {
            let _ = write!(line, " {key}={value}");
        }
        line
    }
}
