//! Revisions: reading the store as of an earlier revision, and compacting the history.

use std::ops::Bound;

use serde::{Deserialize, Serialize};

use super::Store;
use crate::{CurrentValue, KeyValue, Revision};

/// The most changes in the history; beyond it, the oldest are compacted away.
const MAX_CHANGES: usize = 100_000;

/// What a key holds from a revision on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Version {
    pub(super) revision: Revision,
    /// `None`: the key was deleted.
    pub(super) value: Option<StoredValue>,
}

/// A value and the lease that it is attached to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct StoredValue {
    pub(super) bytes: Vec<u8>,
    pub(super) lease: Option<u64>,
}

/// The requested revision is compacted away.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("compacted away: the earliest revision is {first_revision}")]
pub struct Compacted {
    /// The earliest revision that can be read.
    pub first_revision: Revision,
}

/// One page of a listing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listing {
    /// The revision of all pages.
    pub revision: Revision,
    /// The keys of this page.
    pub entries: Vec<KeyValue>,
    /// The key after which the next page begins, if there is one.
    pub next: Option<String>,
}

impl Store {
    /// One page of the keys that begin with `prefix`, after the key `after`, `limit` at most, all
    /// as of one revision. The first page (`at` is `None`) chooses the current one.
    ///
    /// # Errors
    ///
    /// The revision is compacted away: the listing has to begin anew.
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
        // One more than the page, to know whether another page follows.
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

    /// Compacts the history as far as its length requires.
    pub(super) fn bound_history(&mut self) {
        while self.changes.len() > MAX_CHANGES {
            let Some(oldest) = self.changes.front().map(|change| change.revision) else {
                break;
            };
            self.compact(oldest);
        }
    }

    /// Discards the history up to a revision, which can still be read.
    pub(super) fn compact(&mut self, revision: Revision) {
        if revision < self.first_revision {
            return;
        }
        self.first_revision = revision;
        // Whatever version can be discarded was followed, or ended, by a change that is discarded
        // now: no other key has to be looked at.
        while self
            .changes
            .front()
            .is_some_and(|change| change.revision <= revision)
        {
            let Some(change) = self.changes.pop_front() else {
                break;
            };
            self.compact_key(&change.key, revision);
        }
    }

    fn compact_key(&mut self, key: &str, revision: Revision) {
        let Some(versions) = self.keys.get_mut(key) else {
            return;
        };
        // Of the versions up to the revision, the last is still valid.
        let valid = versions
            .iter()
            .rposition(|version| version.revision <= revision)
            .unwrap_or(0);
        versions.drain(..valid);
        let is_obsolete = |only: &Version| only.value.is_none() && only.revision <= revision;
        let is_deleted = matches!(versions.as_slice(), [only] if is_obsolete(only));
        if is_deleted {
            self.keys.remove(key);
        }
    }
}

/// What a key held as of a revision.
fn value_at(versions: &[Version], revision: Revision) -> Option<CurrentValue<'_>> {
    let version = versions.iter().rev().find(|v| v.revision <= revision)?;
    let value = version.value.as_ref()?;
    Some(CurrentValue {
        revision: version.revision,
        value: &value.bytes,
    })
}
