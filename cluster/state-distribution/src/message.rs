//! The messages between a front end (the subscriber) and an observer. A connection carries one greeting each way and
//! then messages in both directions, framed as between members (a length of four bytes, then postcard).

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use violetgate_raft::NodeId;
use violetgate_replicated_state::Revision;

/// What the greeting of a subscriber begins with.
pub const MAGIC: [u8; 4] = *b"VGSB";
/// The version of this protocol.
pub const VERSION: u16 = 1;
/// The longest message, in bytes: one snapshot piece or one revision of the largest transaction.
pub const LONGEST_MESSAGE: usize = 16 << 20;

/// What a subscriber says first on a connection.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SubscriberHello {
    /// [`MAGIC`].
    pub magic: [u8; 4],
    /// [`VERSION`].
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
    /// Why the subscriber is turned away; `None`: messages may follow.
    pub refused: Option<Refusal>,
    /// The observer's revision.
    pub revision: Revision,
    /// Subscribers connected to this observer now, and how many it takes at most.
    pub subscribers: u32,
    /// The most that it takes.
    pub capacity: u32,
}

/// Why an observer turns a subscriber away or ends its connection. [`Refusal::code`] is the reason code in logs.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize, thiserror::Error)]
pub enum Refusal {
    /// The greeting is not one of this protocol.
    #[error("this is no subscriber: check that the address is an observer's subscriber address")]
    NotASubscriber,
    /// The subscriber speaks another version.
    #[error("the subscriber speaks version {theirs}, this observer version {ours}: upgrade observers first, then front ends")]
    WrongVersion {
        /// The subscriber's version.
        theirs: u16,
        /// The observer's version.
        ours: u16,
    },
    /// The subscriber belongs to another cluster.
    #[error("the subscriber belongs to cluster {theirs:?}, this observer to {ours:?}: correct `cluster.name` or the observers' addresses")]
    WrongCluster {
        /// The subscriber's cluster.
        theirs: String,
        /// The observer's cluster.
        ours: String,
    },
    /// The subscriber looked for another observer.
    #[error(
        "the subscriber looks for observer {wanted}, this is {actual}: correct the observers' addresses"
    )]
    WrongObserver {
        /// Whom it looked for.
        wanted: NodeId,
        /// Who this is.
        actual: NodeId,
    },
    /// Every place is taken.
    #[error(
        "all {capacity} places for subscribers are taken: add an observer or raise `cluster.subscribers`"
    )]
    Full {
        /// The most that this observer takes.
        capacity: u32,
    },
    /// The subscriber holds a revision that the cluster has not reached (checked against a confirmed revision).
    #[error("the subscriber holds revision {theirs}, the cluster has reached {ours}: its state is of another history; restart it")]
    RevisionAhead {
        /// The subscriber's revision.
        theirs: Revision,
        /// The cluster's confirmed revision.
        ours: Revision,
    },
    /// The subscriber's messages break the protocol (a piece out of order, a message too long, questions without end).
    #[error(
        "the subscriber broke the protocol ({what}): it may be of another version; see its log"
    )]
    Protocol {
        /// What was wrong.
        what: String,
    },
    /// The subscriber took too little of what was sent.
    #[error(
        "the subscriber reads too slowly: {queued} bytes were waiting; check its processor time and network"
    )]
    TooSlow {
        /// Bytes that waited.
        queued: u64,
    },
}

impl Refusal {
    /// The reason code, as it stands in logs.
    #[must_use]
    pub fn code(&self) -> &'static str {
        match self {
            Refusal::NotASubscriber => "not_a_subscriber",
            Refusal::WrongVersion { .. } => "wrong_version",
            Refusal::WrongCluster { .. } => "wrong_cluster",
            Refusal::WrongObserver { .. } => "wrong_observer",
            Refusal::Full { .. } => "observer_full",
            Refusal::RevisionAhead { .. } => "revision_ahead",
            Refusal::Protocol { .. } => "protocol",
            Refusal::TooSlow { .. } => "too_slow",
        }
    }
}

/// One entry as a revision left it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EntryChange {
    /// The revision that made the change.
    pub revision: Revision,
    /// The key.
    pub key: String,
    /// What it holds from then on; `None`: it is gone.
    pub value: Option<Vec<u8>>,
}

/// Where a snapshot is to go on: pieces of one revision are the same at every observer.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SnapshotPlace {
    /// The revision of the pieces so far.
    pub revision: Revision,
    /// The last key received.
    pub after: String,
}

/// How far a subscriber has got; it travels with each question.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Progress {
    /// The revision that it has applied.
    pub applied: Revision,
    /// Its gate is open: it serves. One whose gate is shut counts as not serving, not as behind.
    pub serving: bool,
}

/// What a subscriber says.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum FromSubscriber {
    /// Send every change after this revision from now on (the replica's own revision).
    Watch {
        /// The revision held.
        after: Revision,
    },
    /// Send the next snapshot piece: from the beginning, or from a place. Each piece is asked for.
    Snapshot {
        /// Where to go on; `None`: a new snapshot of the observer's current revision.
        from: Option<SnapshotPlace>,
    },
    /// Confirm that the observer's state is current. The answer counts from the moment the subscriber asked.
    Confirm {
        /// The subscriber's number of the question.
        question: u64,
        /// How far it has got.
        progress: Progress,
    },
    /// Changes are no longer wanted on this connection (it becomes the standby).
    StopWatching,
}

/// What an observer says.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum FromObserver {
    /// All changes after `after` up to `to`, in order; never part of a revision. Several such messages follow one
    /// another without a gap: each `after` is the `to` before.
    Changes {
        /// The revision that the subscriber has to hold.
        after: Revision,
        /// The revision that it holds after them.
        to: Revision,
        /// The changes; one copy in memory for all subscribers that are sent them.
        changes: Arc<[EntryChange]>,
    },
    /// Changes after the wanted revision are compacted away: a snapshot has to come first.
    Compacted {
        /// The earliest revision that can be watched from.
        first: Revision,
    },
    /// A piece of a snapshot.
    SnapshotPiece {
        /// The revision of all pieces.
        revision: Revision,
        /// The key after which this piece begins; `None`: it is the first.
        after: Option<String>,
        /// Keys, the revisions that last changed them, and what they hold.
        entries: Vec<(String, Revision, Vec<u8>)>,
        /// No more pieces follow.
        last: bool,
    },
    /// Too many snapshots are under way: the request is kept, and answered in its turn.
    SnapshotQueued {
        /// Requests that come before it.
        place: u32,
    },
    /// The state was current at some moment after the question arrived here, at this revision or later.
    Confirmed {
        /// The subscriber's number of the question.
        question: u64,
        /// The revision that has to be applied for the question to count.
        revision: Revision,
    },
    /// How many subscribers this observer has; sent now and then so that load can be spread.
    Load {
        /// Subscribers connected.
        subscribers: u32,
        /// The most that it takes.
        capacity: u32,
    },
    /// The connection ends, for this reason.
    Refused(Refusal),
}
