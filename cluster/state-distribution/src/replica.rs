//! A copy of the agreed entries as they are now, without their history.

use std::collections::BTreeMap;

use violetgate_replicated_state::{Entries, Revision};

use crate::message::EntryChange;

/// The entries of one revision.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Replica {
    revision: Revision,
    entries: BTreeMap<String, (Revision, Vec<u8>)>,
}

impl Replica {
    /// A replica of a whole snapshot.
    pub(crate) fn of_snapshot(
        revision: Revision,
        entries: BTreeMap<String, (Revision, Vec<u8>)>,
    ) -> Self {
        Replica { revision, entries }
    }

    /// Applies the changes that are newer than this replica, which then stands at `to`. The caller has checked that
    /// they go on from its revision.
    pub(crate) fn apply(&mut self, to: Revision, changes: &[EntryChange]) {
        let held = self.revision;
        for change in changes.iter().filter(|change| change.revision > held) {
            match &change.value {
                Some(value) => {
                    self.entries
                        .insert(change.key.clone(), (change.revision, value.clone()));
                }
                None => {
                    self.entries.remove(&change.key);
                }
            }
        }
        self.revision = held.max(to);
    }
}

impl Entries for Replica {
    fn revision(&self) -> Revision {
        self.revision
    }

    fn entry(&self, key: &str) -> Option<(Revision, &[u8])> {
        self.entries
            .get(key)
            .map(|(revision, value)| (*revision, value.as_slice()))
    }

    fn entries_with_prefix(&self, prefix: &str) -> Vec<(String, Revision, Vec<u8>)> {
        let from = self
            .entries
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix));
        from.map(|(key, (revision, value))| (key.clone(), *revision, value.clone()))
            .collect()
    }
}
