//! Cutting what a store holds into messages of bounded size.

use std::sync::Arc;

use violetgate_replicated_state::{Compacted, KeyChange, Revision, Store};

use crate::message::{EntryChange, ObserverMessage, SnapshotCursor, SnapshotEntry};

/// Changes, or entries, that are read from the store at a time.
const READ_LIMIT: usize = 64;
/// Bytes of a message for each entry beside its key and value.
const ENTRY_OVERHEAD_BYTES: usize = 16;

/// Consecutive revisions, each complete.
#[derive(Debug, Clone)]
pub(super) struct ChangeBatch {
    pub after: Revision,
    pub to: Revision,
    pub changes: Arc<[EntryChange]>,
    pub bytes: usize,
}

impl ChangeBatch {
    pub fn message(&self) -> ObserverMessage {
        ObserverMessage::Changes {
            after: self.after,
            to: self.to,
            changes: Arc::clone(&self.changes),
        }
    }
}

/// The changes after a revision, cut once they exceed `max_bytes`, but one complete revision at least; `None`: there are
/// none.
pub(super) fn changes_after(
    store: &Store,
    after: Revision,
    max_bytes: usize,
) -> Result<Option<ChangeBatch>, Compacted> {
    let mut changes: Vec<EntryChange> = Vec::new();
    let mut bytes = 0;
    let mut to = after;
    for change in store.changes(after, "", READ_LIMIT)? {
        if bytes >= max_bytes && change.revision != to {
            break;
        }
        to = change.revision;
        bytes += entry_bytes(&change.key, change.value.as_deref());
        changes.push(entry_change(change));
    }
    if changes.is_empty() {
        return Ok(None);
    }
    Ok(Some(ChangeBatch {
        after,
        to,
        changes: changes.into(),
        bytes,
    }))
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

/// A snapshot chunk and the bytes of its entries.
pub(super) struct SizedChunk {
    pub message: ObserverMessage,
    pub bytes: usize,
}

/// The next chunk of a snapshot, cut once it exceeds `max_bytes`, but one entry at least.
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
        for (key, changed, value) in page.entries {
            if bytes >= max_bytes {
                last = false;
                break;
            }
            bytes += entry_bytes(&key, Some(&value));
            after = Some(key.clone());
            entries.push(SnapshotEntry {
                key,
                revision: changed,
                value,
            });
        }
    }
    let message = ObserverMessage::SnapshotChunk {
        revision: revision.unwrap_or_default(),
        after: chunk_after,
        entries,
        last,
    };
    Ok(SizedChunk { message, bytes })
}
