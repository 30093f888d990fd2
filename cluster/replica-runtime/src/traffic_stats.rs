//! How much a side of a connection has written and read.

use std::cell::Cell;

/// Messages and bytes since the start, with their frames.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TrafficStats {
    /// Messages written.
    pub messages_sent: u64,
    /// Messages read.
    pub messages_received: u64,
    /// Bytes written.
    pub bytes_sent: u64,
    /// Bytes read.
    pub bytes_received: u64,
}

/// Counts them.
#[derive(Debug, Default)]
pub(crate) struct Counter(Cell<TrafficStats>);

impl Counter {
    pub(crate) fn sent(&self, bytes: usize) {
        let mut traffic = self.0.get();
        traffic.messages_sent += 1;
        traffic.bytes_sent += bytes as u64;
        self.0.set(traffic);
    }

    pub(crate) fn received(&self, bytes: usize) {
        let mut traffic = self.0.get();
        traffic.messages_received += 1;
        traffic.bytes_received += bytes as u64;
        self.0.set(traffic);
    }

    pub(crate) fn traffic(&self) -> TrafficStats {
        self.0.get()
    }
}
