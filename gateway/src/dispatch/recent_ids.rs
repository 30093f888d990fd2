//! Remembers the ids of recently closed requests, so that none of them is accepted again.

use std::collections::{HashSet, VecDeque};

use violetgate_policy::interface::{Micros, QueryId};

/// How long the id of a closed request is rejected, in microseconds. Clients use a new id for every
/// request, so a repeated id is a client error, and the second request may differ from the first.
pub(super) const RECENT_ID_LIFETIME_US: Micros = 10_000_000;

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
        if self.ids.insert(id) {
            self.by_age.push_back((now, id));
        }
    }

    /// Returns whether an id belongs to a request that was closed recently.
    pub(super) fn contains(&self, id: QueryId) -> bool {
        self.ids.contains(&id)
    }

    /// Returns the lengths of `ids` and `by_age`.
    #[cfg(test)]
    pub(super) fn sizes(&self) -> (usize, usize) {
        (self.ids.len(), self.by_age.len())
    }
}
