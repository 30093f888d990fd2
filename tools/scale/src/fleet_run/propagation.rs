//! Determines when a change was in force at all live gateways, from the reports of several sources.

use violetgate_replicated_state::{Micros, Revision};

/// A change that was answered as done.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Change {
    /// The number of the change; changes are numbered from 1 without gaps.
    pub number: u64,
    /// The time at which the change was due to be requested.
    pub due: Micros,
    /// The time at which the change was answered.
    pub answered: Micros,
    /// The revision that the change made.
    pub revision: Revision,
}

/// A source's report that a change and all earlier ones are in force there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InForceReport {
    /// The number of the change.
    pub number: u64,
    /// The time since which the change is in force.
    pub at: Micros,
}

/// The reports of one source, in order of numbers and times.
pub type InForceReports = Vec<InForceReport>;

/// A revision, and when it was first seen in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SeenRevision {
    /// The revision that was in force.
    pub revision: Revision,
    /// The time at which the revision was first seen.
    pub at: Micros,
}

/// Returns the time from which a change was in force at all sources, or `None` if there is a source
/// where it never was, or no source.
#[must_use]
pub fn in_force_at(sources: &[InForceReports], number: u64) -> Option<Micros> {
    let in_force_at_source = |reports: &InForceReports| {
        let first = reports.partition_point(|change| change.number < number);
        reports.get(first).map(|change| change.at)
    };
    let mut latest = None;
    for source in sources {
        latest = latest.max(Some(in_force_at_source(source)?));
    }
    latest
}

/// The delays until changes were in force everywhere, and the number of changes that never were.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PropagationDelays {
    /// The delays from the time at which a change was due, in microseconds, the shortest first.
    pub sorted: Vec<Micros>,
    /// The number of changes that were not in force at every source.
    pub never_in_force: usize,
}

impl PropagationDelays {
    /// Computes the delays of `changes` from the reports of `sources`.
    #[must_use]
    pub fn of<'a>(
        changes: impl IntoIterator<Item = &'a Change>,
        sources: &[InForceReports],
    ) -> Self {
        let mut delays = PropagationDelays::default();
        for change in changes {
            match in_force_at(sources, change.number) {
                Some(at) => delays.sorted.push(at.saturating_sub(change.due)),
                None => delays.never_in_force += 1,
            }
        }
        delays.sorted.sort_unstable();
        delays
    }

    /// Returns a quantile of the delays in seconds, by the nearest rank. Returns NaN if there are
    /// no delays, or if a change was never in force.
    #[must_use]
    pub fn quantile(&self, quantile: f64) -> f64 {
        if self.never_in_force > 0 {
            return f64::NAN;
        }
        let rank = (quantile * self.sorted.len() as f64).ceil().max(1.0) as usize;
        let delay = self.sorted.get(rank - 1);
        delay.map_or(f64::NAN, |delay| *delay as f64 / 1e6)
    }
}

/// Converts the revisions that a source reported to the changes that they include. `changes` have
/// to be in order.
#[must_use]
pub fn in_force_reports(revisions: &[SeenRevision], changes: &[Change]) -> InForceReports {
    let last_change_in = |revision| {
        let count = changes.partition_point(|change| change.revision <= revision);
        changes.get(count.checked_sub(1)?)
    };
    let mut reports: InForceReports = Vec::new();
    for seen in revisions {
        let Some(change) = last_change_in(seen.revision) else {
            continue;
        };
        let is_later = |last: &InForceReport| change.number > last.number;
        if reports.last().is_none_or(is_later) {
            reports.push(InForceReport {
                number: change.number,
                at: seen.at,
            });
        }
    }
    reports
}
