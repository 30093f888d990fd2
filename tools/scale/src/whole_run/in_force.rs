//! When a change was in force at all live front ends, from what several sources report.

use violetgate_replicated_state::{Micros, Revision};

/// A change that was answered as done.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Change {
    /// Its number; changes are numbered from 1 without a gap.
    pub number: u64,
    /// When it was due to be asked for.
    pub due: Micros,
    /// When it was answered.
    pub answered: Micros,
    /// The revision that it made.
    pub revision: Revision,
}

/// What one source reported: a change, and from when on it and all before it were in force there; in order.
pub type Reached = Vec<(u64, Micros)>;

/// When a change was in force at all sources; `None`: at one of them it never was.
#[must_use]
pub fn in_force_at(sources: &[Reached], change: u64) -> Option<Micros> {
    let at = |reached: &Reached| {
        let from = reached.partition_point(|(reached, _)| *reached < change);
        reached.get(from).map(|(_, at)| *at)
    };
    let mut latest = None;
    for source in sources {
        latest = latest.max(Some(at(source)?));
    }
    latest
}

/// How long changes took until they were in force everywhere, and how many never were.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Delays {
    /// Each from when the change was due, in order of length.
    pub sorted: Vec<Micros>,
    /// Changes that were in force nowhere, or not everywhere.
    pub never: usize,
}

impl Delays {
    /// The delays of some changes.
    #[must_use]
    pub fn of<'a>(changes: impl IntoIterator<Item = &'a Change>, sources: &[Reached]) -> Self {
        let mut delays = Delays::default();
        for change in changes {
            match in_force_at(sources, change.number) {
                Some(at) => delays.sorted.push(at.saturating_sub(change.due)),
                None => delays.never += 1,
            }
        }
        delays.sorted.sort_unstable();
        delays
    }

    /// A quantile in seconds, by the nearest rank; not a number where there are none, or one was never in force.
    #[must_use]
    pub fn quantile(&self, quantile: f64) -> f64 {
        if self.never > 0 {
            return f64::NAN;
        }
        let rank = (quantile * self.sorted.len() as f64).ceil().max(1.0) as usize;
        self.sorted
            .get(rank - 1)
            .map_or(f64::NAN, |delay| *delay as f64 / 1e6)
    }
}

/// What a source that reports revisions has reached, as changes; `changes` are in order.
#[must_use]
pub fn reached_changes(revisions: &[(Revision, Micros)], changes: &[Change]) -> Reached {
    let last = |revision| changes.partition_point(|change| change.revision <= revision);
    let numbered = revisions.iter().filter_map(|(revision, at)| {
        let change = last(*revision)
            .checked_sub(1)
            .and_then(|index| changes.get(index))?;
        Some((change.number, *at))
    });
    let mut reached: Reached = Vec::new();
    for (number, at) in numbered {
        if reached.last().is_none_or(|(before, _)| number > *before) {
            reached.push((number, at));
        }
    }
    reached
}
