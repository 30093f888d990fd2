//! An engine that is warming up collapses under the sum of what all gateways send, so that sum is
//! held to its capacity, in simulated time.

use violetgate_acceptance::slow_start::{
    capacity_in_window, largest_fraction_of_capacity, send_times, COLLAPSE_WINDOW,
};

/// Two gateways or three hundred, small engines or large: their sum is within the engine's
/// capacity, with its chance, in every window. All see the engine at the same moment, and if each
/// drew its first send in that moment, half as much again as intended would come at the start.
#[test]
fn the_sum_over_all_gateways_is_within_the_capacity_of_a_warming_engine() {
    for gateways in [2, 20, 30, 300] {
        for cores in [1.0, 4.0, 8.0, 32.0] {
            for seed in 1..=6 {
                let sends = send_times(gateways, cores, seed);
                let fraction = largest_fraction_of_capacity(&sends, cores);
                assert!(
                    fraction <= 1.0,
                    "{gateways} gateways, {cores} cores, seed {seed}: {fraction:.3}"
                );
            }
        }
    }
}

/// The ramp is used: what all send in the engine's first seconds is a good part of its
/// capacity then, so that it relieves the others.
#[test]
fn a_warming_engine_serves_while_it_warms_up() {
    for gateways in [2, 20, 30, 300] {
        let sends = send_times(gateways, 8.0, 3);
        let early = sends.iter().filter(|at| **at < 2 * COLLAPSE_WINDOW).count() as f64;
        let capacity = 2.0 * capacity_in_window(8.0, 0);
        assert!(
            early >= 0.3 * capacity,
            "{gateways} gateways: {early} of {capacity:.0}"
        );
    }
}
