//! When a change was in force at all live gateways, from what several sources report.

use violetgate_replicated_state::{Micros, Revision};

/// A change that was answered as done.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Change {
    /// Its number; changes are numbered from 1 without a gap.
    pub number: u64,
    /// When it was due to be requested.
    pub due: Micros,
    /// When it was answered.
    pub answered: Micros,
    /// The revision that it made.
    pub revision: Revision,
}

/// A change from a source's point of view: from when on it and all before it were in force there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReachedChange {
    /// The number of the change.
    pub number: u64,
    /// When.
    pub at: Micros,
}

/// What one source reported, in order.
pub type Reached = Vec<ReachedChange>;

/// A revision, and when it was first seen in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SeenRevision {
    /// The revision.
    pub revision: Revision,
    /// When.
    pub at: Micros,
}

/// When a change was in force at all sources; `None`: at one of them it never was.
#[must_use]
pub fn in_force_at(sources: &[Reached], number: u64) -> Option<Micros> {
    let in_force_at_source = |reached: &Reached| {
        let first = reached.partition_point(|change| change.number < number);
        reached.get(first).map(|change| change.at)
    };
    let mut latest = None;
    for source in sources {
        latest = latest.max(Some(in_force_at_source(source)?));
    }
    latest
}

/// How long changes took until they were in force everywhere, and how many never were.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PropagationDelays {
    /// Each from when the change was due, in order of length.
    pub sorted: Vec<Micros>,
    /// Changes that were in force nowhere, or not everywhere.
    pub never: usize,
}

impl PropagationDelays {
    /// The delays of some changes.
    #[must_use]
    pub fn of<'a>(changes: impl IntoIterator<Item = &'a Change>, sources: &[Reached]) -> Self {
        let mut delays = PropagationDelays::default();
        for change in changes {
            match in_force_at(sources, change.number) {
                Some(at) => delays.sorted.push(at.saturating_sub(change.due)),
                None => delays.never += 1,
            }
        }
        delays.sorted.sort_unstable();
        delays
    }

    /// A quantile in seconds, by the nearest rank; not a number where there are none, or one was
    /// never in force.
    #[must_use]
    pub fn quantile(&self, quantile: f64) -> f64 {
        if self.never > 0 {
            return f64::NAN;
        }
        let rank = (quantile * self.sorted.len() as f64).ceil().max(1.0) as usize;
        let delay = self.sorted.get(rank - 1);
        delay.map_or(f64::NAN, |delay| *delay as f64 / 1e6)
    }
}

/// What a source that reports revisions has reached, as changes; `changes` are in order.
#[must_use]
pub fn reached_changes(revisions: &[SeenRevision], changes: &[Change]) -> Reached {
    let last_change_in = |revision| {
        let count = changes.partition_point(|change| change.revision <= revision);
        changes.get(count.checked_sub(1)?)
    };
    let mut reached: Reached = Vec::new();
    for seen in revisions {
        let Some(change) = last_change_in(seen.revision) else {
            continue;
        };
        let is_later = |last: &ReachedChange| change.number > last.number;
        if reached.last().is_none_or(is_later) {
            reached.push(ReachedChange {
                number: change.number,
                at: seen.at,
            });
        }
    }
    reached
}
