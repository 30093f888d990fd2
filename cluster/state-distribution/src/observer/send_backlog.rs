//! Tracks the bytes queued for one subscriber, and whether the subscriber reads them.

use violetgate_replicated_state::Micros;

/// An estimate of the bytes queued for a subscriber: the bytes in the caller's last report, plus
/// the bytes sent since.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct SendBacklog {
    bytes: usize,
    reported: usize,
    /// When the subscriber last read anything, or had nothing to read.
    last_read_at: Micros,
}

impl SendBacklog {
    pub fn new(now: Micros) -> Self {
        SendBacklog {
            bytes: 0,
            reported: 0,
            last_read_at: now,
        }
    }

    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Adds a message that was sent, of `bytes` bytes.
    pub fn add(&mut self, now: Micros, bytes: usize) {
        if self.bytes == 0 {
            self.last_read_at = now;
        }
        self.bytes = self.bytes.saturating_add(bytes);
    }

    /// Replaces the estimate with the number of queued bytes that the caller reports.
    pub fn report(&mut self, now: Micros, bytes: usize) {
        if bytes < self.bytes.max(self.reported) {
            self.last_read_at = now;
        }
        self.bytes = bytes;
        self.reported = bytes;
    }

    /// Returns whether more than `bound` bytes are queued and the subscriber has read none of them
    /// for `timeout` microseconds.
    pub fn is_stalled(&self, now: Micros, bound: usize, timeout: Micros) -> bool {
        self.bytes > bound && now.saturating_sub(self.last_read_at) >= timeout
    }
}
