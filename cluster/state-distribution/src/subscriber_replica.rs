//! A subscriber's replica: the current entries of the replicated state, without their history.

use std::collections::BTreeMap;

use violetgate_replicated_state::{CurrentValue, Entries, KeyValue, Revision};

use crate::message::EntryChange;

/// The value of an entry and the revision that last changed it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct VersionedValue {
    pub revision: Revision,
    pub value: Vec<u8>,
}

/// The entries of the replicated state at one revision.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct SubscriberReplica {
    revision: Revision,
    entries: BTreeMap<String, VersionedValue>,
}

impl SubscriberReplica {
    /// Creates a replica from the entries of a complete snapshot.
    pub(crate) fn from_snapshot(
        revision: Revision,
        entries: BTreeMap<String, VersionedValue>,
    ) -> Self {
        SubscriberReplica { revision, entries }
    }

    /// Applies the changes that are newer than this replica, and advances its revision to `to`. The
    /// caller has checked that there is no gap between the replica's revision and the changes.
    pub(crate) fn apply(&mut self, to: Revision, changes: &[EntryChange]) {
        let applied = self.revision;
        for change in changes.iter().filter(|change| change.revision > applied) {
            match &change.value {
                Some(value) => {
                    let versioned = VersionedValue {
                        revision: change.revision,
                        value: value.clone(),
                    };
                    self.entries.insert(change.key.clone(), versioned);
                }
                None => {
                    self.entries.remove(&change.key);
                }
            }
        }
        self.revision = applied.max(to);
    }
}

impl Entries for SubscriberReplica {
    fn revision(&self) -> Revision {
        self.revision
    }

    fn entry(&self, key: &str) -> Option<CurrentValue<'_>> {
        let entry = self.entries.get(key)?;
        Some(CurrentValue {
            revision: entry.revision,
            value: &entry.value,
        })
    }

    fn entries_with_prefix(&self, prefix: &str) -> Vec<KeyValue> {
        self.entries
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(key, entry)| KeyValue {
                key: key.clone(),
                revision: entry.revision,
                value: entry.value.clone(),
            })
            .collect()
    }
}
