//! Cutting what a store holds into messages of bounded size.

use std::sync::Arc;

use violetgate_replicated_state::{Compacted, KeyChange, Revision, Store};

use crate::message::{EntryChange, FromObserver, SnapshotPlace};

/// Changes, or entries, that are read from the store at a time.
const READ_AT_A_TIME: usize = 64;
/// Bytes of a message beside keys and values, for each entry.
const OVERHEAD: usize = 16;

/// Whole revisions that follow one another.
#[derive(Debug, Clone)]
pub(super) struct ChangeBatch {
    pub after: Revision,
    pub to: Revision,
    pub changes: Arc<[EntryChange]>,
    pub bytes: usize,
}

impl ChangeBatch {
    pub fn message(&self) -> FromObserver {
        FromObserver::Changes {
            after: self.after,
            to: self.to,
            changes: Arc::clone(&self.changes),
        }
    }
}

/// The changes after a revision, about `bytes` of them, but one whole revision at least; `None`: there are none.
pub(super) fn changes_after(
    store: &Store,
    after: Revision,
    bytes: usize,
) -> Result<Option<ChangeBatch>, Compacted> {
    let mut taken: Vec<EntryChange> = Vec::new();
    let mut size = 0;
    let mut to = after;
    for change in store.changes(after, "", READ_AT_A_TIME)? {
        if size >= bytes && change.revision != to {
            break;
        }
        to = change.revision;
        size += entry_bytes(&change.key, change.value.as_deref());
        taken.push(entry_change(change));
    }
    if taken.is_empty() {
        return Ok(None);
    }
    Ok(Some(ChangeBatch {
        after,
        to,
        changes: taken.into(),
        bytes: size,
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
    key.len() + value.map_or(0, <[u8]>::len) + OVERHEAD
}

/// A piece of a snapshot of about `bytes`, but one entry at least, and its size.
pub(super) fn snapshot_piece(
    store: &Store,
    from: Option<&SnapshotPlace>,
    bytes: usize,
) -> Result<(FromObserver, usize), Compacted> {
    let mut revision = from.map(|place| place.revision);
    let first_after = from.map(|place| place.after.clone());
    let mut after = first_after.clone();
    let mut entries = Vec::new();
    let mut size = 0;
    let mut last = false;
    while size < bytes && !last {
        let page = store.list("", revision, after.as_deref(), READ_AT_A_TIME)?;
        revision = Some(page.revision);
        last = page.next.is_none();
        for (key, changed, value) in page.entries {
            if size >= bytes {
                last = false;
                break;
            }
            size += entry_bytes(&key, Some(&value));
            after = Some(key.clone());
            entries.push((key, changed, value));
        }
    }
    let revision = revision.unwrap_or_default();
    Ok((
        FromObserver::SnapshotPiece {
            revision,
            after: first_after,
            entries,
            last,
        },
        size,
    ))
}
