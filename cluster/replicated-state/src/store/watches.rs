//! Watches: the change log, from which watchers read what has changed since a revision.

use serde::{Deserialize, Serialize};

use super::{Compacted, Store};
use crate::{Micros, Revision};

/// One change of one key, in the change log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyChange {
    /// The revision that it made. Changes of one transaction share it.
    pub revision: Revision,
    /// The key.
    pub key: String,
    /// Its value from then on; `None`: it was deleted.
    pub value: Option<Vec<u8>>,
    /// Who changed it.
    pub actor: String,
    /// The store's time of the change, in microseconds.
    pub time: Micros,
}

impl Store {
    /// The changes after a revision of keys that begin with `prefix`, oldest first, about `limit`
    /// of them. Changes of one revision are never separated.
    ///
    /// # Errors
    ///
    /// Some of them are compacted away: the watcher has to list the keys anew instead of missing
    /// changes.
    pub fn changes(
        &self,
        after: Revision,
        prefix: &str,
        limit: usize,
    ) -> Result<Vec<KeyChange>, Compacted> {
        self.ensure_available(after)?;
        let start = self
            .changes
            .partition_point(|change| change.revision <= after);
        let mut matching: Vec<KeyChange> = Vec::new();
        let later = self.changes.range(start..);
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

    /// Adds a change to the log. The last of several changes of a key in one revision counts.
    pub(super) fn log_change(&mut self, change: KeyChange) {
        let start = self
            .changes
            .partition_point(|other| other.revision < change.revision);
        let mut same_revision = self.changes.range(start..);
        if let Some(offset) = same_revision.position(|other| other.key == change.key) {
            self.changes.remove(start + offset);
        }
        self.changes.push_back(change);
    }
}
