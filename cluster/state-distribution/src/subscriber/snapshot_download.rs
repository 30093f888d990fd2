//! A snapshot that is being received in chunks. The current replica stays in use until the snapshot
//! is complete.

use std::collections::BTreeMap;

use violetgate_replicated_state::{Revision, MAX_KEY_BYTES};

use crate::message::{SnapshotChunk, SnapshotCursor, SnapshotEntry};
use crate::subscriber_replica::{SubscriberReplica, VersionedValue};

/// The maximum size of a snapshot's keys and values in bytes: twice the 256 MiB that a store may
/// hold.
const MAX_SNAPSHOT_BYTES: usize = 512 << 20;

/// Why a chunk is rejected. The texts are the detail of the resulting rejection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(super) enum ChunkError {
    /// The chunk does not follow the chunks received so far, or is empty but not the last.
    #[error("a snapshot piece out of order")]
    OutOfOrder,
    /// The keys are not in ascending order, a key is too long, or an entry is of a revision later
    /// than the snapshot's.
    #[error("a snapshot piece with keys out of order")]
    KeysOutOfOrder,
    /// The snapshot is larger than [`MAX_SNAPSHOT_BYTES`].
    #[error("a snapshot larger than any store")]
    SnapshotTooLarge,
}

/// The entries of the chunks received so far.
#[derive(Debug, Default)]
pub(super) struct SnapshotDownload {
    cursor: Option<SnapshotCursor>,
    entries: BTreeMap<String, VersionedValue>,
    bytes: usize,
}

impl SnapshotDownload {
    /// Returns the position at which the transfer resumes, or `None` if no entry was received yet.
    pub fn cursor(&self) -> Option<&SnapshotCursor> {
        self.cursor.as_ref()
    }

    /// Checks the next chunk and adds its entries.
    pub fn add(&mut self, chunk: SnapshotChunk) -> Result<(), ChunkError> {
        self.check_continues(&chunk)?;
        check_keys(&chunk)?;
        if chunk.entries.is_empty() && !chunk.last {
            return Err(ChunkError::OutOfOrder);
        }
        if let Some(last) = chunk.entries.last() {
            self.cursor = Some(SnapshotCursor {
                revision: chunk.revision,
                after_key: last.key.clone(),
            });
        }
        for entry in chunk.entries {
            self.insert(entry);
        }
        if self.bytes > MAX_SNAPSHOT_BYTES {
            return Err(ChunkError::SnapshotTooLarge);
        }
        Ok(())
    }

    fn insert(&mut self, entry: SnapshotEntry) {
        let bytes = entry.key.len().saturating_add(entry.value.len());
        self.bytes = self.bytes.saturating_add(bytes);
        let versioned = VersionedValue {
            revision: entry.revision,
            value: entry.value,
        };
        self.entries.insert(entry.key, versioned);
    }

    fn check_continues(&self, chunk: &SnapshotChunk) -> Result<(), ChunkError> {
        let continues = match &self.cursor {
            Some(cursor) => {
                cursor.revision == chunk.revision && Some(&cursor.after_key) == chunk.after.as_ref()
            }
            None => chunk.after.is_none(),
        };
        continues.then_some(()).ok_or(ChunkError::OutOfOrder)
    }

    /// Converts the entries received into a replica at `revision`.
    pub fn into_replica(self, revision: Revision) -> SubscriberReplica {
        SubscriberReplica::from_snapshot(revision, self.entries)
    }
}

fn check_keys(chunk: &SnapshotChunk) -> Result<(), ChunkError> {
    let mut previous = chunk.after.as_deref().unwrap_or_default();
    for entry in &chunk.entries {
        let key = entry.key.as_str();
        if key <= previous || key.len() > MAX_KEY_BYTES || entry.revision > chunk.revision {
            return Err(ChunkError::KeysOutOfOrder);
        }
        previous = key;
    }
    Ok(())
}
