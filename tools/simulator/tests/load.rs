//! What cases cost is counted, the same each time, and tells when all views are right.

use std::time::Duration;

use violetgate_membership::MembershipConfig;
use violetgate_simulator::load::{play, Case, Load};

fn played(case: Case) -> Load {
    play(
        case,
        24,
        &MembershipConfig::default(),
        7,
        Duration::from_secs(600),
    )
}

/// The same seed gives the same counts.
#[test]
fn counts_do_not_depend_on_the_machine() {
    let (first, again) = (played(Case::Start), played(Case::Start));
    let counts = |l: &Load| {
        (
            l.bytes_per_s,
            l.busiest_bytes_per_s,
            l.messages_per_s,
            l.known_s,
            l.burst_bytes,
        )
    };
    assert_eq!(counts(&first), counts(&again));
    assert!(first.known_s.is_some_and(|known| known < 10.0), "{first:?}");
}

/// A fleet at rest sends little, and nobody that runs is declared dead unless a cut hides it.
#[test]
fn each_case_ends_with_right_views() {
    let rest = played(Case::Rest);
    assert!(
        rest.bytes_per_s < 1_000.0 && rest.peak_bytes_per_s >= rest.bytes_per_s,
        "{rest:?}"
    );
    for case in [Case::Change, Case::Fifth, Case::Rollout] {
        let load = played(case);
        assert!(
            load.known_s.is_some() && load.false_declarations == 0,
            "{case:?}: {load:?}"
        );
    }
    let halves = played(Case::Halves);
    assert!(
        halves.known_s.is_some() && halves.false_declarations > 0,
        "{halves:?}"
    );
}
