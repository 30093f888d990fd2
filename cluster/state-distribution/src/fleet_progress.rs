//! Which revisions the gateways have applied: summed at each observer, and over all observers.
//!
//! A revision is in force once every serving gateway has applied it.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};
use violetgate_raft::NodeId;
use violetgate_replicated_state::{Micros, Revision};

/// The maximum number of laggards listed in a summary.
pub const MAX_LAGGARDS: usize = 8;

/// A serving gateway that has not applied the latest revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Laggard {
    /// The gateway's name.
    pub name: String,
    /// The latest revision that the gateway has applied.
    pub applied: Revision,
}

/// The progress of one observer's subscribers. Sent between replicas.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProgressSummary {
    /// The observer's own revision.
    pub revision: Revision,
    /// Subscribers that watch this observer and serve: their state is fresh enough to route on.
    pub serving: u32,
    /// Subscribers that watch this observer and do not serve.
    pub not_serving: u32,
    /// The lowest revision that a serving subscriber has applied; `None` if no subscriber serves.
    pub least_applied: Option<Revision>,
    /// Serving subscribers that lack the observer's revision, counted by how long they have lacked
    /// it: under 0.1 s, under 1 s, under 10 s, and longer.
    pub behind: [u32; 4],
    /// The serving subscribers that are furthest behind, at most [`MAX_LAGGARDS`].
    pub laggards: Vec<Laggard>,
}

/// The maximum number of observers whose reports are held; the oldest report is dropped first.
const MAX_OBSERVERS: usize = 256;
/// The maximum length of each record queue: revisions not in force yet, and revisions in force.
const MAX_RECORDS: usize = 4_096;
/// The time for which the last report of a silent observer still counts in the revision in force.
/// An observer that can't reach the cluster confirms no polls, so after this time its gateways have
/// stopped serving (2 s) or have reported to another observer.
const SILENT_REPORT_LIFETIME_US: Micros = 5_000_000;

/// When a revision came into force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct RevisionInForce {
    /// The revision that came into force.
    pub revision: Revision,
    /// When an observer first reported the revision, in microseconds of this machine's clock.
    pub known_at: Micros,
    /// When the revision was first found in force, in microseconds of this machine's clock.
    pub in_force_at: Micros,
}

/// The last report of an observer, with its time of arrival.
#[derive(Debug, Clone)]
struct ObserverReport {
    received_at: Micros,
    summary: ProgressSummary,
}

/// A revision that is not in force yet.
#[derive(Debug, Clone, Copy)]
struct KnownRevision {
    revision: Revision,
    known_at: Micros,
}

/// Holds the last report of each observer, and when each revision came into force.
#[derive(Debug, Clone, Default)]
pub struct FleetProgress {
    reports: BTreeMap<NodeId, ObserverReport>,
    /// Revisions that are not in force yet, oldest first.
    pending: VecDeque<KnownRevision>,
    in_force: VecDeque<RevisionInForce>,
}

/// The progress of the gateways, summed over all observers.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct FleetTotals {
    /// Observers that reported recently.
    pub observers: u32,
    /// Observers that did not report recently.
    pub silent_observers: u32,
    /// Gateways that serve.
    pub serving: u32,
    /// Gateways that do not serve.
    pub not_serving: u32,
    /// The latest revision known to any observer.
    pub revision: Revision,
    /// The latest revision that is in force.
    pub in_force: Revision,
    /// Serving gateways that are behind, by age as in [`ProgressSummary::behind`].
    pub behind: [u32; 4],
    /// The serving gateways that are furthest behind, at most [`MAX_LAGGARDS`].
    pub laggards: Vec<Laggard>,
}

impl FleetProgress {
    /// Replaces an observer's last report with a new one.
    pub fn report(&mut self, now: Micros, observer: NodeId, summary: ProgressSummary) {
        let reports = self.reports.values();
        let latest = reports.map(|report| report.summary.revision).max();
        if summary.revision > latest.unwrap_or(0) {
            let known = KnownRevision {
                revision: summary.revision,
                known_at: now,
            };
            push_bounded(&mut self.pending, known);
        }
        let report = ObserverReport {
            received_at: now,
            summary,
        };
        self.reports.insert(observer, report);
        if self.reports.len() > MAX_OBSERVERS {
            self.drop_oldest_report();
        }
    }

    fn drop_oldest_report(&mut self) {
        let reports = self.reports.iter();
        let oldest = reports.min_by_key(|(_, report)| report.received_at);
        if let Some(id) = oldest.map(|(id, _)| *id) {
            self.reports.remove(&id);
        }
    }

    /// Drops the report of an observer that was removed from the cluster.
    pub fn forget(&mut self, observer: NodeId) {
        self.reports.remove(&observer);
    }

    /// Returns the sum at `now`. Observers whose last report is older than `fresh_for` microseconds
    /// count as silent, and their gateways are not counted.
    ///
    /// [`FleetTotals::in_force`] is the lowest revision that a serving gateway has applied, or 0 if
    /// no gateway is known to serve. A silent observer's last report still limits it for 5 s after
    /// the report arrived, or for `fresh_for` if that is longer. The revision in force may decrease
    /// when a gateway that is behind begins to serve, or when a silent observer reports again.
    #[must_use]
    pub fn totals(&self, now: Micros, fresh_for: Micros) -> FleetTotals {
        let mut totals = FleetTotals::default();
        let mut in_force: Option<Revision> = None;
        for ObserverReport {
            received_at,
            summary,
        } in self.reports.values()
        {
            let age = now.saturating_sub(*received_at);
            if age <= fresh_for.max(SILENT_REPORT_LIFETIME_US) {
                in_force = in_force.into_iter().chain(summary.least_applied).min();
            }
            totals.revision = totals.revision.max(summary.revision);
            if age > fresh_for {
                totals.silent_observers += 1;
            } else {
                totals.add(summary);
            }
        }
        totals.in_force = in_force.unwrap_or(0);
        totals.keep_worst_laggards();
        totals
    }

    /// Returns the sum as [`FleetProgress::totals`] does, and records the revisions that have come
    /// into force since the last call.
    pub fn record(&mut self, now: Micros, fresh_for: Micros) -> FleetTotals {
        let totals = self.totals(now, fresh_for);
        while let Some(known) = self.pending.front().copied() {
            if known.revision > totals.in_force {
                break;
            }
            self.pending.pop_front();
            let record = RevisionInForce {
                revision: known.revision,
                known_at: known.known_at,
                in_force_at: now,
            };
            push_bounded(&mut self.in_force, record);
        }
        totals
    }

    /// Returns when the latest revisions came into force, oldest first. A revision has a record
    /// only if an observer reported it as its latest before any observer reported a later one.
    pub fn in_force(&self) -> impl Iterator<Item = &RevisionInForce> {
        self.in_force.iter()
    }
}

impl FleetTotals {
    fn add(&mut self, summary: &ProgressSummary) {
        self.observers += 1;
        self.serving = self.serving.saturating_add(summary.serving);
        self.not_serving = self.not_serving.saturating_add(summary.not_serving);
        for (sum, count) in self.behind.iter_mut().zip(summary.behind) {
            *sum = sum.saturating_add(count);
        }
        let laggards = summary.laggards.iter().take(MAX_LAGGARDS);
        self.laggards.extend(laggards.cloned());
    }

    fn keep_worst_laggards(&mut self) {
        self.laggards
            .sort_by(|one, other| (one.applied, &one.name).cmp(&(other.applied, &other.name)));
        self.laggards.truncate(MAX_LAGGARDS);
    }
}

fn push_bounded<T>(queue: &mut VecDeque<T>, value: T) {
    queue.push_back(value);
    if queue.len() > MAX_RECORDS {
        queue.pop_front();
    }
}
