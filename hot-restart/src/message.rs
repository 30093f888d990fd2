//! The messages between the two processes. They are encoded with postcard, so the order of variants
//! and fields is part of the wire format and must not change.

use serde::{Deserialize, Serialize};

/// The inclusive range of protocol versions that a program supports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VersionRange {
    /// The oldest supported version.
    pub min: u16,
    /// The newest supported version.
    pub max: u16,
}

/// The protocol versions that this program supports.
pub const SUPPORTED_VERSIONS: VersionRange = VersionRange { min: 1, max: 1 };

/// Maximum size of the content of one state part, in bytes.
pub const MAX_PART_BYTES: usize = 64 << 10;

impl VersionRange {
    /// Returns whether the range contains `version`.
    #[must_use]
    pub fn contains(self, version: u16) -> bool {
        (self.min..=self.max).contains(&version)
    }

    /// Returns the newest version that both ranges contain, or `None` if there is none.
    #[must_use]
    pub fn newest_common(self, other: VersionRange) -> Option<u16> {
        let newest = self.max.min(other.max);
        (newest >= self.min.max(other.min)).then_some(newest)
    }
}

/// The reason why the predecessor refuses a handover.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Refusal {
    /// The two processes support no common protocol version.
    NoCommonVersion,
    /// A handover to another process is under way or complete.
    HandoverInProgress,
    /// The predecessor is shutting down.
    ShuttingDown,
}

/// A message between predecessor and successor.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// Sent by the successor: requests a handover.
    Hello {
        /// The oldest version that the successor supports.
        min_version: u16,
        /// The newest version that the successor supports.
        max_version: u16,
    },
    /// Sent by the predecessor: refuses the handover.
    Refuse(Refusal),
    /// Sent by the predecessor: passes the listening sockets and announces the state parts.
    Offer {
        /// The newest protocol version that both processes support.
        version: u16,
        /// Number of state parts that follow.
        part_count: u32,
    },
    /// Sent by the predecessor: the next part of its state.
    StatePart {
        /// The part's number, from 0.
        number: u32,
        /// The encoded content of the part, at most [`MAX_PART_BYTES`].
        bytes: Vec<u8>,
    },
    /// Sent by the successor: the sockets and all parts before `next` have arrived.
    PartsReceived {
        /// The number of the first part that has not arrived.
        next: u32,
    },
    /// Sent by the successor: it has the sockets and all parts and can serve clients.
    Ready,
    /// Sent by the predecessor: from now on the successor owns clients and keys, that is, it
    /// accepts clients and requests with idempotency keys. Contains the encoded changes to the
    /// state since the parts were created.
    TransferOwnership(Vec<u8>),
    /// Sent by the predecessor: a request that was in flight at the transfer of ownership has
    /// completed. Contains the encoded change to the state.
    InFlightCompleted(Vec<u8>),
    /// Sent by the predecessor: it has no requests in flight any more.
    Drained,
}
