//! When a change was in force everywhere, from made-up reports.
#![allow(missing_docs, reason = "a test has no public items")]

use violetgate_scale::fleet_run::propagation::{
    in_force_at, reached_changes, Change, PropagationDelays, Reached, ReachedChange, SeenRevision,
};

/// What one source reports: numbers of changes, and when they were in force there.
fn reached<const N: usize>(changes: [(u64, u64); N]) -> Reached {
    let changes = changes.into_iter();
    changes
        .map(|(number, at)| ReachedChange { number, at })
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

/// The last source counts, and a later change stands for those before it.
#[test]
fn a_change_is_in_force_when_the_last_source_has_it() {
    let sources = [reached([(1, 100), (3, 300)]), reached([(2, 150), (3, 200)])];
    assert_eq!(in_force_at(&sources, 1), Some(150));
    assert_eq!(in_force_at(&sources, 2), Some(300));
    assert_eq!(in_force_at(&sources, 3), Some(300));
    assert_eq!(in_force_at(&sources, 4), None);
}

/// A source that reported nothing has nothing in force; without any source nothing is.
#[test]
fn nothing_is_in_force_at_a_source_that_reported_nothing() {
    assert_eq!(in_force_at(&[reached([(1, 100)]), reached([])], 1), None);
    assert_eq!(in_force_at(&[], 1), None);
}

/// Delays count from when a change was due.
#[test]
fn delays_count_from_when_a_change_was_due() {
    let changes = [change(1, 1_000_000, 11), change(2, 2_000_000, 12)];
    let sources = [reached([(1, 1_500_000), (2, 4_000_000)])];
    let delays = PropagationDelays::of(&changes, &sources);
    assert_eq!(delays.sorted, [500_000, 2_000_000]);
    assert_eq!((delays.quantile(0.5), delays.quantile(0.99)), (0.5, 2.0));
}

/// A change that never was in force, and no change at all, make no quantile: bounds are missed
/// then.
#[test]
fn quantiles_are_no_number_if_a_change_was_never_in_force() {
    let changes = [change(1, 0, 11), change(2, 0, 12)];
    let delays = PropagationDelays::of(&changes, &[reached([(1, 5)])]);
    assert_eq!(delays.never, 1);
    assert!(delays.quantile(0.5).is_nan());
    assert!(PropagationDelays::of(&[], &[reached([(1, 5)])])
        .quantile(0.5)
        .is_nan());
}

/// The nearest rank, over a hundred delays.
#[test]
fn quantiles_are_of_the_nearest_rank() {
    let delays = PropagationDelays {
        sorted: (1..=100).map(|n| n * 10_000).collect(),
        never: 0,
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

/// Revisions become the changes that they hold; others in between are none.
#[test]
fn revisions_count_as_the_last_change_that_they_hold() {
    let changes = [change(1, 0, 10), change(2, 0, 12), change(3, 0, 15)];
    let revisions = [(9, 1), (10, 2), (11, 3), (14, 4), (20, 5)]
        .map(|(revision, at)| SeenRevision { revision, at });
    assert_eq!(
        reached_changes(&revisions, &changes),
        reached([(1, 2), (2, 4), (3, 5)])
    );
}
