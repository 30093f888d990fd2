//! Read access to the replicated state, common to a replica's store and to a subscriber's copy,
//! which has no history.

use crate::{Revision, Store};

/// A key, its value, and the revision that set the value.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct KeyValue {
    /// The name of the key.
    pub key: String,
    /// The revision that last changed the key.
    pub revision: Revision,
    /// The value of the key as of the revision that was read.
    pub value: Vec<u8>,
}

/// A borrowed value of a key, and the revision that set the value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CurrentValue<'a> {
    /// The revision that last changed the key.
    pub revision: Revision,
    /// The bytes of the value.
    pub value: &'a [u8],
}

/// Read access to the current keys and values.
pub trait Entries {
    /// Returns the revision of the keys and values.
    fn revision(&self) -> Revision;

    /// Returns the value of a key, or `None` if the key does not exist.
    fn entry(&self, key: &str) -> Option<CurrentValue<'_>>;

    /// Returns all keys that begin with `prefix`, in ascending order.
    fn entries_with_prefix(&self, prefix: &str) -> Vec<KeyValue>;
}

impl Entries for Store {
    fn revision(&self) -> Revision {
        Store::revision(self)
    }

    fn entry(&self, key: &str) -> Option<CurrentValue<'_>> {
        self.get(key)
    }

    fn entries_with_prefix(&self, prefix: &str) -> Vec<KeyValue> {
        self.list(prefix, None, None, usize::MAX)
            .map(|listing| listing.entries)
            .unwrap_or_default()
    }
}
