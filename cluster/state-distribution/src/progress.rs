//! In force everywhere: how far all front ends are, summed at each observer and over all of them.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};
use violetgate_raft::NodeId;
use violetgate_replicated_state::{Micros, Revision};

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

/// The most observers whose reports are kept; the oldest report gives way.
const MOST_OBSERVERS: usize = 256;
/// The most revisions of which it is kept when they were known and when they were in force.
const MOST_RECORDS: usize = 4_096;
/// How long after an observer's last report it still holds back what counts as in force. An observer that can't reach
/// the cluster confirms nothing: by then its front ends' gates have shut (2 s), or they have reported to another one.
const SILENT_HOLDS: Micros = 5_000_000;

/// When a revision was in force at all serving front ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct InForce {
    /// The revision.
    pub revision: Revision,
    /// When an observer first reported to hold it.
    pub known_at: Micros,
    /// When it was first seen to be in force.
    pub in_force_at: Micros,
}

/// What all observers told last, and since when each revision was in force at all live front ends.
#[derive(Debug, Clone, Default)]
pub struct FleetProgress {
    reports: BTreeMap<NodeId, (Micros, ProgressSummary)>,
    /// Revisions that are not in force yet, and when an observer first reported to hold them, oldest first.
    known: VecDeque<(Revision, Micros)>,
    in_force: VecDeque<InForce>,
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
        let latest = self
            .reports
            .values()
            .map(|(_, report)| report.revision)
            .max()
            .unwrap_or(0);
        if summary.revision > latest {
            push_bounded(&mut self.known, (summary.revision, now));
        }
        self.reports.insert(observer, (now, summary));
        if self.reports.len() > MOST_OBSERVERS {
            let oldest = self
                .reports
                .iter()
                .min_by_key(|(_, (at, _))| *at)
                .map(|(id, _)| *id);
            oldest.and_then(|id| self.reports.remove(&id));
        }
    }

    /// An observer was removed from the cluster.
    pub fn forget(&mut self, observer: NodeId) {
        self.reports.remove(&observer);
    }

    /// The sum. Reports older than `fresh` count as silent: their front ends are not counted.
    ///
    /// [`FleetTotals::in_force`] never says more than was reported: a silent observer's last report holds it back for
    /// 5 s from when it came, or for `fresh` if that is longer, and it is 0 where no front end is known to serve. It
    /// may go back when a front end that is behind begins to serve, or an observer speaks again.
    #[must_use]
    pub fn totals(&self, now: Micros, fresh: Micros) -> FleetTotals {
        let mut totals = FleetTotals::default();
        let mut in_force: Option<Revision> = None;
        for (at, report) in self.reports.values() {
            let age = now.saturating_sub(*at);
            if age <= fresh.max(SILENT_HOLDS) {
                in_force = in_force.into_iter().chain(report.least).min();
            }
            totals.revision = totals.revision.max(report.revision);
            if age > fresh {
                totals.silent_observers += 1;
            } else {
                totals.add(report);
            }
        }
        totals.in_force = in_force.unwrap_or(0);
        totals
            .laggards
            .sort_by(|one, other| (one.1, &one.0).cmp(&(other.1, &other.0)));
        totals.laggards.truncate(LAGGARDS);
        totals
    }

    /// The sum, and a record of the revisions that it shows to be in force for the first time.
    pub fn record(&mut self, now: Micros, fresh: Micros) -> FleetTotals {
        let totals = self.totals(now, fresh);
        while let Some((revision, known_at)) = self.known.front().copied() {
            if revision > totals.in_force {
                break;
            }
            self.known.pop_front();
            push_bounded(
                &mut self.in_force,
                InForce {
                    revision,
                    known_at,
                    in_force_at: now,
                },
            );
        }
        totals
    }

    /// When the latest revisions were first in force, oldest first. A revision that an observer reported together
    /// with a later one has no record of its own.
    pub fn in_force(&self) -> impl Iterator<Item = &InForce> {
        self.in_force.iter()
    }
}

impl FleetTotals {
    fn add(&mut self, report: &ProgressSummary) {
        self.observers += 1;
        self.serving = self.serving.saturating_add(report.serving);
        self.not_serving = self.not_serving.saturating_add(report.not_serving);
        for (sum, number) in self.behind.iter_mut().zip(report.behind) {
            *sum = sum.saturating_add(number);
        }
        self.laggards
            .extend(report.laggards.iter().take(LAGGARDS).cloned());
    }
}

fn push_bounded<T>(queue: &mut VecDeque<T>, value: T) {
    queue.push_back(value);
    if queue.len() > MOST_RECORDS {
        queue.pop_front();
    }
}
