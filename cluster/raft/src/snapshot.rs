//! Snapshots: log compaction, and their transfer in chunks to a node whose next entry is compacted
//! away.

use serde::{Deserialize, Serialize};

use crate::{Action, Index, LogPosition, Membership, Message, NodeId, RaftNode, Term};

/// What a snapshot stands for.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct SnapshotMetadata {
    /// The last entry that it covers.
    pub index: Index,
    /// The term of that entry.
    pub term: Term,
    /// The membership as of that entry.
    pub membership: Membership,
}

impl SnapshotMetadata {
    /// The position of the last entry that it covers.
    #[must_use]
    pub fn position(&self) -> LogPosition {
        LogPosition {
            term: self.term,
            index: self.index,
        }
    }
}

/// A part of a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// What the snapshot stands for.
    pub metadata: SnapshotMetadata,
    /// The place of the first byte of this part.
    pub offset: u64,
    /// The bytes.
    pub data: Vec<u8>,
    /// Whether the snapshot ends here.
    pub is_last: bool,
}

/// The snapshot that a node is receiving.
#[derive(Debug)]
pub(crate) struct IncomingSnapshot {
    metadata: SnapshotMetadata,
    /// The next byte wanted; `None` while a chunk is being stored.
    next_offset: Option<u64>,
}

impl RaftNode {
    /// The state up to an entry is durable as a snapshot: the log up to there is discarded.
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

    /// A chunk of the latest snapshot, as [`Action::LoadSnapshotChunk`] requested.
    pub fn snapshot_chunk_loaded(&mut self, to: NodeId, chunk: SnapshotChunk) {
        let term = self.hard_state.term;
        if self.role() == crate::Role::Leader {
            self.send_now(to, Message::InstallSnapshot { term, chunk });
        }
    }

    /// A chunk that is not the last one is stored; the next one is wanted from `next_offset`.
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

    /// The last chunk is stored, and the snapshot durably in place of the state and the log.
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
