//! What a node requests from its caller.

use crate::{Entry, HardState, Index, Message, NodeId, SnapshotChunk};

/// One thing to be done by the caller. The actions of
/// [`RaftNode::take_actions`](crate::RaftNode::take_actions) are to be carried out in their order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Make this durable, then call [`RaftNode::persisted`](crate::RaftNode::persisted).
    Persist(StorageWrite),
    /// Send a message. It may be dropped, delayed, duplicated or reordered.
    Send {
        /// The receiver.
        to: NodeId,
        /// The message.
        message: Message,
    },
    /// Apply these entries to the state machine; they are committed, and durable here.
    Apply(Vec<Entry>),
    /// A read may be served from the state machine once all entries up to `index` are applied.
    ReadReady {
        /// The id that was given to [`RaftNode::read_index`](crate::RaftNode::read_index).
        read_id: u64,
        /// The read index.
        index: Index,
    },
    /// A read can't be served: no leader is known, or the leader was deposed.
    ReadFailed {
        /// The id that was given to [`RaftNode::read_index`](crate::RaftNode::read_index).
        read_id: u64,
    },
    /// Read a part of the latest snapshot, then call
    /// [`RaftNode::snapshot_chunk_loaded`](crate::RaftNode::snapshot_chunk_loaded).
    LoadSnapshotChunk {
        /// The peer that it is for.
        to: NodeId,
        /// The first byte wanted.
        offset: u64,
    },
    /// Store a part of a snapshot aside, then call
    /// [`RaftNode::snapshot_chunk_stored`](crate::RaftNode::snapshot_chunk_stored). After the last
    /// chunk the snapshot replaces the state machine's state and the log, durably, before
    /// [`RaftNode::snapshot_installed`](crate::RaftNode::snapshot_installed) is called.
    StoreSnapshotChunk {
        /// The leader that sent it.
        from: NodeId,
        /// The chunk.
        chunk: SnapshotChunk,
    },
}

/// One write to durable storage. Writes are carried out in order, each atomically.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct StorageWrite {
    /// Its number, counted from 1, for [`RaftNode::persisted`](crate::RaftNode::persisted).
    pub sequence: u64,
    /// The term and the vote, if they changed.
    pub hard_state: Option<HardState>,
    /// Entries from this index on are removed first.
    pub truncate_from: Option<Index>,
    /// Entries to be appended.
    pub append: Vec<Entry>,
}
