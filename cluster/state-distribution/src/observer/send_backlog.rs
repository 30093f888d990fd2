//! How many bytes are queued for one subscriber, and whether it reads any.

use violetgate_replicated_state::Micros;

/// The bytes queued for a subscriber, as far as is known: those that the caller reported last, and
/// those sent since.
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

    /// A message of this size was sent.
    pub fn add(&mut self, now: Micros, bytes: usize) {
        if self.bytes == 0 {
            self.last_read_at = now;
        }
        self.bytes = self.bytes.saturating_add(bytes);
    }

    /// The caller has reported how many bytes are queued now.
    pub fn report(&mut self, now: Micros, bytes: usize) {
        if bytes < self.bytes.max(self.reported) {
            self.last_read_at = now;
        }
        self.bytes = bytes;
        self.reported = bytes;
    }

    /// Whether more than `bound` bytes are queued and none were read for `timeout` microseconds.
    pub fn is_stalled(&self, now: Micros, bound: usize, timeout: Micros) -> bool {
        self.bytes > bound && now.saturating_sub(self.last_read_at) >= timeout
    }
}
