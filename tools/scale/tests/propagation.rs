//! Tests of propagation delays, with reports made up by the tests.
#![allow(missing_docs, reason = "a test has no public items")]

use violetgate_scale::fleet_run::propagation::{
    in_force_at, in_force_reports, Change, InForceReport, InForceReports, PropagationDelays,
    SeenRevision,
};

/// Returns the report of one source from pairs of a change's number and the time at which it was in
/// force there.
fn reports<const N: usize>(changes: [(u64, u64); N]) -> InForceReports {
    let changes = changes.into_iter();
    changes
        .map(|(number, at)| InForceReport { number, at })
        .collect()
}

fn change(number: u64, due: u64, revision: u64) -> Change {
    Change {
        number,
        due,
        answered: due + 1,
        revision,
    }
}

/// The latest of all sources counts. A source that reports a change has all earlier changes in
/// force too.
#[test]
fn a_change_is_in_force_when_the_last_source_has_it() {
    let sources = [reports([(1, 100), (3, 300)]), reports([(2, 150), (3, 200)])];
    assert_eq!(in_force_at(&sources, 1), Some(150));
    assert_eq!(in_force_at(&sources, 2), Some(300));
    assert_eq!(in_force_at(&sources, 3), Some(300));
    assert_eq!(in_force_at(&sources, 4), None);
}

/// A source without reports has no change in force. Without sources, no change is in force.
#[test]
fn nothing_is_in_force_at_a_source_that_reported_nothing() {
    assert_eq!(in_force_at(&[reports([(1, 100)]), reports([])], 1), None);
    assert_eq!(in_force_at(&[], 1), None);
}

/// Delays are measured from the time at which a change was due, not from when it was answered.
#[test]
fn delays_count_from_when_a_change_was_due() {
    let changes = [change(1, 1_000_000, 11), change(2, 2_000_000, 12)];
    let sources = [reports([(1, 1_500_000), (2, 4_000_000)])];
    let delays = PropagationDelays::of(&changes, &sources);
    assert_eq!(delays.sorted, [500_000, 2_000_000]);
    assert_eq!((delays.quantile(0.5), delays.quantile(0.99)), (0.5, 2.0));
}

/// Quantiles are NaN if a change was never in force, or if there was no change. NaN fails every
/// bound, so such a run can't pass.
#[test]
fn quantiles_are_nan_if_a_change_was_never_in_force() {
    let changes = [change(1, 0, 11), change(2, 0, 12)];
    let delays = PropagationDelays::of(&changes, &[reports([(1, 5)])]);
    assert_eq!(delays.never_in_force, 1);
    assert!(delays.quantile(0.5).is_nan());
    assert!(PropagationDelays::of(&[], &[reports([(1, 5)])])
        .quantile(0.5)
        .is_nan());
}

/// Quantiles of a hundred delays are found by the nearest rank.
#[test]
fn quantiles_are_of_the_nearest_rank() {
    let delays = PropagationDelays {
        sorted: (1..=100).map(|n| n * 10_000).collect(),
        never_in_force: 0,
    };
    assert_eq!(
        (
            delays.quantile(0.5),
            delays.quantile(0.99),
            delays.quantile(1.0)
        ),
        (0.5, 0.99, 1.0)
    );
}

/// A revision counts as the last change that it includes. A revision that includes no further
/// change is skipped.
#[test]
fn revisions_count_as_the_last_change_that_they_hold() {
    let changes = [change(1, 0, 10), change(2, 0, 12), change(3, 0, 15)];
    let revisions = [(9, 1), (10, 2), (11, 3), (14, 4), (20, 5)]
        .map(|(revision, at)| SeenRevision { revision, at });
    assert_eq!(
        in_force_reports(&revisions, &changes),
        reports([(1, 2), (2, 4), (3, 5)])
    );
}
