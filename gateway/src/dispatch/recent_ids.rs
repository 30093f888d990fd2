//! Ids that were in use a short while ago, so that none is taken twice. It knows nothing of what they named.

use std::collections::{HashSet, VecDeque};

use violetgate_policy::interface::{Micros, QueryId};

/// How long an id that was in use is not taken again. Ids are new with every request: one that comes again is a
/// client's mistake, and its bytes may mean something else.
pub(super) const RECENT_ID_LIFETIME: Micros = 10_000_000;

/// Ids that were in use a short while ago.
#[derive(Default)]
pub(super) struct RecentIds {
    pub ids: HashSet<QueryId>,
    pub by_age: VecDeque<(Micros, QueryId)>,
}

impl RecentIds {
    pub fn add(&mut self, id: QueryId, now: Micros) {
        while let Some((_, old)) = self
            .by_age
            .front()
            .copied()
            .filter(|(at, _)| at + RECENT_ID_LIFETIME < now)
        {
            self.by_age.pop_front();
            self.ids.remove(&old);
        }
        if self.ids.insert(id) {
            self.by_age.push_back((now, id));
        }
    }
}
