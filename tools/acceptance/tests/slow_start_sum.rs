//! Checks in simulated time that the queries of all gateways together stay within the capacity of
//! an engine that is warming up. The engine would collapse above it.

use violetgate_acceptance::slow_start::{
    capacity_in_window, largest_fraction_of_capacity, send_times, COLLAPSE_WINDOW,
};

/// For few and many gateways, and for small and large engines, the sum in every window stays within
/// the engine's capacity plus the allowance for random variation. All gateways see the engine at
/// the same time. If each gateway drew the random time of its first send when it sees the engine,
/// 1.5 times the intended queries would arrive at the start.
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

/// The slow start must not keep queries away: in the engine's first four seconds, all gateways
/// together send at least 30 % of its capacity in that time, so that it relieves the other engines.
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
