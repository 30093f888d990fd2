//! The declarations of the metrics, and the format in which they are written.
//!
//! [`catalog`] declares each metric once, and [`text`] writes it in the text format of Prometheus.
//! The modules that the metrics are about count the values, and pass them to [`text`] together
//! with the declaration.

pub mod catalog;
pub mod text;

/// The declaration of a metric.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Metric {
    /// The full name, as it is scraped.
    pub name: &'static str,
    /// The type, which says whether the value may decrease.
    pub kind: MetricKind,
    /// What the value counts or measures. It is not written out.
    pub unit: Unit,
    /// The text of the HELP line.
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

/// What a metric's value counts or measures.
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
    /// Connections of clients and other callers.
    Connections,
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
