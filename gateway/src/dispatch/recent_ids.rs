//! Request ids that were in use a short while ago, so that none is taken twice.

use std::collections::{HashSet, VecDeque};

use violetgate_policy::interface::{Micros, QueryId};

/// How long an id that was in use is not taken again, in microseconds. Ids are new with every
/// request: one that comes again is a client's mistake, and its bytes may mean something else.
pub(super) const RECENT_ID_LIFETIME_US: Micros = 10_000_000;

/// Ids that were in use a short while ago.
#[derive(Default)]
pub(super) struct RecentIds {
    ids: HashSet<QueryId>,
    /// The same, oldest first, with the time of each.
    by_age: VecDeque<(Micros, QueryId)>,
}

impl RecentIds {
    /// Adds an id, and removes those whose time is over.
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

    /// Whether an id was in use a short while ago.
    pub(super) fn contains(&self, id: QueryId) -> bool {
        self.ids.contains(&id)
    }

    /// The number of ids, in both of its parts.
    #[cfg(test)]
    pub(super) fn sizes(&self) -> (usize, usize) {
        (self.ids.len(), self.by_age.len())
    }
}
