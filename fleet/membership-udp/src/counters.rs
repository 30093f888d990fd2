//! Traffic counters of a node.

use std::cell::Cell;

/// Traffic of a node since it started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct DatagramCounters {
    /// Bytes of the datagrams that the socket accepted for sending.
    pub sent_bytes: u64,
    /// Bytes of all received datagrams, including rejected ones.
    pub received_bytes: u64,
    /// Number of received datagrams that were rejected.
    pub rejected: u64,
    /// Number of datagrams that were not sent: the message was too long, the socket did not accept
    /// the datagram, or the socket was not bound yet.
    pub unsent: u64,
}

/// The counters of a running node, which its tasks update through a shared reference.
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
