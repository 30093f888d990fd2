//! Splits a store's changes and entries into messages of bounded size.

use violetgate_replicated_state::{Compacted, KeyChange, Revision, Store};

use crate::message::{
    ChangeBatch, EntryChange, ObserverMessage, SnapshotChunk, SnapshotCursor, SnapshotEntry,
    MAX_MESSAGE_BYTES,
};

/// The number of changes or entries that are read from the store at a time.
const READ_LIMIT: usize = 64;
/// The maximum encoded size of an entry besides its key and value, in bytes.
const ENTRY_OVERHEAD_BYTES: usize = 16;
/// The maximum encoded size of a batch besides its entries, in bytes.
const BATCH_OVERHEAD_BYTES: usize = 64;
/// The maximum size of the entries of a batch that fits into one message, in bytes.
const MAX_BATCH_BYTES: usize = MAX_MESSAGE_BYTES - BATCH_OVERHEAD_BYTES;

/// A batch of changes and the approximate size of its entries.
#[derive(Debug, Clone)]
pub(super) struct SizedBatch {
    pub batch: ChangeBatch,
    pub bytes: usize,
}

impl SizedBatch {
    /// Returns a message that shares the batch's changes in memory.
    pub fn message(&self) -> ObserverMessage {
        ObserverMessage::Changes(self.batch.clone())
    }
}

/// Returns the next batch of changes after a revision, or `None` if there are no changes. A batch
/// holds at least one revision and ends with the revision at which it reaches `max_bytes`. It ends
/// earlier if the read from the store, which [`READ_LIMIT`] limits, returns fewer changes.
///
/// # Errors
///
/// Returns [`Compacted`] if the changes can't be sent: the history no longer holds them, or one
/// revision is larger than a message. The subscriber then needs a snapshot, which has any size.
pub(super) fn changes_after(
    store: &Store,
    after: Revision,
    max_bytes: usize,
) -> Result<Option<SizedBatch>, Compacted> {
    let mut changes: Vec<EntryChange> = Vec::new();
    let mut bytes = 0;
    let mut to = after;
    for change in store.changes(after, "", READ_LIMIT)? {
        if bytes >= max_bytes && change.revision != to {
            break;
        }
        to = change.revision;
        bytes += entry_bytes(&change.key, change.value.as_deref());
        if bytes > MAX_BATCH_BYTES {
            let first_revision = to;
            return Err(Compacted { first_revision });
        }
        changes.push(entry_change(change));
    }
    if changes.is_empty() {
        return Ok(None);
    }
    let batch = ChangeBatch {
        after,
        to,
        changes: changes.into(),
    };
    Ok(Some(SizedBatch { batch, bytes }))
}

fn entry_change(change: KeyChange) -> EntryChange {
    EntryChange {
        revision: change.revision,
        key: change.key,
        value: change.value,
    }
}

fn entry_bytes(key: &str, value: Option<&[u8]>) -> usize {
    key.len() + value.map_or(0, <[u8]>::len) + ENTRY_OVERHEAD_BYTES
}

/// A snapshot chunk and the approximate size of its entries.
pub(super) struct SizedChunk {
    pub chunk: SnapshotChunk,
    pub bytes: usize,
}

/// Returns the next chunk of a snapshot. A chunk ends with the entry at which it reaches
/// `max_bytes`.
pub(super) fn snapshot_chunk(
    store: &Store,
    from: Option<&SnapshotCursor>,
    max_bytes: usize,
) -> Result<SizedChunk, Compacted> {
    let mut revision = from.map(|cursor| cursor.revision);
    let chunk_after = from.map(|cursor| cursor.after_key.clone());
    let mut after = chunk_after.clone();
    let mut entries = Vec::new();
    let mut bytes = 0;
    let mut last = false;
    while bytes < max_bytes && !last {
        let page = store.list("", revision, after.as_deref(), READ_LIMIT)?;
        revision = Some(page.revision);
        last = page.next.is_none();
        for entry in page.entries {
            if bytes >= max_bytes {
                last = false;
                break;
            }
            bytes += entry_bytes(&entry.key, Some(&entry.value));
            after = Some(entry.key.clone());
            entries.push(SnapshotEntry {
                key: entry.key,
                revision: entry.revision,
                value: entry.value,
            });
        }
    }
    let chunk = SnapshotChunk {
        revision: revision.unwrap_or_default(),
        after: chunk_after,
        entries,
        last,
    };
    Ok(SizedChunk { chunk, bytes })
}
