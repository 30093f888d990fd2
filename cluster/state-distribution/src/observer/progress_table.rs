//! The progress of one observer's subscribers, indexed so that a report costs O(log n).

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use violetgate_replicated_state::{Micros, Revision};

use super::ConnectionId;
use crate::fleet_progress::{Laggard, ProgressSummary, MAX_LAGGARDS};
use crate::message::SubscriberProgress;

/// The maximum number of revisions whose arrival times are held.
const MAX_ARRIVALS: usize = 4_096;
/// A subscriber that has not reported for this time counts as not serving, whatever it reported
/// last: its state is stale.
const REPORT_LIFETIME_US: Micros = 3_000_000;
/// How long a gateway that served and no longer watches this observer still counts in the lowest
/// applied revision. This is the drain limit: after this time the gateway has reported to another
/// observer, or its state is stale.
const DEPARTED_LIFETIME_US: Micros = 2_000_000;
/// The bounds of the age buckets in [`ProgressSummary::behind`].
const AGE_BOUNDS_US: [Micros; 3] = [100_000, 1_000_000, 10_000_000];

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Report {
    progress: SubscriberProgress,
    received_at: Micros,
}

/// A gateway that served and no longer watches this observer.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Departed {
    applied: Revision,
    counts_until: Micros,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Arrival {
    revision: Revision,
    at: Micros,
}

/// The progress of all subscribers that watch this observer.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(super) struct ProgressTable {
    reports: BTreeMap<ConnectionId, Report>,
    /// Serving subscribers, ordered by the revision that they have applied.
    serving: BTreeSet<(Revision, ConnectionId)>,
    /// The number of serving subscribers at each applied revision.
    serving_at: BTreeMap<Revision, u32>,
    departed: VecDeque<Departed>,
    /// When the latest revisions were applied at this observer, oldest first.
    arrivals: VecDeque<Arrival>,
}

impl ProgressTable {
    /// Records that the observer's store has reached a revision.
    pub fn revision_arrived(&mut self, now: Micros, revision: Revision) {
        self.arrivals.push_back(Arrival { revision, at: now });
        if self.arrivals.len() > MAX_ARRIVALS {
            self.arrivals.pop_front();
        }
    }

    /// Records a report of a subscriber that watches this observer.
    pub fn report(&mut self, now: Micros, connection: ConnectionId, progress: SubscriberProgress) {
        self.remove(connection);
        let report = Report {
            progress,
            received_at: now,
        };
        self.reports.insert(connection, report);
        if progress.serving {
            self.serving.insert((progress.applied, connection));
            *self.serving_at.entry(progress.applied).or_default() += 1;
        }
    }

    /// Removes a subscriber that no longer watches this observer. If it served, it is held as
    /// departed for a while; at most `max_departed` are held.
    pub fn record_departure(&mut self, now: Micros, connection: ConnectionId, max_departed: usize) {
        let Some(report) = self.remove(connection) else {
            return;
        };
        if !report.progress.serving {
            return;
        }
        self.departed.push_back(Departed {
            applied: report.progress.applied,
            counts_until: now.saturating_add(DEPARTED_LIFETIME_US),
        });
        if self.departed.len() > max_departed {
            self.departed.pop_front();
        }
    }

    fn remove(&mut self, connection: ConnectionId) -> Option<Report> {
        let report = self.reports.remove(&connection)?;
        let applied = report.progress.applied;
        if self.serving.remove(&(applied, connection)) {
            if let Some(count) = self.serving_at.get_mut(&applied) {
                *count -= 1;
                if *count == 0 {
                    self.serving_at.remove(&applied);
                }
            }
        }
        Some(report)
    }

    /// Marks subscribers without a recent report as not serving, and drops departed gateways that
    /// no longer count. Called periodically, not for each message.
    pub fn expire(&mut self, now: Micros) {
        let expired =
            |report: &Report| now.saturating_sub(report.received_at) >= REPORT_LIFETIME_US;
        let silent: Vec<(ConnectionId, SubscriberProgress)> = self
            .reports
            .iter()
            .filter(|(_, report)| report.progress.serving && expired(report))
            .map(|(connection, report)| (*connection, report.progress))
            .collect();
        for (connection, progress) in silent {
            let progress = SubscriberProgress {
                serving: false,
                ..progress
            };
            self.report(now, connection, progress);
        }
        let over = |departed: &Departed| departed.counts_until <= now;
        while self.departed.front().is_some_and(over) {
            self.departed.pop_front();
        }
    }

    /// Returns the number of departed gateways that are held.
    pub fn departed(&self) -> usize {
        self.departed.len()
    }

    /// Sums the progress of all subscribers. `name_of` returns the name of a laggard.
    pub fn summary(
        &self,
        now: Micros,
        revision: Revision,
        name_of: impl Fn(ConnectionId) -> Option<String>,
    ) -> ProgressSummary {
        let serving = u32::try_from(self.serving.len()).unwrap_or(u32::MAX);
        let watching = u32::try_from(self.reports.len()).unwrap_or(u32::MAX);
        ProgressSummary {
            revision,
            serving,
            not_serving: watching - serving,
            least_applied: self.least_applied(now),
            behind: self.behind(now, revision),
            laggards: self.laggards(revision, name_of),
        }
    }

    fn least_applied(&self, now: Micros) -> Option<Revision> {
        let serving = self.serving.first().map(|(applied, _)| *applied);
        let departed = self.departed.iter().filter(|it| it.counts_until > now);
        let departed = departed.map(|it| it.applied).min();
        serving.into_iter().chain(departed).min()
    }

    fn laggards(
        &self,
        revision: Revision,
        name_of: impl Fn(ConnectionId) -> Option<String>,
    ) -> Vec<Laggard> {
        let behind = self
            .serving
            .iter()
            .take_while(|(applied, _)| *applied < revision);
        behind
            .take(MAX_LAGGARDS)
            .filter_map(|(applied, connection)| {
                Some(Laggard {
                    name: name_of(*connection)?,
                    applied: *applied,
                })
            })
            .collect()
    }

    /// Counts serving subscribers that lack `revision`, by the time since the first revision that
    /// they lack arrived at this observer.
    fn behind(&self, now: Micros, revision: Revision) -> [u32; 4] {
        let mut behind = [0; 4];
        for (applied, count) in self.serving_at.range(..revision) {
            let age = now.saturating_sub(self.arrival_after(*applied));
            let bucket = AGE_BOUNDS_US
                .iter()
                .take_while(|bound| age >= **bound)
                .count();
            if let Some(total) = behind.get_mut(bucket) {
                *total += count;
            }
        }
        behind
    }

    /// Returns when the first revision after `applied` arrived, or the earliest arrival held if
    /// that one was dropped. Returns 0 if no later revision has arrived.
    fn arrival_after(&self, applied: Revision) -> Micros {
        let place = self
            .arrivals
            .partition_point(|arrival| arrival.revision <= applied);
        self.arrivals.get(place).map_or(0, |arrival| arrival.at)
    }
}
