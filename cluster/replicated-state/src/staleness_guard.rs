//! The guard that keeps stale copies of the replicated state from routing requests: a request may
//! be routed only if the copy was confirmed within the limit.
//!
//! A linearizable read confirms a copy. The confirmation begins, then a majority acknowledges the
//! leader, then everything up to the read index is applied to the copy. The copy is then at least
//! as recent as the beginning of the confirmation, measured on the local clock; clocks of different
//! machines are never compared. The clock has to count the time during which the process or the
//! machine is suspended (`CLOCK_BOOTTIME`), so that a copy is stale after a long suspension. A
//! replica that is partitioned, that restarted with an old disk, or whose leader doesn't know yet
//! that it was deposed gets no answer to its confirmations, and its copy becomes stale.

use std::collections::BTreeMap;

use crate::Micros;

#[cfg(test)]
mod tests;

/// Maximum number of confirmations in progress. The oldest is dropped first.
const MAX_PENDING: usize = 64;

/// The error for a copy of the state that is too old to route requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the replicated state is stale")]
pub struct Stale {
    /// The age of the copy in microseconds. `None` if the age is unknown: the copy was never
    /// confirmed, or the clock went back.
    pub age: Option<Micros>,
}

/// A confirmation that is not complete yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct PendingConfirmation {
    begun_at: Micros,
    /// The index up to which the copy has to be applied. `None` until the cluster has answered.
    read_index: Option<u64>,
}

/// Decides whether a copy of the state is recent enough to route requests.
///
/// Indexes are Raft log indexes for a replica and store revisions for a subscriber.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct StalenessGuard {
    /// A copy of this age or older is stale.
    limit: Micros,
    confirmed_at: Option<Micros>,
    applied: u64,
    pending: BTreeMap<u64, PendingConfirmation>,
    last_id: u64,
}

impl StalenessGuard {
    /// Creates a guard that rejects every request until the first confirmation is complete.
    /// A copy whose age reaches `limit` microseconds is stale.
    #[must_use]
    pub fn new(limit: Micros) -> Self {
        StalenessGuard {
            limit,
            confirmed_at: None,
            applied: 0,
            pending: BTreeMap::new(),
            last_id: 0,
        }
    }

    /// Begins a confirmation and returns its id. The caller must request the read index after this
    /// call, not before it.
    pub fn begin_confirmation(&mut self, now: Micros) -> u64 {
        self.last_id += 1;
        let pending = PendingConfirmation {
            begun_at: now,
            read_index: None,
        };
        self.pending.insert(self.last_id, pending);
        while self.pending.len() > MAX_PENDING {
            self.pending.pop_first();
        }
        self.last_id
    }

    /// Records the cluster's answer to a confirmation. The confirmation is complete once the copy
    /// is applied up to `read_index`.
    pub fn confirmation_answered(&mut self, id: u64, read_index: u64) {
        if let Some(pending) = self.pending.get_mut(&id) {
            pending.read_index = Some(read_index);
        }
        self.complete_confirmations();
    }

    /// Drops a confirmation that the cluster could not answer.
    pub fn confirmation_failed(&mut self, id: u64) {
        self.pending.remove(&id);
    }

    /// Records that the copy is applied up to `index`. A lower index than before has no effect.
    pub fn applied_up_to(&mut self, index: u64) {
        self.applied = self.applied.max(index);
        self.complete_confirmations();
    }

    fn complete_confirmations(&mut self) {
        let applied = self.applied;
        let confirmed_at = &mut self.confirmed_at;
        self.pending.retain(|_, pending| {
            let is_complete = pending.read_index.is_some_and(|index| index <= applied);
            if is_complete {
                *confirmed_at = (*confirmed_at).max(Some(pending.begun_at));
            }
            !is_complete
        });
    }

    /// Checks whether a request may be routed now.
    ///
    /// # Errors
    ///
    /// Returns [`Stale`] if the copy has reached the limit, was never confirmed, or if `now` is
    /// before the last confirmation. The clock should never go back; if it does, the age is
    /// unknown.
    pub fn check(&self, now: Micros) -> Result<(), Stale> {
        match self.age(now) {
            Some(age) if age < self.limit => Ok(()),
            age => Err(Stale { age }),
        }
    }

    /// Returns for how many microseconds from `now` requests may be routed without another
    /// confirmation. 0 means that the copy is already stale.
    #[must_use]
    pub fn remaining_validity(&self, now: Micros) -> Micros {
        self.age(now)
            .map_or(0, |age| self.limit.saturating_sub(age))
    }

    fn age(&self, now: Micros) -> Option<Micros> {
        self.confirmed_at.and_then(|at| now.checked_sub(at))
    }
}
