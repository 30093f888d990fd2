//! Snapshots: log compaction, and the transfer of a snapshot in chunks to a node whose next entry
//! is compacted.

use serde::{Deserialize, Serialize};

use crate::{Action, Index, LogPosition, Membership, Message, NodeId, RaftNode, Term};

/// The position of the last entry that a snapshot covers, and the membership at that entry.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct SnapshotMetadata {
    /// The index of the last entry that the snapshot covers.
    pub index: Index,
    /// The term of that entry.
    pub term: Term,
    /// The membership that is in effect at that entry.
    pub membership: Membership,
}

impl SnapshotMetadata {
    /// Returns the position of the last entry that the snapshot covers.
    #[must_use]
    pub fn position(&self) -> LogPosition {
        LogPosition {
            term: self.term,
            index: self.index,
        }
    }
}

/// A chunk of a snapshot in transfer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// The metadata of the whole snapshot.
    pub metadata: SnapshotMetadata,
    /// The offset of the chunk's first byte in the snapshot.
    pub offset: u64,
    /// The bytes of the chunk.
    pub data: Vec<u8>,
    /// Whether this is the last chunk of the snapshot.
    pub is_last: bool,
}

/// The snapshot that a node is receiving.
#[derive(Debug)]
pub(crate) struct IncomingSnapshot {
    metadata: SnapshotMetadata,
    /// The offset of the next byte to receive, or `None` while a chunk is being stored.
    next_offset: Option<u64>,
}

impl RaftNode {
    /// Reports that a snapshot of the state up to `snapshot` is durable, and discards the log up to
    /// that entry. Does nothing if the entry is not applied or is already compacted.
    pub fn compact_log(&mut self, snapshot: LogPosition) {
        if snapshot.index > self.log.base().index && snapshot.index <= self.applied {
            let membership = self.log.membership_at(snapshot.index);
            self.log.compact(SnapshotMetadata {
                index: snapshot.index,
                term: snapshot.term,
                membership,
            });
        }
    }

    /// Reports the chunk that [`Action::LoadSnapshotChunk`] requested, and sends it to the peer if
    /// this node still leads.
    pub fn snapshot_chunk_loaded(&mut self, to: NodeId, chunk: SnapshotChunk) {
        let term = self.hard_state.term;
        if self.role() == crate::Role::Leader {
            self.send_now(to, Message::InstallSnapshot { term, chunk });
        }
    }

    /// Reports that a chunk other than the last is stored, and asks the leader for the chunk at
    /// `next_offset`.
    pub fn snapshot_chunk_stored(
        &mut self,
        from: NodeId,
        metadata: SnapshotMetadata,
        next_offset: u64,
    ) {
        let index = metadata.index;
        self.incoming_snapshot = Some(IncomingSnapshot {
            metadata,
            next_offset: Some(next_offset),
        });
        self.respond_to_snapshot(from, index, Some(next_offset));
    }

    /// Reports that the snapshot is complete and has durably replaced the state machine's state
    /// and the log.
    pub fn snapshot_installed(&mut self, from: NodeId, metadata: SnapshotMetadata) {
        let index = metadata.index;
        self.incoming_snapshot = None;
        self.log.reset(metadata);
        self.membership = self.log.membership();
        self.writes.snapshot_installed(index, self.log.last_index());
        self.commit = self.commit.max(index);
        self.applied = self.applied.max(index);
        self.respond_to_snapshot(from, index, None);
    }

    pub(crate) fn on_install_snapshot(&mut self, from: NodeId, term: Term, chunk: SnapshotChunk) {
        if !self.accept_leader(from, term) {
            return;
        }
        let index = chunk.metadata.index;
        if index <= self.commit {
            return self.respond_to_snapshot(from, index, None);
        }
        let expected = match &self.incoming_snapshot {
            Some(incoming) if incoming.metadata == chunk.metadata => incoming.next_offset,
            _ => Some(0),
        };
        let Some(expected) = expected else {
            return;
        };
        if chunk.offset != expected {
            return self.respond_to_snapshot(from, index, Some(expected));
        }
        self.incoming_snapshot = Some(IncomingSnapshot {
            metadata: chunk.metadata.clone(),
            next_offset: None,
        });
        self.actions
            .push(Action::StoreSnapshotChunk { from, chunk });
    }

    fn respond_to_snapshot(&mut self, to: NodeId, index: Index, next_offset: Option<u64>) {
        let response = Message::SnapshotResponse {
            term: self.hard_state.term,
            index,
            next_offset,
        };
        self.send_when_durable(to, response);
    }

    pub(crate) fn on_snapshot_response(
        &mut self,
        from: NodeId,
        term: Term,
        index: Index,
        next_offset: Option<u64>,
    ) {
        if term > self.hard_state.term {
            return self.become_follower(term, None);
        }
        let now = self.now;
        let Some(progress) = self.progress_mut(from) else {
            return;
        };
        progress.last_response = now;
        let Some(offset) = next_offset else {
            return self.on_matched(from, index, 0);
        };
        if let Some(transfer) = &mut progress.snapshot {
            transfer.offset = offset;
            transfer.sent_at = now;
            self.actions
                .push(Action::LoadSnapshotChunk { to: from, offset });
        }
    }
}
