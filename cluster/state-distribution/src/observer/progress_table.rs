//! How far the subscribers of one observer are, held so that a report costs O(log n).

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use violetgate_replicated_state::{Micros, Revision};

use super::ConnectionId;
use crate::fleet_progress::{Laggard, ProgressSummary, MAX_LAGGARDS};
use crate::message::SubscriberProgress;

/// The most revisions of which the time of arrival is held.
const MAX_ARRIVALS: usize = 4_096;
/// A subscriber that has not reported for this time does not serve, whatever it reported last: its
/// state is stale.
const REPORT_LIFETIME_US: Micros = 3_000_000;
/// How long a gateway that served and disconnected still counts in the least applied revision:
/// the drain limit. By then it has reported to another observer, or its state is stale.
const DEPARTED_LIFETIME_US: Micros = 2_000_000;
/// The bounds of the ages in [`ProgressSummary::behind`].
const AGE_BOUNDS_US: [Micros; 3] = [100_000, 1_000_000, 10_000_000];

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Report {
    progress: SubscriberProgress,
    received_at: Micros,
}

/// A gateway that served here and has disconnected.
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
    /// Serving subscribers, by the revision applied.
    serving: BTreeSet<(Revision, ConnectionId)>,
    /// The number of serving subscribers at each applied revision.
    serving_at: BTreeMap<Revision, u32>,
    departed: VecDeque<Departed>,
    /// When the latest revisions were applied at this observer, oldest first.
    arrivals: VecDeque<Arrival>,
}

impl ProgressTable {
    /// The observer's store has reached a revision.
    pub fn revision_arrived(&mut self, now: Micros, revision: Revision) {
        self.arrivals.push_back(Arrival { revision, at: now });
        if self.arrivals.len() > MAX_ARRIVALS {
            self.arrivals.pop_front();
        }
    }

    /// A subscriber that watches here has reported.
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

    /// A subscriber does not watch here any more. Of the departed, at most `max_departed` are
    /// held.
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

    /// Takes subscribers that have not reported for long as not serving, and drops those departed
    /// long ago. Called periodically, not for each message.
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

    /// How many of the departed are held.
    pub fn departed(&self) -> usize {
        self.departed.len()
    }

    /// The sum. `name_of` gives the names of laggards.
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

    /// Serving subscribers that lack `revision`, by how long they have lacked the revision after
    /// theirs.
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

    /// When the first revision after `applied` arrived; the earliest time held if that is no
    /// longer known.
    fn arrival_after(&self, applied: Revision) -> Micros {
        let place = self
            .arrivals
            .partition_point(|arrival| arrival.revision <= applied);
        self.arrivals.get(place).map_or(0, |arrival| arrival.at)
    }
}
