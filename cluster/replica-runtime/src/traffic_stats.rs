//! How much was exchanged on the connections of one side.

use std::cell::Cell;

/// Messages and bytes since the start, frame headers included.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TrafficStats {
    /// Messages sent.
    pub messages_sent: u64,
    /// Messages received.
    pub messages_received: u64,
    /// Bytes sent.
    pub bytes_sent: u64,
    /// Bytes received.
    pub bytes_received: u64,
}

/// Counts what is exchanged.
#[derive(Debug, Default)]
pub(crate) struct TrafficCounter(Cell<TrafficStats>);

impl TrafficCounter {
    /// One message was sent.
    pub(crate) fn count_sent(&self, bytes: usize) {
        let mut stats = self.0.get();
        stats.messages_sent += 1;
        stats.bytes_sent += bytes as u64;
        self.0.set(stats);
    }

    /// One message was received.
    pub(crate) fn count_received(&self, bytes: usize) {
        let mut stats = self.0.get();
        stats.messages_received += 1;
        stats.bytes_received += bytes as u64;
        self.0.set(stats);
    }

    pub(crate) fn stats(&self) -> TrafficStats {
        self.0.get()
    }
}
