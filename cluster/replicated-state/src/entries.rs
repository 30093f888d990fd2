//! Read access to the replicated state, whoever holds it: a replica's store, or a subscriber's
//! copy without history.

use crate::{Revision, Store};

/// The current keys and values.
pub trait Entries {
    /// The revision that they are of.
    fn revision(&self) -> Revision;

    /// A key's value, and the revision that last changed it.
    fn entry(&self, key: &str) -> Option<(Revision, &[u8])>;

    /// All keys that begin with `prefix`, in order, with the revisions that last changed them and
    /// their values.
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
