//! The change log, from which a watcher (a caller that follows the store) reads the changes after a
//! revision.

use serde::{Deserialize, Serialize};

use super::{Compacted, Store};
use crate::{Micros, Revision};

/// One change of one key, in the change log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyChange {
    /// The revision that the change belongs to. All changes of one transaction share a revision.
    pub revision: Revision,
    /// The key that was changed.
    pub key: String,
    /// The new value, or `None` if the key was deleted.
    pub value: Option<Vec<u8>>,
    /// The originator of the command that changed the key.
    pub actor: String,
    /// The store's time at the change, in microseconds.
    pub time: Micros,
}

impl Store {
    /// Returns the changes after the revision `after` of keys that begin with `prefix`, oldest
    /// first. A `limit` of 0 counts as 1. The result can exceed `limit`, because the changes of one
    /// revision are never split.
    ///
    /// # Errors
    ///
    /// Returns [`Compacted`] if some of the changes may have been discarded by compaction. The
    /// watcher has to list the keys again, or it would miss changes.
    pub fn changes(
        &self,
        after: Revision,
        prefix: &str,
        limit: usize,
    ) -> Result<Vec<KeyChange>, Compacted> {
        self.ensure_available(after)?;
        let mut matching: Vec<KeyChange> = Vec::new();
        let later = self.changes.after(after);
        for change in later.filter(|change| change.key.starts_with(prefix)) {
            let is_full = matching.len() >= limit.max(1);
            let begins_revision = matching
                .last()
                .is_some_and(|last| last.revision != change.revision);
            if is_full && begins_revision {
                break;
            }
            matching.push(change.clone());
        }
        Ok(matching)
    }
}
