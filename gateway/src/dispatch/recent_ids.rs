//! Remembers the ids of recently closed requests of which an attempt was sent, so that none of them
//! is accepted again.

use std::collections::{HashSet, VecDeque};

use violetgate_policy::interface::{Micros, QueryId};

/// How long the id of a closed request is rejected, in microseconds. Clients use a new id for every
/// request, so a repeated id is a client error, and the second request may differ from the first.
pub(super) const RECENT_ID_LIFETIME_US: Micros = 10_000_000;

/// The capacity is reduced if it is larger than the number of ids times this factor, but not below
/// the minimum.
const MAX_CAPACITY_FACTOR: usize = 4;
const MIN_CAPACITY: usize = 1_024;

/// The ids of requests that were closed recently.
#[derive(Default)]
pub(super) struct RecentIds {
    ids: HashSet<QueryId>,
    /// The same ids, oldest first, each with the time at which its request was closed.
    by_age: VecDeque<(Micros, QueryId)>,
}

impl RecentIds {
    /// Adds an id, and removes ids older than [`RECENT_ID_LIFETIME_US`].
    pub(super) fn add(&mut self, id: QueryId, now: Micros) {
        while let Some((at, oldest)) = self.by_age.front().copied() {
            if at + RECENT_ID_LIFETIME_US >= now {
                break;
            }
            self.by_age.pop_front();
            self.ids.remove(&oldest);
        }
        self.release_unused_capacity();
        if self.ids.insert(id) {
            self.by_age.push_back((now, id));
        }
    }

    /// Reduces the capacity after a burst of requests.
    fn release_unused_capacity(&mut self) {
        let needed = self.ids.len().max(MIN_CAPACITY);
        if self.ids.capacity() > needed * MAX_CAPACITY_FACTOR {
            self.ids.shrink_to(needed);
            self.by_age.shrink_to(needed);
        }
    }

    /// Returns whether an id belongs to a request that was closed recently.
    pub(super) fn contains(&self, id: QueryId) -> bool {
        self.ids.contains(&id)
    }

    /// Returns the number of ids.
    pub(super) fn len(&self) -> usize {
        self.by_age.len()
    }

    /// Returns the lengths of `ids` and `by_age`.
    #[cfg(test)]
    pub(super) fn sizes(&self) -> (usize, usize) {
        (self.ids.len(), self.by_age.len())
    }
}
