//! The metrics: what they are, and how they are written.
//!
//! [`catalog`] declares each metric once, and [`text`] writes it in the text format of Prometheus.
//! The values are counted where they arise; who renders them names the declaration.

pub mod catalog;
pub mod text;

/// The declaration of a metric.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Metric {
    /// Its full name, as scraped.
    pub name: &'static str,
    /// Whether it may fall.
    pub kind: MetricKind,
    /// What a value of 1 stands for. Not written out.
    pub unit: Unit,
    /// The text of its HELP line.
    pub help: &'static str,
}

/// The type of a metric.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MetricKind {
    /// Counts from the start of the process, and never falls.
    Counter,
    /// A value at the moment of the scrape.
    Gauge,
}

/// What a metric's value is a number of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unit {
    /// Requests of clients.
    Requests,
    /// Attempts of requests at engines.
    Attempts,
    /// Requests and attempts together.
    RequestsAndAttempts,
    /// Engines.
    Engines,
    /// Results of queries.
    Results,
    /// Pages of results.
    Pages,
    /// Page tokens.
    Tokens,
    /// Idempotency keys.
    Keys,
    /// Bytes.
    Bytes,
    /// Milliseconds.
    Milliseconds,
    /// Seconds.
    Seconds,
    /// Messages between members of the cluster.
    Messages,
    /// Datagrams between members of the fleet.
    Datagrams,
    /// Members of the cluster.
    Members,
    /// Gateways.
    Gateways,
    /// The number of a term of the cluster.
    Term,
    /// The index of an entry in the cluster's log.
    LogIndex,
    /// A revision of the cluster's state.
    Revision,
    /// The number of a member of the cluster; 0 stands for none.
    MemberId,
    /// 1 is true, 0 is false.
    Boolean,
}

#[cfg(test)]
mod tests;
