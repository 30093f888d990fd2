//! The messages between a gateway (the subscriber) and an observer.
//!
//! A connection carries one greeting each way and then messages in both directions. Greetings and
//! messages are framed as between replicas: the length in four bytes, then the postcard encoding.
//! Postcard encodes by position: the order of fields and variants is part of the protocol, their
//! names are not.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use violetgate_raft::NodeId;
use violetgate_replicated_state::Revision;

use crate::rejection::Rejection;

/// The first bytes of a subscriber's greeting.
pub const PROTOCOL_MAGIC: [u8; 4] = *b"VGSB";
/// The version of this protocol.
pub const PROTOCOL_VERSION: u16 = 1;
/// The maximum size of a message in bytes. The largest messages are a snapshot chunk and the one
/// revision of the largest transaction.
pub const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// Identifies a freshness poll; unique within one subscriber.
pub type PollId = u64;

/// The subscriber's greeting, the first message on a connection.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SubscriberHello {
    /// Has to be [`PROTOCOL_MAGIC`].
    pub magic: [u8; 4],
    /// The subscriber's [`PROTOCOL_VERSION`].
    pub version: u16,
    /// The cluster that the subscriber belongs to.
    pub cluster: String,
    /// The observer that the subscriber intends to reach.
    pub observer: NodeId,
    /// The subscriber's name, unique in the fleet; shown to operators.
    pub name: String,
    /// The revision of the subscriber's replica; 0 if it has none.
    pub revision: Revision,
}

/// The observer's answer to the greeting.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ObserverWelcome {
    /// Why the subscriber is rejected; `None` if it is accepted and messages may follow.
    pub rejected: Option<Rejection>,
    /// The observer's revision.
    pub revision: Revision,
    /// The number of subscribers connected to this observer now.
    pub subscribers: u32,
    /// The maximum number of subscribers that the observer serves.
    pub capacity: u32,
}

/// The state of one entry after a change.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EntryChange {
    /// The revision that made the change.
    pub revision: Revision,
    /// The key of the changed entry.
    pub key: String,
    /// The value from this revision on; `None` if the entry is deleted.
    pub value: Option<Vec<u8>>,
}

/// All changes of the revisions after `after` up to and including `to`, in order. A batch holds
/// complete revisions only. The batches of a watch leave no gap: the `after` of each batch is the
/// `to` of the batch before.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ChangeBatch {
    /// The revision that the subscriber's replica has to hold before the batch.
    pub after: Revision,
    /// The revision that the replica holds after the batch.
    pub to: Revision,
    /// The changes, shared in memory by all subscribers that receive the batch.
    pub changes: Arc<[EntryChange]>,
}

/// One entry of a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SnapshotEntry {
    /// The key of the entry.
    pub key: String,
    /// The revision that last changed the entry.
    pub revision: Revision,
    /// The value of the entry at the snapshot's revision.
    pub value: Vec<u8>,
}

/// The position at which a snapshot transfer resumes. The entries of one revision are the same at
/// every observer, so a transfer can resume at another observer.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SnapshotCursor {
    /// The revision of the chunks received so far.
    pub revision: Revision,
    /// The last key received.
    pub after_key: String,
}

/// A part of a snapshot, in bounded size.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// The revision of the snapshot, the same in all of its chunks.
    pub revision: Revision,
    /// The key after which this chunk begins; `None` for the first chunk.
    pub after: Option<String>,
    /// The entries in the order of their keys.
    pub entries: Vec<SnapshotEntry>,
    /// Whether this is the last chunk of the snapshot.
    pub last: bool,
}

/// The progress of a subscriber, sent with each poll.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SubscriberProgress {
    /// The latest revision that the subscriber has applied.
    pub applied: Revision,
    /// Whether the subscriber's state is fresh enough to route on. A subscriber that is not serving
    /// does not count as behind.
    pub serving: bool,
}

/// A message from a subscriber to an observer.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum SubscriberMessage {
    /// Asks the observer to send every change after a revision from now on.
    Watch {
        /// The revision of the subscriber's replica.
        after: Revision,
    },
    /// Requests the next snapshot chunk. Each chunk is requested by its own message.
    FetchSnapshot {
        /// Where to resume; `None` begins a snapshot of the observer's current revision.
        from: Option<SnapshotCursor>,
    },
    /// Asks the observer to confirm that its state is current. The age of the subscriber's replica
    /// is measured from the moment at which it sent the poll.
    Poll {
        /// The subscriber's id of this poll.
        poll: PollId,
        /// The subscriber's progress when it sent the poll.
        progress: SubscriberProgress,
    },
    /// Asks the observer to send no more changes on this connection, which becomes the standby.
    StopWatching,
}

/// A message from an observer to a subscriber.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ObserverMessage {
    /// The next changes of the watch.
    Changes(ChangeBatch),
    /// The changes after the requested revision are compacted away: the subscriber has to fetch a
    /// snapshot first.
    Compacted {
        /// The earliest revision that can be watched from.
        first: Revision,
    },
    /// The next chunk of a snapshot.
    SnapshotChunk(SnapshotChunk),
    /// The maximum number of snapshot transfers is under way: the request is queued.
    SnapshotQueued {
        /// The number of requests queued before this one.
        position: u32,
    },
    /// Confirms a poll: the observer's state at `revision` includes everything that was agreed on
    /// up to some moment after the poll arrived there.
    PollConfirmed {
        /// The subscriber's id of the poll; all polls that the subscriber sent before it are
        /// confirmed too.
        poll: PollId,
        /// The revision that the subscriber has to apply for the confirmation to count.
        revision: Revision,
    },
    /// The number of subscribers that this observer serves, so that subscribers can choose
    /// observers with less load. Sent periodically.
    LoadReport {
        /// The number of subscribers connected now.
        subscribers: u32,
        /// The maximum number of subscribers that the observer serves.
        capacity: u32,
    },
    /// The observer closes the connection for this reason.
    Rejected(Rejection),
}
