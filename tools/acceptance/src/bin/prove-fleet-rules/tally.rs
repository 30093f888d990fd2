//! Counts the outcomes of requests over all clients.

use std::collections::BTreeMap;

/// The requests of one class or tenant.
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

/// The outcomes of requests.
#[derive(Debug, Default)]
pub struct Tally {
    /// The requests of each class and of each tenant, by its name.
    by_name: BTreeMap<&'static str, ServedCount>,
    /// Requests that were sent on a session and got no answer.
    pub unanswered: u64,
    /// Requests that were probably sent while the gateway closed the idle session, and were sent
    /// again.
    pub raced_close: u64,
    /// Answers that hold rows of another request.
    pub second_answers: u64,
}

impl Tally {
    /// Counts a request under the name of its class or tenant.
    pub fn count(&mut self, name: &'static str, served: bool) {
        let count = self.by_name.entry(name).or_default();
        count.sent += 1;
        count.served += u64::from(served);
    }

    /// Returns the smallest fraction of served requests over the named classes or tenants.
    pub fn least_served_fraction(&self, names: &[&'static str]) -> f64 {
        let fraction = |name| {
            let count = self.by_name.get(name).copied();
            count.map_or(0.0, ServedCount::served_fraction)
        };
        names.iter().map(fraction).fold(1.0, f64::min)
    }

    /// Returns the number of requests sent under the named classes or tenants.
    pub fn sent(&self, names: &[&'static str]) -> u64 {
        let counts = names.iter().filter_map(|name| self.by_name.get(name));
        counts.map(|count| count.sent).sum()
    }
}
