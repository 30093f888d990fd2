//! The change log: the changes of the history, oldest first, and the bytes that they take.

use std::collections::vec_deque::{Iter, VecDeque};

use serde::{Deserialize, Serialize, Serializer};

use super::KeyChange;
use crate::Revision;

/// Maximum number of changes in the history. If there are more, compaction discards the oldest.
const MAX_CHANGES: usize = 100_000;
/// Maximum size of the history, in bytes. If it is larger, compaction discards the oldest changes.
const MAX_BYTES: usize = 64 << 20;
/// The maximum encoded size of a change besides its key, value and actor, in bytes. It includes the
/// version that the change adds to its key.
const CHANGE_OVERHEAD_BYTES: usize = 64;

/// The changes that can still be read, oldest first.
///
/// It is encoded as the sequence of its changes. The size is computed again when it is decoded.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(from = "VecDeque<KeyChange>")]
pub(super) struct ChangeLog {
    changes: VecDeque<KeyChange>,
    /// The sum of [`size_in_history`] of all changes.
    bytes: usize,
}

impl Serialize for ChangeLog {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        self.changes.serialize(serializer)
    }
}

impl From<VecDeque<KeyChange>> for ChangeLog {
    fn from(changes: VecDeque<KeyChange>) -> Self {
        let bytes = changes.iter().map(size_in_history).sum();
        ChangeLog { changes, bytes }
    }
}

impl ChangeLog {
    /// Adds a change of the current revision.
    pub(super) fn push(&mut self, change: KeyChange) {
        self.bytes += size_in_history(&change);
        self.changes.push_back(change);
    }

    /// Removes the change of a key in a revision, if there is one.
    pub(super) fn remove(&mut self, revision: Revision, key: &str) {
        let start = self.position_after(revision.saturating_sub(1));
        let mut later = self.changes.range(start..);
        let offset = later.position(|change| change.key == key);
        if let Some(removed) = offset.and_then(|offset| self.changes.remove(start + offset)) {
            self.bytes -= size_in_history(&removed);
        }
    }

    /// Returns the changes after a revision, oldest first.
    pub(super) fn after(&self, revision: Revision) -> Iter<'_, KeyChange> {
        self.changes.range(self.position_after(revision)..)
    }

    /// Removes and returns the oldest change if it belongs to `revision` or an earlier one.
    pub(super) fn pop_up_to(&mut self, revision: Revision) -> Option<KeyChange> {
        let is_covered = |oldest: &KeyChange| oldest.revision <= revision;
        if !self.changes.front().is_some_and(is_covered) {
            return None;
        }
        let change = self.changes.pop_front()?;
        self.bytes -= size_in_history(&change);
        Some(change)
    }

    /// Returns the revision up to which changes have to be discarded, so that the others are within
    /// the limits.
    pub(super) fn revision_to_compact(&self) -> Option<Revision> {
        let mut count = self.changes.len();
        let mut bytes = self.bytes;
        let mut excess = self.changes.iter().take_while(|change| {
            let is_excess = count > MAX_CHANGES || bytes > MAX_BYTES;
            count -= 1;
            bytes -= size_in_history(change);
            is_excess
        });
        let first = excess.next()?;
        let last = excess.last().unwrap_or(first);
        Some(last.revision)
    }

    fn position_after(&self, revision: Revision) -> usize {
        self.changes
            .partition_point(|change| change.revision <= revision)
    }
}

/// Returns the maximum size that a change takes in a snapshot, in bytes. Key and value count twice,
/// as the versions of the key hold them as well.
fn size_in_history(change: &KeyChange) -> usize {
    let value_bytes = change.value.as_ref().map_or(0, Vec::len);
    2 * (change.key.len() + value_bytes) + change.actor.len() + CHANGE_OVERHEAD_BYTES
}
