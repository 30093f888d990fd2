//! Snapshots: saving the local state, sending it to replicas that are far behind, and installing
//! the leader's snapshot.

use std::rc::Rc;

use violetgate_raft::{Entry, Index, NodeId, SnapshotChunk, SnapshotMetadata};
use violetgate_replicated_state::Store;

use crate::{Effect, Replica};

/// Maximum number of snapshot bytes in one message.
const MAX_CHUNK_BYTES: usize = 256 << 10;
/// The maximum total size of a received snapshot without its last chunk, in bytes.
const MAX_SNAPSHOT_BYTES: usize = 1 << 30;

/// The size of the applied log since the latest snapshot, in bytes, at which another snapshot is
/// due whatever the number of entries. If the latest snapshot is larger, its size counts instead.
const MIN_LOG_BYTES: usize = 64 << 20;

/// A snapshot of the store.
#[derive(Debug, Clone)]
struct Snapshot {
    metadata: SnapshotMetadata,
    /// The encoded state of the store.
    state: Rc<Vec<u8>>,
}

/// The snapshots that a replica has saved, is saving or is receiving.
#[derive(Debug)]
pub(crate) struct Snapshots {
    /// The latest snapshot that is durable on this replica.
    latest: Snapshot,
    /// The snapshot that is being saved.
    saving: Option<Snapshot>,
    /// The bytes received so far of the leader's snapshot.
    received: Vec<u8>,
    /// The approximate size of the entries applied since the latest snapshot was taken, in bytes.
    log_bytes: usize,
}

impl Snapshots {
    pub(crate) fn new(metadata: SnapshotMetadata, state: Vec<u8>) -> Self {
        let state = Rc::new(state);
        Snapshots {
            latest: Snapshot { metadata, state },
            saving: None,
            received: Vec::new(),
            log_bytes: 0,
        }
    }

    /// Counts an applied entry.
    pub(crate) fn count_applied(&mut self, entry: &Entry) {
        self.log_bytes += entry.payload.approximate_bytes();
    }

    /// Returns whether the log is so large that it has to be replaced by a snapshot.
    fn is_log_full(&self) -> bool {
        self.log_bytes >= MIN_LOG_BYTES.max(self.latest.state.len())
    }

    /// Returns at most [`MAX_CHUNK_BYTES`] of the latest snapshot, starting at `offset`.
    fn chunk(&self, offset: u64) -> SnapshotChunk {
        let Snapshot { metadata, state } = &self.latest;
        let start = saturating_usize(offset).min(state.len());
        let end = start.saturating_add(MAX_CHUNK_BYTES).min(state.len());
        SnapshotChunk {
            metadata: metadata.clone(),
            offset: start as u64,
            data: state.get(start..end).unwrap_or_default().to_vec(),
            is_last: end == state.len(),
        }
    }
}

/// Converts an offset to `usize`. An offset that does not fit becomes `usize::MAX`, which is beyond
/// the end of every snapshot.
fn saturating_usize(offset: u64) -> usize {
    usize::try_from(offset).unwrap_or(usize::MAX)
}

impl Replica {
    /// Starts to save a snapshot if `snapshot_interval` entries were applied since the latest one
    /// or their size requires one, and no snapshot is being saved.
    pub(crate) fn snapshot_if_due(&mut self) {
        let latest = self.snapshots.latest.metadata.index;
        let since = self.applied.index.saturating_sub(latest);
        let is_due = since >= self.config.snapshot_interval || self.snapshots.is_log_full();
        if !is_due || self.snapshots.saving.is_some() {
            return;
        }
        let metadata = SnapshotMetadata {
            index: self.applied.index,
            term: self.applied.term,
            membership: self.raft.log().membership_at(self.applied.index),
        };
        let state = Rc::new(self.store.to_snapshot());
        self.snapshots.log_bytes = 0;
        self.snapshots.saving = Some(Snapshot {
            metadata: metadata.clone(),
            state: Rc::clone(&state),
        });
        self.push_effect(Effect::SaveSnapshot { metadata, state });
    }

    /// Records that the snapshot up to the entry `index` is durable, and discards the log up to
    /// this entry.
    pub fn snapshot_saved(&mut self, index: Index) {
        let is_saved = |saving: &mut Snapshot| saving.metadata.index == index;
        if let Some(saved) = self.snapshots.saving.take_if(is_saved) {
            self.raft.compact_log(saved.metadata.position());
            self.snapshots.latest = saved;
        }
    }

    pub(crate) fn load_snapshot_chunk(&mut self, to: NodeId, offset: u64) {
        let chunk = self.snapshots.chunk(offset);
        self.raft.snapshot_chunk_loaded(to, chunk);
    }

    /// Adds a chunk to the received part of the leader's snapshot. After the last chunk, requests
    /// the installation of the snapshot. If an incomplete snapshot is too long, or a complete one
    /// cannot be decoded, the snapshot is requested again from the beginning.
    pub(crate) fn store_snapshot_chunk(&mut self, from: NodeId, chunk: SnapshotChunk) {
        let received = &mut self.snapshots.received;
        received.truncate(saturating_usize(chunk.offset));
        received.extend_from_slice(&chunk.data);
        let metadata = chunk.metadata;
        if !chunk.is_last && received.len() <= MAX_SNAPSHOT_BYTES {
            let next_offset = received.len() as u64;
            return self.raft.snapshot_chunk_stored(from, metadata, next_offset);
        }
        let state = std::mem::take(received);
        if chunk.is_last && Store::from_snapshot(&state).is_ok() {
            let state = Rc::new(state);
            self.push_effect(Effect::InstallSnapshot {
                from,
                metadata,
                state,
            });
        } else {
            self.raft.snapshot_chunk_stored(from, metadata, 0);
        }
    }

    /// Records that the leader's snapshot is durable, and replaces the store with its state.
    pub fn snapshot_installed(
        &mut self,
        from: NodeId,
        metadata: SnapshotMetadata,
        state: Rc<Vec<u8>>,
    ) {
        if let Ok(store) = Store::from_snapshot(&state) {
            self.store = store;
            self.applied = metadata.position();
            self.snapshots.latest = Snapshot {
                metadata: metadata.clone(),
                state,
            };
            self.snapshots.saving = None;
            self.snapshots.log_bytes = 0;
            self.raft.snapshot_installed(from, metadata);
            self.complete_reads();
        }
    }

    /// Returns the log entries after the leader's snapshot, which are kept when it is installed.
    /// Empty if the log does not contain the last entry of the snapshot.
    #[must_use]
    pub fn entries_after(&self, metadata: &SnapshotMetadata) -> Vec<Entry> {
        let log = self.raft.log();
        if !log.contains(metadata.position()) {
            return Vec::new();
        }
        log.slice(metadata.index + 1, log.last_index(), usize::MAX)
    }
}
