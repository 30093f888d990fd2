//! Leases. When a lease ends, the keys that are attached to it are deleted.

use super::revisions::Version;
use super::Store;
use crate::{CommandError, Micros, Mutation, Operation};

impl Store {
    /// Returns an [`Operation::ExpireLease`] for each lease that has expired at `now`, for the
    /// leader to propose. `now` is wall-clock time in microseconds.
    #[must_use]
    pub fn expired_leases(&self, now: Micros) -> Vec<Operation> {
        let leases = self.leases.iter();
        leases
            .filter(|(_, expires_at)| **expires_at <= now)
            .map(|(id, expires_at)| Operation::ExpireLease {
                id: *id,
                expires_at: *expires_at,
            })
            .collect()
    }

    pub(super) fn grant_lease(&mut self, id: u64, ttl: Micros) {
        self.leases.insert(id, self.time.saturating_add(ttl));
    }

    pub(super) fn revoke_lease(&mut self, id: u64, actor: &str) -> Result<(), CommandError> {
        self.leases
            .remove(&id)
            .ok_or(CommandError::UnknownLease(id))?;
        self.delete_attached_keys(id, actor);
        Ok(())
    }

    /// Ends a lease if it still has the expiry time that the leader saw, and the store's time has
    /// reached it. Returns whether the lease was ended.
    pub(super) fn expire_lease(&mut self, id: u64, expires_at: Micros, actor: &str) -> bool {
        let is_expired = self.leases.get(&id) == Some(&expires_at) && expires_at <= self.time;
        if is_expired {
            self.leases.remove(&id);
            self.delete_attached_keys(id, actor);
        }
        is_expired
    }

    fn delete_attached_keys(&mut self, lease: u64, actor: &str) {
        let is_attached = |versions: &[Version]| {
            let value = versions.last().and_then(|latest| latest.value.as_ref());
            value.is_some_and(|value| value.lease == Some(lease))
        };
        let deletions: Vec<_> = self
            .keys
            .iter()
            .filter(|(_, versions)| is_attached(versions))
            .map(|(key, _)| Mutation::Delete(key.clone()))
            .collect();
        if !deletions.is_empty() {
            self.commit_mutations(&deletions, actor);
        }
    }
}
