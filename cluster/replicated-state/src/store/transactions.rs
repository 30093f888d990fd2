//! Execution of transactions: conditions, size limits and changes.

use serde::{Deserialize, Serialize};

use super::revisions::{StoredValue, Version};
use super::{KeyChange, Store};
use crate::{CommandError, Condition, Mutation, Revision, Txn};

/// Maximum length of a key, in bytes.
pub const MAX_KEY_BYTES: usize = 512;
/// Maximum length of a value, in bytes.
pub const MAX_VALUE_BYTES: usize = 64 << 10;
/// Maximum number of conditions, and of changes in the selected branch, of one transaction.
pub const MAX_TXN_LENGTH: usize = 128;
/// Maximum number of current keys in the store.
const MAX_KEYS: usize = 1_000_000;
/// Maximum total size of the current keys and values in the store, in bytes.
const MAX_BYTES: usize = 256 << 20;

/// Number and total size of the current keys and values, without the history.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct LiveSize {
    keys: usize,
    bytes: usize,
}

impl LiveSize {
    fn add(&mut self, key: &str, value: &[u8]) {
        self.keys += 1;
        self.bytes += key.len() + value.len();
    }

    fn subtract(&mut self, key: &str, value_bytes: usize) {
        self.keys -= 1;
        self.bytes -= key.len() + value_bytes;
    }

    fn is_over_limit(&self) -> bool {
        self.keys > MAX_KEYS || self.bytes > MAX_BYTES
    }
}

impl Store {
    /// Executes a transaction. Returns whether its conditions held.
    pub(super) fn execute_transaction(
        &mut self,
        txn: &Txn,
        actor: &str,
    ) -> Result<bool, CommandError> {
        let conditions_held = txn.conditions.iter().all(|condition| self.holds(condition));
        let mutations = if conditions_held {
            &txn.then
        } else {
            &txn.otherwise
        };
        if mutations.len().max(txn.conditions.len()) > MAX_TXN_LENGTH {
            return Err(CommandError::TooLarge);
        }
        self.check_limits(mutations)?;
        if !mutations.is_empty() {
            self.commit_mutations(mutations, actor);
        }
        Ok(conditions_held)
    }

    fn holds(&self, condition: &Condition) -> bool {
        match condition {
            Condition::RevisionIs(key, expected) => {
                self.get(key).map_or(0, |current| current.revision) == *expected
            }
            Condition::ValueIs(key, expected) => self
                .get(key)
                .is_some_and(|current| current.value == expected.as_slice()),
        }
    }

    /// Checks all changes before any of them is made. Values that the transaction replaces or
    /// deletes still count towards the size of the store.
    fn check_limits(&self, mutations: &[Mutation]) -> Result<(), CommandError> {
        let mut size = self.live_size;
        for mutation in mutations {
            let Mutation::Put { key, value, lease } = mutation else {
                continue;
            };
            if key.is_empty() || key.len() > MAX_KEY_BYTES || value.len() > MAX_VALUE_BYTES {
                return Err(CommandError::TooLarge);
            }
            if let Some(id) = lease.filter(|id| !self.leases.contains_key(id)) {
                return Err(CommandError::UnknownLease(id));
            }
            size.add(key, value);
        }
        if size.is_over_limit() {
            return Err(CommandError::StoreFull);
        }
        Ok(())
    }

    /// Makes all changes in one revision. The deletion of a key that does not exist is skipped; if
    /// every change is skipped, the revision stays the same.
    pub(super) fn commit_mutations(&mut self, mutations: &[Mutation], actor: &str) {
        let revision = self.revision + 1;
        for mutation in mutations {
            let (key, value) = match mutation {
                Mutation::Put { key, value, lease } => {
                    let bytes = value.clone();
                    let lease = *lease;
                    (key, Some(StoredValue { bytes, lease }))
                }
                Mutation::Delete(key) if self.get(key).is_none() => continue,
                Mutation::Delete(key) => (key, None),
            };
            if self.is_changed_in(revision, key) {
                self.changes.remove(revision, key);
            }
            self.changes.push(KeyChange {
                revision,
                key: key.clone(),
                value: value.as_ref().map(|value| value.bytes.clone()),
                actor: actor.to_owned(),
                time: self.time,
            });
            self.set_version(key, Version { revision, value });
            self.revision = revision;
        }
    }

    /// Returns whether a key already has a version of this revision, which is the current one.
    fn is_changed_in(&self, revision: Revision, key: &str) -> bool {
        let latest = self.keys.get(key).and_then(|versions| versions.last());
        latest.is_some_and(|latest| latest.revision == revision)
    }

    /// Adds a version of a key. It replaces an earlier version of the same revision.
    fn set_version(&mut self, key: &str, version: Version) {
        if let Some(bytes) = self.get(key).map(|current| current.value.len()) {
            self.live_size.subtract(key, bytes);
        }
        if let Some(value) = &version.value {
            self.live_size.add(key, &value.bytes);
        }
        let versions = self.keys.entry(key.to_owned()).or_default();
        let is_replaced = |latest: &Version| latest.revision == version.revision;
        if versions.last().is_some_and(is_replaced) {
            versions.pop();
        }
        versions.push(version);
    }
}
