//! Reading agreed state, whoever holds it: a member's store, or a replica without history.

use crate::{Revision, Store};

/// Agreed entries as they are now.
pub trait Entries {
    /// The revision that the entries are of.
    fn revision(&self) -> Revision;

    /// One entry: the revision that last changed it, and what it holds.
    fn entry(&self, key: &str) -> Option<(Revision, &[u8])>;

    /// All entries whose keys begin with `prefix`, in order of their keys.
    fn entries_with_prefix(&self, prefix: &str) -> Vec<(String, Revision, Vec<u8>)>;
}

impl Entries for Store {
    fn revision(&self) -> Revision {
        Store::revision(self)
    }

    fn entry(&self, key: &str) -> Option<(Revision, &[u8])> {
        self.get(key)
            .map(|(revision, value)| (revision, value.as_slice()))
    }

    fn entries_with_prefix(&self, prefix: &str) -> Vec<(String, Revision, Vec<u8>)> {
        self.list(prefix, None, None, usize::MAX)
            .map(|listing| listing.entries)
            .unwrap_or_default()
    }
}
