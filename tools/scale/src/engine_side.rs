//! Counts connections between gateways and engines, with engines chosen by the real decision
//! module: how many connections a gateway holds, and how many gateways an engine has connections
//! from.
//!
//! A gateway uses one connection to an engine for all its statements there, and closes it after an
//! idle timeout. So its connections are the distinct engines that it sent to within that time.

use std::collections::{BTreeMap, BTreeSet};

use violetgate_policy::interface::EngineId;

use crate::error::ScaleError;
use crate::figures::{Figures, Options};
use crate::gateway_driver::{max_in_flight, settings, GatewayDriver, STATEMENTS_PER_SECOND, ZONES};
use crate::slope::MeasuredRole;

const ROLE: MeasuredRole = MeasuredRole {
    name: "engine_side",
    size_of: "engines",
    target: ENGINES as f64,
};
/// Engines and gateways of the fleet at full size. Smaller fleets keep the proportion of the two.
const ENGINES: u32 = 12_000;
const GATEWAYS: u32 = 7_600;
/// Numbers of engines in the fleets that are simulated.
const SIZES: [u32; 5] = [150, 300, 450, 600, 800];
const SHORT_SIZES: [u32; 3] = [100, 150, 300];
/// The maximum number of connections to engines that a gateway opens: a quarter of its descriptors.
/// Half of the descriptors are for its 2,240 clients.
const MAX_ENGINE_CONNECTIONS: f64 = 1_120.0;
/// An engine counts as preferred if it received more than this many times as many statements as the
/// mean engine of its zone.
const PREFERRED_FACTOR: f64 = 10.0;
/// How long an idle connection to an engine stays open, in seconds, in the settings of the fake
/// engines.
const IDLE_TIMEOUT_S: u64 = 30;
/// Statements that are simulated for a gateway at full size. The connections after a whole idle
/// timeout are extrapolated from them.
const STATEMENTS_AT_FULL_SIZE: u64 = 1_500;
/// Statements of each gateway when all gateways of a fleet are simulated.
const STATEMENTS_IN_FLEET: u64 = 400;
const SHORT_STATEMENTS_IN_FLEET: u64 = 60;
/// Engines of the fleet whose gateways are all simulated.
const FLEET_ENGINES: u32 = 300;
const SHORT_FLEET_ENGINES: u32 = 80;
/// One in this many gateways is replaced.
const REPLACEMENT_INTERVAL: u32 = 10;
/// An odd multiplier that makes the seeds of gateways differ in many bits.
const SEED_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Counts connections by simulation, and extrapolates those at full size.
///
/// # Errors
///
/// Returns an error if the decision module refuses the settings.
pub fn measure(options: &Options, figures: &mut Figures) -> Result<(), ScaleError> {
    let mut slope = ROLE.slope("front_end", "connections", Some(MAX_ENGINE_CONNECTIONS));
    let sizes = options.select(&SHORT_SIZES[..], &SIZES[..]);
    let window = options.select(
        STATEMENTS_PER_SECOND,
        STATEMENTS_PER_SECOND * IDLE_TIMEOUT_S,
    );
    for &engines in sizes {
        let sent = simulate_gateway(options.seed, 0, engines, window)?;
        let distinct: BTreeSet<_> = sent.iter().collect();
        slope.push(f64::from(engines), distinct.len() as f64);
        if options.short {
            // The gateway's own zone has enough capacity, so the gateway sends to no other zone.
            let connections = distinct.len() as f64;
            let zone_engines = f64::from(engines / ZONES);
            figures.at_most(
                &format!("engine_side_front_end_at_{engines}_connections"),
                connections,
                zone_engines,
            );
        }
    }
    if !options.short {
        slope.record(figures);
        at_full_size(options.seed, figures)?;
    }
    simulate_fleet(options, figures)
}

fn gateways_for(engines: u32) -> u32 {
    (engines * GATEWAYS / ENGINES).max(1)
}

/// Simulates one gateway of a fleet, and returns the engine of each of its statements.
fn simulate_gateway(
    seed: u64,
    gateway: u32,
    engines: u32,
    statements: u64,
) -> Result<Vec<EngineId>, ScaleError> {
    let gateways = gateways_for(engines);
    let mut settings = settings(gateways)?;
    settings.zone = Some(gateway % ZONES);
    let gateway_seed = seed
        .wrapping_add(u64::from(gateway) + 1)
        .wrapping_mul(SEED_MULTIPLIER);
    let mut driver = GatewayDriver::new(
        settings,
        gateway_seed,
        engines,
        max_in_flight(gateways, engines),
    );
    (0..statements).for_each(|_| driver.send_statement());
    Ok(driver.sent().to_vec())
}

/// Simulates one gateway at full size for a part of the idle timeout. The engines that it used far
/// more often than the mean are its preferred ones. All other statements are assumed to go evenly
/// to the engines of its zone, which gives the connections after a whole idle timeout.
fn at_full_size(seed: u64, figures: &mut Figures) -> Result<(), ScaleError> {
    let sent = simulate_gateway(seed, 0, ENGINES, STATEMENTS_AT_FULL_SIZE)?;
    let mut times: BTreeMap<EngineId, u64> = BTreeMap::new();
    sent.iter()
        .for_each(|engine| *times.entry(*engine).or_default() += 1);
    let zone_engines = f64::from(ENGINES / ZONES);
    let usual = (sent.len() as f64 / zone_engines).max(1.0);
    let preferred: Vec<u64> = times
        .values()
        .copied()
        .filter(|times| *times as f64 > PREFERRED_FACTOR * usual)
        .collect();
    let sent_to_preferred: u64 = preferred.iter().sum();
    let elsewhere = 1.0 - sent_to_preferred as f64 / sent.len().max(1) as f64;
    let evenly_sent = elsewhere * (STATEMENTS_PER_SECOND * IDLE_TIMEOUT_S) as f64;
    let others = zone_engines - preferred.len() as f64;
    let connections = preferred.len() as f64 + others * (1.0 - (-evenly_sent / zone_engines).exp());
    let seen = connections * f64::from(GATEWAYS) / f64::from(ENGINES);
    println!(
        "engine_side: at {ENGINES} engines a front end prefers {} and sends {:.1}% elsewhere, to {} engines in {} \
         statements; extrapolated to {IDLE_TIMEOUT_S} s: {connections:.0} connections, {seen:.0} per engine",
        preferred.len(),
        100.0 * elsewhere,
        times.len(),
        sent.len(),
    );
    figures.add("engine_side_kept_to_engines", preferred.len());
    figures.add_number("engine_side_sent_elsewhere_percent", 100.0 * elsewhere);
    figures.add("engine_side_met_in_1500_statements_engines", times.len());
    figures.add_number("engine_side_front_end_reckoned_connections", connections);
    figures.add_number("engine_side_engine_reckoned_connections", seen);
    Ok(())
}

/// Simulates every gateway of a small fleet, then the same fleet with a tenth of its gateways
/// replaced.
fn simulate_fleet(options: &Options, figures: &mut Figures) -> Result<(), ScaleError> {
    let (engines, statements) = options.select(
        (SHORT_FLEET_ENGINES, SHORT_STATEMENTS_IN_FLEET),
        (FLEET_ENGINES, STATEMENTS_IN_FLEET),
    );
    let gateways = gateways_for(engines);
    let engines_of = |gateway| {
        let sent = simulate_gateway(options.seed, gateway, engines, statements)?;
        Ok(sent.into_iter().collect::<BTreeSet<_>>())
    };
    let mut engines_by_gateway = (0..gateways)
        .map(engines_of)
        .collect::<Result<Vec<_>, ScaleError>>()?;
    add_seen("before", &engines_by_gateway, engines, figures);
    // A replacement has a seed of its own and the zone of the gateway that it replaces.
    let step = gateways.div_ceil(ZONES) * ZONES;
    for (gateway, engines_met) in (0..gateways).zip(&mut engines_by_gateway) {
        if gateway % REPLACEMENT_INTERVAL == 0 {
            *engines_met = engines_of(gateway + step)?;
        }
    }
    add_seen("replaced", &engines_by_gateway, engines, figures);
    Ok(())
}

fn add_seen(
    when: &str,
    engines_by_gateway: &[BTreeSet<EngineId>],
    engines: u32,
    figures: &mut Figures,
) {
    let mut seen: BTreeMap<EngineId, u32> = (0..engines).map(|engine| (engine, 0)).collect();
    engines_by_gateway
        .iter()
        .flatten()
        .for_each(|engine| *seen.entry(*engine).or_default() += 1);
    let all: u32 = seen.values().sum();
    let busiest = seen.values().max().copied().unwrap_or(0);
    let mean = f64::from(all) / f64::from(engines);
    let gateways = engines_by_gateway.len();
    println!(
        "engine_side: {gateways} front ends, {engines} engines, {when}: {:.1} connections per front end, \
         {mean:.1} per engine, {busiest} at the busiest engine",
        f64::from(all) / gateways as f64
    );
    figures.add_number(
        &format!("engine_side_{when}_front_end_mean_connections"),
        f64::from(all) / gateways as f64,
    );
    figures.add_number(&format!("engine_side_{when}_engine_mean_connections"), mean);
    figures.add(
        &format!("engine_side_{when}_busiest_engine_connections"),
        busiest,
    );
}
