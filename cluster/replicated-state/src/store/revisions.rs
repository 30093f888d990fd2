//! Reading the store as of an earlier revision, and compacting the history.

use std::ops::Bound;

use serde::{Deserialize, Serialize};

use super::Store;
use crate::{CurrentValue, KeyValue, Revision};

/// The value of a key from one revision until the key's next version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Version {
    pub(super) revision: Revision,
    /// `None` if this revision deleted the key.
    pub(super) value: Option<StoredValue>,
}

/// A value, and the lease that its key is attached to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct StoredValue {
    pub(super) bytes: Vec<u8>,
    pub(super) lease: Option<u64>,
}

/// The error for a revision that was discarded by compaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("compacted away: the earliest revision is {first_revision}")]
pub struct Compacted {
    /// The earliest revision that can be read.
    pub first_revision: Revision,
}

/// One page of a listing of keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listing {
    /// The revision that was read. Pass it as `at` to read the following pages.
    pub revision: Revision,
    /// The keys and values of this page, in ascending order of the keys.
    pub entries: Vec<KeyValue>,
    /// The last key of this page, to pass as `after` for the next one. `None` on the last page.
    pub next: Option<String>,
}

impl Store {
    /// Returns one page of the keys that begin with `prefix` and follow the key `after`, as of the
    /// revision `at`. The page has at most `limit` keys; a `limit` of 0 counts as 1.
    ///
    /// The first page is read with `at` as `None`, which selects the current revision. All
    /// following pages are read at the revision of the first one.
    ///
    /// # Errors
    ///
    /// Returns [`Compacted`] if the revision was discarded by compaction. The listing has to start
    /// again from the first page.
    pub fn list(
        &self,
        prefix: &str,
        at: Option<Revision>,
        after: Option<&str>,
        limit: usize,
    ) -> Result<Listing, Compacted> {
        let revision = at.unwrap_or(self.revision).min(self.revision);
        self.ensure_available(revision)?;
        let start = after.filter(|key| *key >= prefix).unwrap_or(prefix);
        let range = (Bound::Included(start), Bound::Unbounded);
        let keys = self.keys.range::<str, _>(range);
        let existing = keys
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(key, _)| Some(key.as_str()) != after)
            .filter_map(|(key, versions)| {
                let current = value_at(versions, revision)?;
                Some(KeyValue {
                    key: key.clone(),
                    revision: current.revision,
                    value: current.value.to_vec(),
                })
            });
        // Takes one key more than the page holds, to know whether another page follows.
        let limit = limit.max(1);
        let mut entries: Vec<_> = existing.take(limit.saturating_add(1)).collect();
        let has_more = entries.len() > limit;
        entries.truncate(limit);
        let last_key = entries.last().map(|entry| entry.key.clone());
        Ok(Listing {
            revision,
            entries,
            next: last_key.filter(|_| has_more),
        })
    }

    pub(super) fn ensure_available(&self, revision: Revision) -> Result<(), Compacted> {
        let first_revision = self.first_revision;
        if revision < first_revision {
            return Err(Compacted { first_revision });
        }
        Ok(())
    }

    /// Compacts the history until the change log is within its limits.
    pub(super) fn limit_history(&mut self) {
        if let Some(revision) = self.changes.revision_to_compact() {
            self.compact(revision);
        }
    }

    /// Discards the history before a revision. The revision itself can still be read.
    pub(super) fn compact(&mut self, revision: Revision) {
        if revision < self.first_revision {
            return;
        }
        self.first_revision = revision;
        // Only keys that changed at or before `revision` can have versions to discard: a version
        // that a later one replaced, or a deletion.
        while let Some(change) = self.changes.pop_up_to(revision) {
            self.compact_key(&change.key, revision);
        }
    }

    fn compact_key(&mut self, key: &str, revision: Revision) {
        let Some(versions) = self.keys.get_mut(key) else {
            return;
        };
        // The latest of the versions up to the revision is still valid at that revision.
        let valid = versions
            .partition_point(|version| version.revision <= revision)
            .saturating_sub(1);
        versions.drain(..valid);
        let is_obsolete = |only: &Version| only.value.is_none() && only.revision <= revision;
        let is_deleted = matches!(versions.as_slice(), [only] if is_obsolete(only));
        if is_deleted {
            self.keys.remove(key);
        }
    }
}

/// Returns the value of a key as of a revision, or `None` if the key did not exist then.
fn value_at(versions: &[Version], revision: Revision) -> Option<CurrentValue<'_>> {
    let version = versions.iter().rev().find(|v| v.revision <= revision)?;
    let value = version.value.as_ref()?;
    Some(CurrentValue {
        revision: version.revision,
        value: &value.bytes,
    })
}
