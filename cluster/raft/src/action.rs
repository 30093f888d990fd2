//! The actions that a node requests from its caller.

use crate::{Entry, HardState, Index, Message, NodeId, SnapshotChunk};

/// A side effect that the caller performs for the node. The caller performs the actions that
/// [`RaftNode::take_actions`](crate::RaftNode::take_actions) returns in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Make this write durable, then call [`RaftNode::persisted`](crate::RaftNode::persisted).
    Persist(StorageWrite),
    /// Send a message to another node. Raft tolerates that messages are dropped, delayed,
    /// duplicated or reordered.
    Send {
        /// The node that receives the message.
        to: NodeId,
        /// The message to send.
        message: Message,
    },
    /// Apply these entries to the state machine. They are committed, and durable on this node.
    Apply(Vec<Entry>),
    /// Serve a read from the state machine once all entries up to `index` are applied.
    ReadReady {
        /// The id that was given to [`RaftNode::read_index`](crate::RaftNode::read_index).
        read_id: u64,
        /// The index of the last entry that must be applied before the read.
        index: Index,
    },
    /// Fail a read: no leader is known, or the leader has stepped down.
    ReadFailed {
        /// The id that was given to [`RaftNode::read_index`](crate::RaftNode::read_index).
        read_id: u64,
    },
    /// Read a chunk of the latest snapshot, then call
    /// [`RaftNode::snapshot_chunk_loaded`](crate::RaftNode::snapshot_chunk_loaded).
    LoadSnapshotChunk {
        /// The peer that receives the chunk.
        to: NodeId,
        /// The offset of the chunk's first byte in the snapshot.
        offset: u64,
    },
    /// Store a chunk of a snapshot that is not complete yet, then call
    /// [`RaftNode::snapshot_chunk_stored`](crate::RaftNode::snapshot_chunk_stored). After the last
    /// chunk, durably replace the state machine's state and the log by the snapshot, then call
    /// [`RaftNode::snapshot_installed`](crate::RaftNode::snapshot_installed).
    StoreSnapshotChunk {
        /// The leader that sent the chunk.
        from: NodeId,
        /// The chunk to store.
        chunk: SnapshotChunk,
    },
}

/// One write to durable storage. Writes are performed in order, and each is atomic.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct StorageWrite {
    /// The sequence number of the write, counted from 1. The caller passes it to
    /// [`RaftNode::persisted`](crate::RaftNode::persisted).
    pub sequence: u64,
    /// The new term and vote, if they changed.
    pub hard_state: Option<HardState>,
    /// The first index to remove from the log, before `append` is written.
    pub truncate_from: Option<Index>,
    /// The entries to append to the log.
    pub append: Vec<Entry>,
}
