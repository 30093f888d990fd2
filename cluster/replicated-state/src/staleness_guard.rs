//! The guard between the replicated state and routing: no request is routed by a copy that was not
//! confirmed within the limit.
//!
//! A copy is confirmed by a linearizable read: the confirmation is begun, a majority acknowledges
//! the leader after that, and everything up to the read index is applied here. The copy is then as
//! recent as the beginning of the confirmation, by this replica's own clock; clocks of different
//! machines are never compared. The clock has to count the time during which the process or the
//! machine is suspended (`CLOCK_BOOTTIME`): one that wakes up finds its copy stale. A replica that
//! is cut off, one that came back with an old disk, and one whose leader is deposed without
//! knowing it fail in the same way: none of their confirmations is answered.

use std::collections::BTreeMap;

use crate::Micros;

#[cfg(test)]
mod tests;

/// The most confirmations in progress; the oldest is dropped first.
const MAX_PENDING: usize = 64;

/// The copy is too old to route by.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the replicated state is stale")]
pub struct Stale {
    /// How old it is, in microseconds; `None`: it was never confirmed.
    pub age: Option<Micros>,
}

/// A confirmation in progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct PendingConfirmation {
    begun_at: Micros,
    /// The entry that has to be applied; `None` until the cluster has answered.
    read_index: Option<u64>,
}

/// Decides whether this replica's copy of the state is recent enough.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct StalenessGuard {
    /// The age from which on a copy is stale.
    limit: Micros,
    confirmed_at: Option<Micros>,
    applied: u64,
    pending: BTreeMap<u64, PendingConfirmation>,
    last_id: u64,
}

impl StalenessGuard {
    /// A guard that lets nothing pass until the first confirmation. `limit` is in microseconds.
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

    /// Begins a confirmation. Returns its id; the read index has to be requested from now on and
    /// not before.
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

    /// The cluster has answered: everything up to this entry has to be applied here.
    pub fn confirmation_answered(&mut self, id: u64, read_index: u64) {
        if let Some(pending) = self.pending.get_mut(&id) {
            pending.read_index = Some(read_index);
        }
        self.complete_confirmations();
    }

    /// The cluster can't answer.
    pub fn confirmation_failed(&mut self, id: u64) {
        self.pending.remove(&id);
    }

    /// Everything up to this entry is applied here.
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

    /// Whether a request may be routed now.
    ///
    /// # Errors
    ///
    /// The copy is stale, or the clock went back, which it never should: then the age is not
    /// known.
    pub fn check(&self, now: Micros) -> Result<(), Stale> {
        match self.age(now) {
            Some(age) if age < self.limit => Ok(()),
            age => Err(Stale { age }),
        }
    }

    /// For how long from now requests may be routed without another confirmation, in microseconds;
    /// 0: not at all.
    #[must_use]
    pub fn remaining_validity(&self, now: Micros) -> Micros {
        self.age(now)
            .map_or(0, |age| self.limit.saturating_sub(age))
    }

    fn age(&self, now: Micros) -> Option<Micros> {
        self.confirmed_at.and_then(|at| now.checked_sub(at))
    }
}
