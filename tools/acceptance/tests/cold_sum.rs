//! Cold engines fall under the sum of what all gateways send, so that sum is held to what they bear, in injected time.

use violetgate_acceptance::cold::{bears, largest_share, sent_by, FALL};

/// Two gateways or three hundred, small engines or large: their sum stays within the budget and its chance in every span.
/// All hear of the engine at once, and all drew their first chance at once beside the one of the span: a crowd at the
/// start of one and a half times what was meant.
#[test]
fn the_sum_of_all_gateways_stays_within_what_a_cold_engine_bears() {
    for gateways in [2, 20, 30, 300] {
        for cores in [1.0, 4.0, 8.0, 32.0] {
            for seed in 1..=6 {
                let share = largest_share(&sent_by(gateways, cores, seed), cores);
                assert!(
                    share <= 1.0,
                    "{gateways} gateways, {cores} cores, seed {seed}: {share:.3}"
                );
            }
        }
    }
}

/// The ramp is used: what all send in the engine's first seconds is a good part of what it then bears, so that it
/// relieves the others.
#[test]
fn a_cold_engine_is_used_while_it_warms() {
    for gateways in [2, 20, 30, 300] {
        let early = sent_by(gateways, 8.0, 3)
            .iter()
            .filter(|t| **t < 2 * FALL)
            .count() as f64;
        let borne = 2.0 * bears(8.0, 0);
        assert!(
            early >= 0.3 * borne,
            "{gateways} gateways: {early} of {borne:.0}"
        );
    }
}
