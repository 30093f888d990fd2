//! What a node counts.

use std::cell::Cell;

/// Datagrams and their bytes since the start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct DatagramCounters {
    /// Bytes that the socket has taken.
    pub sent_bytes: u64,
    /// Bytes received.
    pub received_bytes: u64,
    /// Datagrams that were rejected.
    pub rejected: u64,
    /// Datagrams that the socket did not take, or that there was no socket for.
    pub unsent: u64,
}

/// The counters of a running node.
#[derive(Debug, Default)]
pub(crate) struct Counters(Cell<DatagramCounters>);

impl Counters {
    pub fn get(&self) -> DatagramCounters {
        self.0.get()
    }

    pub fn update(&self, change: impl FnOnce(&mut DatagramCounters)) {
        let mut counters = self.0.get();
        change(&mut counters);
        self.0.set(counters);
    }
}
