//! Messages between members. They are encoded with postcard, so the order of variants and fields is
//! part of the wire format.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::member_update::{MemberName, MemberState, MemberUpdate, MAX_NAME_BYTES};
use crate::view_digest::{BucketSet, BUCKET_COUNT};

/// Maximum number of updates in one message. A message stays below 4 KiB with the longest names and
/// below 1,400 bytes with names of usual length.
pub const MAX_UPDATES_PER_MESSAGE: usize = 16;

/// Kind of a message and the fields that are specific to it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum MessageBody {
    /// A probe, to be answered with [`MessageBody::Ack`].
    Ping {
        /// Sequence number that the prober gave to the probe.
        sequence: u64,
    },
    /// The answer to a probe.
    Ack {
        /// Sequence number of the probe.
        sequence: u64,
    },
    /// A request to probe another member because its observer has received no answer.
    IndirectPing {
        /// Sequence number that the observer gave to its own probe.
        sequence: u64,
        /// The member to probe.
        target: MemberName,
        /// Address of the target in the observer's view.
        addr: SocketAddr,
    },
    /// The report to an observer that the target of an indirect probe has answered.
    IndirectAck {
        /// Sequence number that the observer gave to its own probe.
        sequence: u64,
        /// The member that has answered.
        target: MemberName,
    },
    /// A message that carries only updates.
    Gossip,
    /// The digest of the sender's view. A receiver whose view differs answers with
    /// [`MessageBody::BucketSums`].
    ///
    /// A sender that can decode bucket sums repeats its own update as the second one. Builds that
    /// can't decode bucket sums ignore the repetition.
    ViewDigest {
        /// Wrapping sum of the digests of all buckets.
        digest: u64,
    },
    /// The truncated digests of the sender's buckets. This message and the variants below are sent
    /// only to members whose build reads them.
    BucketSums(BucketSums),
    /// A request for the updates in some buckets.
    BucketRequest(BucketRequest),
    /// Updates that the receiver has requested. The receiver doesn't gossip those about members
    /// that are not in its view yet.
    BucketTransfer,
}

/// Digests of a view by bucket, truncated to 32 bits.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct BucketSums {
    /// Number of other members in the sender's view.
    pub known_members: u32,
    /// Truncated digest of each of the [`BUCKET_COUNT`] buckets.
    pub sums: Vec<u32>,
}

/// A request for the updates in some buckets.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct BucketRequest {
    /// Buckets whose updates are requested.
    pub buckets: BucketSet,
    /// Whether the receiver should also request the sender's updates in these buckets.
    pub mutual: bool,
}

/// A message between members.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Message {
    /// Kind of the message and the fields that are specific to it.
    pub body: MessageBody,
    /// The sender's update about itself, followed by further updates, mostly about other members.
    pub updates: Vec<MemberUpdate>,
}

/// Why a message is rejected. The error texts tell operators what to check.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum InvalidMessage {
    /// The message has no updates or more than [`MAX_UPDATES_PER_MESSAGE`].
    #[error(
        "a message with {0} updates instead of 1 to {MAX_UPDATES_PER_MESSAGE}: check that all \
         gateways run the same version"
    )]
    UpdateCount(usize),
    /// An update about the named member is invalid.
    #[error("an invalid update about {0:?}: check the names and addresses in its `fleet` block")]
    InvalidUpdate(String),
    /// The named sender reports its own state as neither `Alive` nor `Left`.
    #[error(
        "a message of {0:?}, which reports itself as neither alive nor left: check that all \
         gateways run the same version"
    )]
    SenderNotAlive(String),
    /// The sender divides views into the given number of buckets instead of [`BUCKET_COUNT`].
    #[error(
        "a message with {0} digest buckets instead of {BUCKET_COUNT}: check that all gateways \
         run the same version"
    )]
    BucketCount(usize),
}

impl Message {
    /// Validates the message and returns the sender's update about itself.
    ///
    /// # Errors
    ///
    /// Returns an [`InvalidMessage`] if the message must be rejected.
    pub fn validated_sender(&self) -> Result<&MemberUpdate, InvalidMessage> {
        let sender = self
            .updates
            .first()
            .filter(|_| self.updates.len() <= MAX_UPDATES_PER_MESSAGE)
            .ok_or(InvalidMessage::UpdateCount(self.updates.len()))?;
        if let Some(invalid) = self.updates.iter().find(|update| !update.is_valid()) {
            let name = invalid.name.chars().take(MAX_NAME_BYTES).collect();
            return Err(InvalidMessage::InvalidUpdate(name));
        }
        if !matches!(sender.state, MemberState::Alive | MemberState::Left) {
            return Err(InvalidMessage::SenderNotAlive(sender.name.to_string()));
        }
        let bucket_count = match &self.body {
            MessageBody::BucketSums(view) => view.sums.len(),
            MessageBody::BucketRequest(request) => request.buckets.bucket_count(),
            _ => BUCKET_COUNT,
        };
        if bucket_count != BUCKET_COUNT {
            return Err(InvalidMessage::BucketCount(bucket_count));
        }
        Ok(sender)
    }

    /// Returns whether the sender of a [`MessageBody::ViewDigest`] can decode
    /// [`MessageBody::BucketSums`], which it indicates by repeating its own update.
    #[must_use]
    pub fn sender_reads_bucket_sums(&self) -> bool {
        self.updates.len() > 1 && self.updates.first() == self.updates.get(1)
    }
}
