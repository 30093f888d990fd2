//! A copy of the agreed entries as they are now, without their history.

use std::collections::BTreeMap;

use violetgate_state::{Entries, Revision};

/// The entries of one revision.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Replica {
    revision: Revision,
    entries: BTreeMap<String, (Revision, Vec<u8>)>,
}

impl Entries for Replica {
    fn revision(&self) -> Revision {
        self.revision
    }

    fn entry(&self, key: &str) -> Option<(Revision, &[u8])> {
        self.entries.get(key).map(|(revision, value)| (*revision, value.as_slice()))
    }

    fn entries_below(&self, prefix: &str) -> Vec<(String, Revision, Vec<u8>)> {
        let from = self.entries.range(prefix.to_owned()..).take_while(|(key, _)| key.starts_with(prefix));
        from.map(|(key, (revision, value))| (key.clone(), *revision, value.clone())).collect()
    }
}
