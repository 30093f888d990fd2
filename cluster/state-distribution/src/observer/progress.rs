//! How far the subscribers of one observer are, kept so that a report costs O(log n).

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use violetgate_replicated_state::{Micros, Revision};

use super::ConnectionId;
use crate::message::Progress;
use crate::progress::{ProgressSummary, LAGGARDS};

/// Revisions of which the time of their arrival is kept.
const REVISION_TIMES: usize = 4_096;
/// A front end that has not asked for this time does not serve, whatever it reported last: its gate has shut.
const REPORT_COUNTS: Micros = 3_000_000;
/// How long a front end that served and has left still counts in the least applied revision: the drain limit. By then
/// it has reported to another observer, or its gate has shut.
const DEPARTED_COUNTS: Micros = 2_000_000;
/// The bounds of the ages in [`ProgressSummary::behind`].
const AGES: [Micros; 3] = [100_000, 1_000_000, 10_000_000];

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Report {
    progress: Progress,
    at: Micros,
}

/// A front end that served here and has left.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Departed {
    applied: Revision,
    until: Micros,
}

/// The progress of all subscribers that watch here.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(super) struct ProgressTable {
    reports: BTreeMap<ConnectionId, Report>,
    /// Those that serve, by the revision applied.
    serving: BTreeSet<(Revision, ConnectionId)>,
    /// Those that serve, counted by the revision applied.
    counts: BTreeMap<Revision, u32>,
    departed: VecDeque<Departed>,
    /// Revisions and when they came to this observer, oldest first.
    arrivals: VecDeque<(Revision, Micros)>,
}

impl ProgressTable {
    /// The observer's store has reached a revision.
    pub fn revision_arrived(&mut self, now: Micros, revision: Revision) {
        self.arrivals.push_back((revision, now));
        if self.arrivals.len() > REVISION_TIMES {
            self.arrivals.pop_front();
        }
    }

    /// A subscriber that watches here has reported.
    pub fn report(&mut self, now: Micros, connection: ConnectionId, progress: Progress) {
        self.remove(connection);
        self.reports
            .insert(connection, Report { progress, at: now });
        if progress.serving {
            self.serving.insert((progress.applied, connection));
            *self.counts.entry(progress.applied).or_default() += 1;
        }
    }

    /// A subscriber watches here no more. `most` bounds how many of the departed are kept.
    pub fn leave(&mut self, now: Micros, connection: ConnectionId, most: usize) {
        let Some(report) = self.remove(connection) else {
            return;
        };
        if !report.progress.serving {
            return;
        }
        let until = now.saturating_add(DEPARTED_COUNTS);
        self.departed.push_back(Departed {
            applied: report.progress.applied,
            until,
        });
        if self.departed.len() > most {
            self.departed.pop_front();
        }
    }

    fn remove(&mut self, connection: ConnectionId) -> Option<Report> {
        let report = self.reports.remove(&connection)?;
        let applied = report.progress.applied;
        if self.serving.remove(&(applied, connection)) {
            if let Some(count) = self.counts.get_mut(&applied) {
                *count -= 1;
                if *count == 0 {
                    self.counts.remove(&applied);
                }
            }
        }
        Some(report)
    }

    /// Those that have not reported for long serve no more. Called now and then, not for each message.
    pub fn expire(&mut self, now: Micros) {
        let old = |report: &Report| now.saturating_sub(report.at) >= REPORT_COUNTS;
        let silent: Vec<(ConnectionId, Progress)> = self
            .reports
            .iter()
            .filter(|(_, report)| report.progress.serving && old(report))
            .map(|(connection, report)| (*connection, report.progress))
            .collect();
        for (connection, progress) in silent {
            self.report(
                now,
                connection,
                Progress {
                    serving: false,
                    ..progress
                },
            );
        }
        while self
            .departed
            .front()
            .is_some_and(|departed| departed.until <= now)
        {
            self.departed.pop_front();
        }
    }

    /// How many of the departed are kept.
    pub fn departed(&self) -> usize {
        self.departed.len()
    }

    /// The sum. `name` tells the names of the laggards.
    pub fn summary(
        &self,
        now: Micros,
        revision: Revision,
        name: impl Fn(ConnectionId) -> Option<String>,
    ) -> ProgressSummary {
        let serving = u32::try_from(self.serving.len()).unwrap_or(u32::MAX);
        let watching = u32::try_from(self.reports.len()).unwrap_or(u32::MAX);
        let gone = self.departed.iter().filter(|departed| departed.until > now);
        let least_gone = gone.map(|departed| departed.applied).min();
        let least_here = self.serving.first().map(|(applied, _)| *applied);
        ProgressSummary {
            revision,
            serving,
            not_serving: watching - serving,
            least: least_here.into_iter().chain(least_gone).min(),
            behind: self.behind(now, revision),
            laggards: self
                .serving
                .iter()
                .take_while(|(applied, _)| *applied < revision)
                .take(LAGGARDS)
                .filter_map(|(applied, connection)| Some((name(*connection)?, *applied)))
                .collect(),
        }
    }

    /// Those that lack `revision`, by how long they have lacked the one after theirs.
    fn behind(&self, now: Micros, revision: Revision) -> [u32; 4] {
        let mut behind = [0; 4];
        for (applied, count) in self.counts.range(..revision) {
            let age = now.saturating_sub(self.arrived_after(*applied));
            let place = AGES.iter().take_while(|bound| age >= **bound).count();
            if let Some(number) = behind.get_mut(place) {
                *number += count;
            }
        }
        behind
    }

    /// When the first revision after `applied` came; for what is no longer known, the earliest known time.
    fn arrived_after(&self, applied: Revision) -> Micros {
        let place = self
            .arrivals
            .partition_point(|(revision, _)| *revision <= applied);
        self.arrivals.get(place).map_or(0, |(_, at)| *at)
    }
}
