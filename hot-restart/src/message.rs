//! The messages between the two processes. They are encoded by postcard, so the order of variants
//! and fields is the wire format and must not change.

use serde::{Deserialize, Serialize};

/// Protocol versions from the oldest to the newest that a program supports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VersionRange {
    /// The oldest supported version.
    pub min: u16,
    /// The newest supported version.
    pub max: u16,
}

/// The protocol versions that this program supports.
pub const SUPPORTED_VERSIONS: VersionRange = VersionRange { min: 1, max: 1 };

/// The largest content of one state part, in bytes.
pub const MAX_PART_BYTES: usize = 64 << 10;

impl VersionRange {
    /// Whether a version is supported.
    #[must_use]
    pub fn contains(self, version: u16) -> bool {
        (self.min..=self.max).contains(&version)
    }

    /// The newest version that both ranges support.
    #[must_use]
    pub fn newest_common(self, other: VersionRange) -> Option<u16> {
        let newest = self.max.min(other.max);
        (newest >= self.min.max(other.min)).then_some(newest)
    }
}

/// Why the predecessor refuses a handover.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Refusal {
    /// No protocol version is supported by both processes.
    NoCommonVersion,
    /// A handover to another process is under way or complete.
    HandoverInProgress,
    /// The predecessor is shutting down.
    ShuttingDown,
}

/// A message between predecessor and successor.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// Successor: requests a handover.
    Hello {
        /// The oldest version that the successor supports.
        min_version: u16,
        /// The newest version that the successor supports.
        max_version: u16,
    },
    /// Predecessor: no handover takes place.
    Refuse(Refusal),
    /// Predecessor: the listening sockets come with this message, state parts after it.
    Offer {
        /// The version that both support.
        version: u16,
        /// How many state parts follow.
        part_count: u32,
    },
    /// Predecessor: the next part of its state.
    StatePart {
        /// The part's number, from 0.
        number: u32,
        /// Its content, at most [`MAX_PART_BYTES`].
        bytes: Vec<u8>,
    },
    /// Successor: the sockets and all parts before `next` have arrived.
    PartsReceived {
        /// The number of the first part that has not arrived.
        next: u32,
    },
    /// Successor: it can serve.
    Ready,
    /// Predecessor: the successor owns clients and keys from here on; what has changed since the
    /// parts were made.
    TransferOwnership(Vec<u8>),
    /// Predecessor: a request that was in flight at the transfer has completed.
    InFlightCompleted(Vec<u8>),
    /// Predecessor: no request is in flight any more.
    Drained,
}
