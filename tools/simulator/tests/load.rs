//! Tests that the measured load of a case is deterministic, and that each case ends with correct
//! views.

use std::time::Duration;

use violetgate_membership::MembershipConfig;
use violetgate_simulator::load::{simulate, Case, Load};

fn simulate_small_fleet(case: Case) -> Load {
    let time_limit = Duration::from_secs(600);
    simulate(case, 24, &MembershipConfig::default(), 7, time_limit)
}

#[test]
fn same_seed_gives_the_same_counts() {
    let first = simulate_small_fleet(Case::Start);
    let again = simulate_small_fleet(Case::Start);
    let counts = |load: &Load| {
        (
            load.bytes_per_s,
            load.busiest_bytes_per_s,
            load.messages_per_s,
            load.known_s,
            load.burst_bytes,
        )
    };
    assert_eq!(counts(&first), counts(&again));
    assert!(first.known_s.is_some_and(|known| known < 10.0), "{first:?}");
}

/// A fleet at rest sends little, and a running member is declared dead only if a cut separates it.
#[test]
fn each_case_ends_with_correct_views() {
    let rest = simulate_small_fleet(Case::Rest);
    assert!(
        rest.bytes_per_s < 1_000.0 && rest.peak_bytes_per_s >= rest.bytes_per_s,
        "{rest:?}"
    );
    for case in [Case::Change, Case::Fifth, Case::Rollout] {
        let load = simulate_small_fleet(case);
        assert!(
            load.known_s.is_some() && load.false_declarations == 0,
            "{case:?}: {load:?}"
        );
    }
    let halves = simulate_small_fleet(Case::Halves);
    assert!(
        halves.known_s.is_some() && halves.false_declarations > 0,
        "{halves:?}"
    );
}
