//! The messages between members. They travel by postcard: the order of variants and fields is the
//! wire format.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::member_update::{MemberName, MemberState, MemberUpdate, MAX_NAME_BYTES};
use crate::view_digest::{BucketSet, BUCKET_COUNT};

/// The most updates in one message. With the longest names it stays under 4 KiB, with usual ones
/// under 1,400 bytes.
pub const MAX_UPDATES_PER_MESSAGE: usize = 16;

/// What a message is for.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum MessageBody {
    /// A probe, to be answered with [`MessageBody::Ack`].
    Ping {
        /// The prober's number for it.
        sequence: u64,
    },
    /// The answer to a probe.
    Ack {
        /// The probe's number.
        sequence: u64,
    },
    /// A request to probe another member, as its observer has no answer.
    IndirectPing {
        /// The observer's number for its probe.
        sequence: u64,
        /// The member to probe.
        target: MemberName,
        /// Where the observer knows it to be.
        addr: SocketAddr,
    },
    /// The target of an indirect probe has answered.
    IndirectAck {
        /// The number of the observer's probe.
        sequence: u64,
        /// The member that has answered.
        target: MemberName,
    },
    /// Nothing but updates.
    Gossip,
    /// The digest of the sender's view; a receiver whose view differs answers with
    /// [`MessageBody::BucketSums`].
    ///
    /// A sender that reads bucket sums repeats its own update as the second one, which has no
    /// effect on a build that doesn't read them.
    ViewDigest {
        /// The sum over all buckets.
        digest: u64,
    },
    /// The digests of the sender's buckets. This message and those after it go only to members that
    /// read them.
    BucketSums(BucketSums),
    /// A request for the updates in some buckets.
    BucketRequest(BucketRequest),
    /// Updates that were requested: members that the receiver doesn't know are not passed on as
    /// gossip.
    BucketTransfer,
}

/// A view's digests by bucket.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct BucketSums {
    /// How many other members the sender knows.
    pub known_members: u32,
    /// A sum for each of the [`BUCKET_COUNT`] buckets.
    pub sums: Vec<u32>,
}

/// A request for the updates in some buckets.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct BucketRequest {
    /// The buckets.
    pub buckets: BucketSet,
    /// Whether the receiver should request the sender's updates in these buckets in turn.
    pub mutual: bool,
}

/// A message between members.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Message {
    /// What it is for.
    pub body: MessageBody,
    /// The sender's update of itself, then updates of others.
    pub updates: Vec<MemberUpdate>,
}

/// Why a message is rejected. The texts say what an operator can check.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum InvalidMessage {
    /// It has no update of its sender, or more than [`MAX_UPDATES_PER_MESSAGE`] updates.
    #[error("a message with {0} updates: check that all gateways run the same version")]
    UpdateCount(usize),
    /// One of its updates is not usable.
    #[error("an invalid update of {0:?}: check the names and addresses in its `fleet` block")]
    InvalidUpdate(String),
    /// Its sender says of itself neither that it is alive nor that it has left.
    #[error(
        "a message of {0:?}, which does not say that it is alive: check that all run the same version"
    )]
    SenderNotAlive(String),
    /// Its sender divides views into another number of buckets.
    #[error("a message with {0} digest buckets: check that all gateways run the same version")]
    BucketCount(usize),
}

impl Message {
    /// Validates the message and returns its sender's update of itself.
    ///
    /// # Errors
    ///
    /// [`InvalidMessage`] if the message is to be rejected.
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

    /// Whether the sender of a [`MessageBody::ViewDigest`] reads [`MessageBody::BucketSums`].
    #[must_use]
    pub fn sender_reads_bucket_sums(&self) -> bool {
        self.updates.len() > 1 && self.updates.first() == self.updates.get(1)
    }
}
