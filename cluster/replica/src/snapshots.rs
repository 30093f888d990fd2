//! Snapshots: saving the own state, sending it to replicas that are far behind, and taking in the
//! leader's.

use std::rc::Rc;

use violetgate_raft::{Entry, Index, NodeId, SnapshotChunk, SnapshotMetadata};
use violetgate_replicated_state::Store;

use crate::{Effect, Replica};

/// The most bytes of a snapshot in one message.
const MAX_CHUNK_BYTES: usize = 256 << 10;
/// The longest snapshot that is taken in.
const MAX_SNAPSHOT_BYTES: usize = 1 << 30;

/// A snapshot of the state.
#[derive(Debug, Clone)]
struct Snapshot {
    metadata: SnapshotMetadata,
    state: Rc<Vec<u8>>,
}

/// The snapshots that a replica works with.
#[derive(Debug)]
pub(crate) struct Snapshots {
    /// The latest one that is durable here.
    latest: Snapshot,
    /// The one that is being saved.
    saving: Option<Snapshot>,
    /// The bytes so far of the one that is being received.
    received: Vec<u8>,
}

impl Snapshots {
    pub(crate) fn new(metadata: SnapshotMetadata, state: Vec<u8>) -> Self {
        let state = Rc::new(state);
        Snapshots {
            latest: Snapshot { metadata, state },
            saving: None,
            received: Vec::new(),
        }
    }

    /// The part of the latest snapshot from `offset` on.
    fn chunk(&self, offset: u64) -> SnapshotChunk {
        let Snapshot { metadata, state } = &self.latest;
        let start = clamped(offset).min(state.len());
        let end = start.saturating_add(MAX_CHUNK_BYTES).min(state.len());
        SnapshotChunk {
            metadata: metadata.clone(),
            offset: start as u64,
            data: state.get(start..end).unwrap_or_default().to_vec(),
            is_last: end == state.len(),
        }
    }
}

/// An offset in memory; what is beyond all memory is beyond the end.
fn clamped(offset: u64) -> usize {
    usize::try_from(offset).unwrap_or(usize::MAX)
}

impl Replica {
    /// Saves a snapshot if enough entries were applied since the latest one.
    pub(crate) fn snapshot_if_due(&mut self) {
        let latest = self.snapshots.latest.metadata.index;
        let since = self.applied.index.saturating_sub(latest);
        if since < self.config.snapshot_interval || self.snapshots.saving.is_some() {
            return;
        }
        let metadata = SnapshotMetadata {
            index: self.applied.index,
            term: self.applied.term,
            membership: self.raft.log().membership_at(self.applied.index),
        };
        let state = Rc::new(self.store.to_snapshot());
        self.snapshots.saving = Some(Snapshot {
            metadata: metadata.clone(),
            state: Rc::clone(&state),
        });
        self.push_effect(Effect::SaveSnapshot { metadata, state });
    }

    /// The snapshot up to this entry is saved durably: the log up to there is discarded.
    pub fn snapshot_saved(&mut self, index: Index) {
        let is_it = |saving: &mut Snapshot| saving.metadata.index == index;
        if let Some(saved) = self.snapshots.saving.take_if(is_it) {
            self.raft.compact_log(saved.metadata.position());
            self.snapshots.latest = saved;
        }
    }

    pub(crate) fn load_snapshot_chunk(&mut self, to: NodeId, offset: u64) {
        let chunk = self.snapshots.chunk(offset);
        self.raft.snapshot_chunk_loaded(to, chunk);
    }

    /// Takes in a chunk of the leader's snapshot. What is no valid state, or is too long, is
    /// requested again from its beginning.
    pub(crate) fn store_snapshot_chunk(&mut self, from: NodeId, chunk: SnapshotChunk) {
        let received = &mut self.snapshots.received;
        received.truncate(clamped(chunk.offset));
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

    /// The leader's snapshot is in place on disk: the store is replaced by it.
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
            self.raft.snapshot_installed(from, metadata);
            self.complete_reads();
        }
    }

    /// The entries that follow a snapshot of the leader's and stay, to be installed with it.
    #[must_use]
    pub fn entries_after(&self, metadata: &SnapshotMetadata) -> Vec<Entry> {
        let log = self.raft.log();
        if !log.contains(metadata.position()) {
            return Vec::new();
        }
        log.slice(metadata.index + 1, log.last_index(), usize::MAX)
    }
}
