//! Counts the messages and bytes that one side exchanges on its connections.

use std::cell::Cell;

/// The numbers of messages and bytes since the start. Bytes include frame headers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TrafficStats {
    /// The number of messages sent.
    pub messages_sent: u64,
    /// The number of messages received.
    pub messages_received: u64,
    /// The number of bytes sent.
    pub bytes_sent: u64,
    /// The number of bytes received.
    pub bytes_received: u64,
}

/// The counters from which a [`TrafficStats`] is read.
#[derive(Debug, Default)]
pub(crate) struct TrafficCounter(Cell<TrafficStats>);

impl TrafficCounter {
    /// Counts one sent message, whose frame has `bytes` bytes.
    pub(crate) fn count_sent(&self, bytes: usize) {
        let mut stats = self.0.get();
        stats.messages_sent += 1;
        stats.bytes_sent += bytes as u64;
        self.0.set(stats);
    }

    /// Counts one received message, whose frame has `bytes` bytes.
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
