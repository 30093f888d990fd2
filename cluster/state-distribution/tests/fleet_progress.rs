//! Tests the progress of gateways, summed over subscribers and observers.
#![allow(
    clippy::unwrap_used,
    clippy::panic,
    clippy::indexing_slicing,
    reason = "a failed step fails the test"
)]

mod common;
mod pair;

use common::MS;
use pair::Pair;
use violetgate_replicated_state::Store;
use violetgate_state_distribution::*;

#[test]
fn progress_is_summed_over_subscribers_and_observers() {
    let mut pair = Pair::new(Store::default());
    (0..20).for_each(|_| {
        pair.advance(100 * MS);
        pair.complete_reads(ReadResult::Current);
    });
    pair.change("a", "1");
    (0..10).for_each(|_| {
        pair.advance(100 * MS);
        pair.complete_reads(ReadResult::Current);
    });
    let summary = pair.observer.progress(pair.now);
    assert_eq!(
        (summary.serving, summary.not_serving, summary.least_applied),
        (1, 0, Some(1))
    );
    let mut fleet = FleetProgress::default();
    fleet.report(pair.now, 1, summary);
    let totals = fleet.record(pair.now, 1_000 * MS);
    assert_eq!(
        (totals.observers, totals.serving, totals.in_force),
        (1, 1, 1)
    );
    assert_eq!(fleet.in_force().count(), 1);
    let later = fleet.totals(pair.now + 60_000 * MS, 1_000 * MS);
    assert_eq!(
        (later.silent_observers, later.serving, later.in_force),
        (1, 0, 0)
    );
}

#[test]
fn a_silent_observer_limits_what_is_in_force_for_a_while() {
    let summary = |least| ProgressSummary {
        revision: 9,
        serving: 10,
        least_applied: Some(least),
        laggards: vec![Laggard {
            name: format!("at-{least}"),
            applied: least,
        }],
        ..ProgressSummary::default()
    };
    let mut fleet = FleetProgress::default();
    fleet.report(0, 1, summary(7));
    fleet.report(4_000 * MS, 2, summary(9));
    let totals = fleet.totals(4_000 * MS, 2_000 * MS);
    assert_eq!(
        (totals.observers, totals.silent_observers, totals.serving),
        (1, 1, 10)
    );
    assert_eq!((totals.in_force, totals.laggards.len()), (7, 1));
    assert_eq!(fleet.totals(5_500 * MS, 2_000 * MS).in_force, 9);
    fleet.forget(1);
    assert_eq!(fleet.totals(4_000 * MS, 2_000 * MS).in_force, 9);
}
