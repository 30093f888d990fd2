//! Simulates many gateways in front of an engine that is warming up, and checks the sum of the
//! queries that they send.

use violetgate_acceptance::slow_start::{largest_fraction_of_capacity, send_times};
use violetgate_acceptance::Verdict;

use crate::Arguments;

/// The number of seeds for each setting.
const SEEDS: u64 = 20;
const SHORT_SEEDS: u64 = 3;
/// The settings: the number of gateways and the number of cores of the engine.
const SETTINGS: [(u32, f64); 5] = [(2, 8.0), (20, 8.0), (30, 8.0), (300, 8.0), (300, 32.0)];

/// Checks that the largest sum over all settings is within the engine's capacity plus the allowance
/// for random variation.
pub fn check(arguments: &Arguments, verdict: &mut Verdict) {
    let largest = SETTINGS.map(|(gateways, cores)| largest_fraction(arguments, gateways, cores));
    let largest = largest.into_iter().fold(0.0, f64::max);
    verdict.at_most("cold_sum_share", largest, 1.0);
}

fn largest_fraction(arguments: &Arguments, gateways: u32, cores: f64) -> f64 {
    let count = if arguments.short { SHORT_SEEDS } else { SEEDS };
    let fraction = |seed| largest_fraction_of_capacity(&send_times(gateways, cores, seed), cores);
    let seeds = arguments.seed..arguments.seed + count;
    let largest = seeds.map(fraction).fold(0.0, f64::max);
    println!(
        "{gateways} gateways, cold engine with {cores} cores: {largest:.3} of capacity + allowance"
    );
    largest
}
