//! Counts of how requests ended, over all clients.

use std::collections::BTreeMap;

/// Requests of one class or tenant.
#[derive(Debug, Clone, Copy, Default)]
pub struct ServedCount {
    pub sent: u64,
    pub served: u64,
}

impl ServedCount {
    fn served_fraction(self) -> f64 {
        self.served as f64 / self.sent as f64
    }
}

/// How requests ended.
#[derive(Debug, Default)]
pub struct Tally {
    /// By class and by tenant.
    by_name: BTreeMap<&'static str, ServedCount>,
    /// Requests that were accepted, and ended with no answer.
    pub unanswered: u64,
    /// Requests that crossed the close of an idle session, and were sent again.
    pub crossed_close: u64,
    /// Answers that hold another request's rows, or an effect twice.
    pub second_answers: u64,
}

impl Tally {
    /// Counts a request under its class or its tenant.
    pub fn count(&mut self, name: &'static str, served: bool) {
        let count = self.by_name.entry(name).or_default();
        count.sent += 1;
        count.served += u64::from(served);
    }

    /// The least fraction of served requests over several classes or tenants.
    pub fn least_served_fraction(&self, names: &[&'static str]) -> f64 {
        let fraction = |name| {
            let count = self.by_name.get(name).copied();
            count.map_or(0.0, ServedCount::served_fraction)
        };
        names.iter().map(fraction).fold(1.0, f64::min)
    }

    /// Requests sent under several classes.
    pub fn sent(&self, names: &[&'static str]) -> u64 {
        let counts = names.iter().filter_map(|name| self.by_name.get(name));
        counts.map(|count| count.sent).sum()
    }
}
