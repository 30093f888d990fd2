//! Read access to the replicated state, whoever holds it: a replica's store, or a subscriber's
//! copy without history.

use crate::{Revision, Store};

/// A key with its value.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct KeyValue {
    /// The key.
    pub key: String,
    /// The revision that last changed it.
    pub revision: Revision,
    /// Its value.
    pub value: Vec<u8>,
}

/// A value of a key, and the revision that set it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CurrentValue<'a> {
    /// The revision that last changed the key.
    pub revision: Revision,
    /// The value.
    pub value: &'a [u8],
}

/// The current keys and values.
pub trait Entries {
    /// The revision that they are of.
    fn revision(&self) -> Revision;

    /// A key's value; `None` if the key doesn't exist.
    fn entry(&self, key: &str) -> Option<CurrentValue<'_>>;

    /// All keys that begin with `prefix`, in order.
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
