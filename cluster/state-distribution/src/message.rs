//! The messages between a gateway (the subscriber) and an observer.
//!
//! A connection carries one greeting each way and then messages in both directions. Each is framed
//! as between replicas: its length in four bytes, then its postcard encoding. Postcard encodes by
//! position: the order of fields and variants is part of the protocol, their names are not.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use violetgate_raft::NodeId;
use violetgate_replicated_state::Revision;

use crate::rejection::Rejection;

/// The first bytes of a subscriber's greeting.
pub const PROTOCOL_MAGIC: [u8; 4] = *b"VGSB";
/// The version of this protocol.
pub const PROTOCOL_VERSION: u16 = 1;
/// The longest message: one snapshot chunk, or one revision of the largest transaction.
pub const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// Identifies a freshness poll among those of one subscriber.
pub type PollId = u64;

/// The subscriber's greeting, the first message on a connection.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SubscriberHello {
    /// [`PROTOCOL_MAGIC`].
    pub magic: [u8; 4],
    /// [`PROTOCOL_VERSION`].
    pub version: u16,
    /// The cluster that the subscriber belongs to.
    pub cluster: String,
    /// The observer that it means to reach.
    pub observer: NodeId,
    /// The subscriber's name, unique in the fleet; shown to operators.
    pub name: String,
    /// The revision of the replica that the subscriber holds; 0: none.
    pub revision: Revision,
}

/// The observer's answer to the greeting.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ObserverWelcome {
    /// Why the subscriber is rejected; `None`: it is accepted, and messages may follow.
    pub rejected: Option<Rejection>,
    /// The observer's revision.
    pub revision: Revision,
    /// Subscribers connected to this observer now.
    pub subscribers: u32,
    /// The most subscribers that it serves.
    pub capacity: u32,
}

/// One entry after a change.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EntryChange {
    /// The revision that made the change.
    pub revision: Revision,
    /// The key.
    pub key: String,
    /// The value from this revision on; `None`: the entry is deleted.
    pub value: Option<Vec<u8>>,
}

/// All changes after `after` up to `to`, in order, complete revisions only. There is no gap
/// between the batches of a watch: each `after` is the `to` of the one before.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ChangeBatch {
    /// The revision that the subscriber has to hold.
    pub after: Revision,
    /// The revision that it holds after applying the changes.
    pub to: Revision,
    /// The changes, shared in memory by all subscribers that are sent them.
    pub changes: Arc<[EntryChange]>,
}

/// One entry of a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SnapshotEntry {
    /// The key.
    pub key: String,
    /// The revision that last changed the entry.
    pub revision: Revision,
    /// The value.
    pub value: Vec<u8>,
}

/// Where a snapshot transfer resumes. Chunks of one revision are the same at every observer.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SnapshotCursor {
    /// The revision of the chunks received so far.
    pub revision: Revision,
    /// The last key received.
    pub after_key: String,
}

/// A part of a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// The revision of all chunks.
    pub revision: Revision,
    /// The key after which this chunk begins; `None`: it is the first chunk.
    pub after: Option<String>,
    /// The entries in the order of their keys.
    pub entries: Vec<SnapshotEntry>,
    /// This is the last chunk.
    pub last: bool,
}

/// How far a subscriber has got; sent with each poll.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SubscriberProgress {
    /// The revision that it has applied.
    pub applied: Revision,
    /// Its state is fresh enough to route on. A subscriber that is not serving does not count as
    /// behind.
    pub serving: bool,
}

/// A message from a subscriber to an observer.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum SubscriberMessage {
    /// Send every change after a revision from now on.
    Watch {
        /// The revision of the subscriber's replica.
        after: Revision,
    },
    /// Send the next snapshot chunk. Each chunk is requested by a message of its own.
    FetchSnapshot {
        /// Where to resume; `None`: begin a snapshot of the observer's current revision.
        from: Option<SnapshotCursor>,
    },
    /// Confirm that the observer's state is current. The answer counts from the moment at which
    /// this was sent.
    Poll {
        /// The subscriber's id of this poll.
        poll: PollId,
        /// How far the subscriber has got.
        progress: SubscriberProgress,
    },
    /// Send no more changes on this connection; it becomes the standby.
    StopWatching,
}

/// A message from an observer to a subscriber.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ObserverMessage {
    /// The next changes.
    Changes(ChangeBatch),
    /// Changes after the wanted revision are compacted away: a snapshot is needed first.
    Compacted {
        /// The earliest revision that can be watched from.
        first: Revision,
    },
    /// The next chunk of a snapshot.
    SnapshotChunk(SnapshotChunk),
    /// Too many snapshot transfers are under way: the request is queued.
    SnapshotQueued {
        /// Requests queued before this one.
        position: u32,
    },
    /// The state was current at some moment after the poll arrived here, at this revision or
    /// later.
    PollConfirmed {
        /// The subscriber's id of the poll; earlier polls are confirmed with it.
        poll: PollId,
        /// The revision that the subscriber has to apply for the confirmation to count.
        revision: Revision,
    },
    /// How many subscribers this observer serves, so that subscribers can spread their load. Sent
    /// periodically.
    LoadReport {
        /// Subscribers connected.
        subscribers: u32,
        /// The most subscribers that it serves.
        capacity: u32,
    },
    /// The connection ends, for this reason.
    Rejected(Rejection),
}
