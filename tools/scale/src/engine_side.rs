//! Connections between front ends and engines, by the module's own choice of engines: how many engines a front end
//! sends to before an idle connection is closed, and how many front ends an engine sees.
//!
//! A front end shares one connection to an engine among all its statements there, and closes it after an idle time, so
//! its connections are the distinct engines that it sent to within that time.

use std::collections::{BTreeMap, BTreeSet};

use violetgate_policy::interface::EngineId;

use crate::error::ScaleError;
use crate::figures::{Figures, Options};
use crate::gateway_driver::{most_out, settings, Driver, STATEMENTS_PER_SECOND, ZONES};
use crate::slope::{Budget, Slope};

const ROLE: &str = "engine_side";
/// Engines for each front end, as at the size that has to be carried.
const ENGINES: u32 = 12_000;
const GATEWAYS: u32 = 7_600;
/// Fleets of the same proportion that are simulated.
const SIZES: [u32; 5] = [150, 300, 450, 600, 800];
const SHORT_SIZES: [u32; 3] = [100, 150, 300];
/// Connections to engines that the program opens at most: a quarter of its descriptors, half of which are for its
/// 2,240 clients.
const ENGINE_CONNECTIONS: f64 = 1_120.0;
/// An engine that got this many times the mean of its zone is one that the front end keeps to.
const KEPT_TO: f64 = 10.0;
/// How long an engine leaves an idle connection open, in seconds, as the stand-in's settings have it.
const IDLE_CLOSE_S: u64 = 30;
/// Statements that are driven through a front end at full size; the rest of the idle time is reckoned.
const STATEMENTS_AT_FULL_SIZE: u64 = 1_500;
/// Statements of each front end where the whole fleet is simulated.
const STATEMENTS_IN_FLEET: u64 = 400;
const SHORT_STATEMENTS_IN_FLEET: u64 = 60;
/// The fleet that is simulated as a whole.
const FLEET_ENGINES: u32 = 300;
const SHORT_FLEET_ENGINES: u32 = 80;
/// One front end in so many is replaced.
const REPLACED: u32 = 10;
/// An odd number that spreads seeds.
const SPREAD: u64 = 0x9e37_79b9_7f4a_7c15;

/// Counts connections by simulation, and reckons those at full size.
///
/// # Errors
///
/// The module refuses the settings.
pub fn measure(options: &Options, figures: &mut Figures) -> Result<(), ScaleError> {
    let mut slope = Slope {
        role: ROLE,
        name: "front_end",
        unit: "connections",
        size_of: "engines",
        budget: Some(Budget {
            cost: ENGINE_CONNECTIONS,
            target: f64::from(ENGINES),
        }),
        points: Vec::new(),
    };
    let sizes = if options.short {
        &SHORT_SIZES[..]
    } else {
        &SIZES[..]
    };
    let window = if options.short {
        STATEMENTS_PER_SECOND
    } else {
        STATEMENTS_PER_SECOND * IDLE_CLOSE_S
    };
    for &engines in sizes {
        let sent = sent_by(options.seed, 0, engines, window)?;
        let distinct: BTreeSet<_> = sent.iter().collect();
        slope.push(f64::from(engines), distinct.len() as f64);
        if options.short {
            // It finds room among the engines of its own zone, and goes no further.
            let (met, zone) = (distinct.len() as f64, f64::from(engines / ZONES));
            figures.at_most(
                &format!("engine_side_front_end_at_{engines}_connections"),
                met,
                zone,
            );
        }
    }
    if !options.short {
        slope.record(figures);
        at_full_size(options.seed, figures)?;
    }
    whole_fleet(options, figures)
}

fn gateways_before(engines: u32) -> u32 {
    (engines * GATEWAYS / ENGINES).max(1)
}

/// Where one front end of a fleet sends its statements.
fn sent_by(
    seed: u64,
    front_end: u32,
    engines: u32,
    statements: u64,
) -> Result<Vec<EngineId>, ScaleError> {
    let gateways = gateways_before(engines);
    let mut settings = settings(gateways)?;
    settings.zone = Some(front_end % ZONES);
    let own = seed
        .wrapping_add(u64::from(front_end) + 1)
        .wrapping_mul(SPREAD);
    let mut driver = Driver::new(settings, own, engines, most_out(gateways, engines));
    (0..statements).for_each(|_| driver.statement());
    Ok(driver.sent().to_vec())
}

/// Drives one front end at full size for a part of the idle time. Engines that it came back to are those that it
/// keeps to; the others are taken as drawn evenly from its zone, which gives the connections after the whole time.
fn at_full_size(seed: u64, figures: &mut Figures) -> Result<(), ScaleError> {
    let sent = sent_by(seed, 0, ENGINES, STATEMENTS_AT_FULL_SIZE)?;
    let mut times: BTreeMap<EngineId, u64> = BTreeMap::new();
    sent.iter()
        .for_each(|engine| *times.entry(*engine).or_default() += 1);
    let near = f64::from(ENGINES / ZONES);
    let usual = (sent.len() as f64 / near).max(1.0);
    let kept: Vec<u64> = times
        .values()
        .copied()
        .filter(|times| *times as f64 > KEPT_TO * usual)
        .collect();
    let to_kept: u64 = kept.iter().sum();
    let elsewhere = 1.0 - to_kept as f64 / sent.len().max(1) as f64;
    let drawn = elsewhere * (STATEMENTS_PER_SECOND * IDLE_CLOSE_S) as f64;
    let others = near - kept.len() as f64;
    let connections = kept.len() as f64 + others * (1.0 - (-drawn / near).exp());
    let seen = connections * f64::from(GATEWAYS) / f64::from(ENGINES);
    println!(
        "engine_side: at {ENGINES} engines a front end keeps to {} and sends {:.1}% elsewhere, to {} engines in {} \
         statements; reckoned for {IDLE_CLOSE_S} s: {connections:.0} connections, an engine sees {seen:.0}",
        kept.len(),
        100.0 * elsewhere,
        times.len(),
        sent.len(),
    );
    figures.add("engine_side_kept_to_engines", kept.len());
    figures.add_number("engine_side_sent_elsewhere_percent", 100.0 * elsewhere);
    figures.add("engine_side_met_in_1500_statements_engines", times.len());
    figures.add_number("engine_side_front_end_reckoned_connections", connections);
    figures.add_number("engine_side_engine_reckoned_connections", seen);
    Ok(())
}

/// Simulates every front end of a small fleet, and again with a tenth of them replaced.
fn whole_fleet(options: &Options, figures: &mut Figures) -> Result<(), ScaleError> {
    let (engines, statements) = if options.short {
        (SHORT_FLEET_ENGINES, SHORT_STATEMENTS_IN_FLEET)
    } else {
        (FLEET_ENGINES, STATEMENTS_IN_FLEET)
    };
    let gateways = gateways_before(engines);
    let met = |front_end| {
        let sent = sent_by(options.seed, front_end, engines, statements)?;
        Ok(sent.into_iter().collect::<BTreeSet<_>>())
    };
    let mut by_front_end = (0..gateways)
        .map(met)
        .collect::<Result<Vec<_>, ScaleError>>()?;
    note_seen("before", &by_front_end, engines, figures);
    // Those that come instead have seeds of their own and stand where the old ones stood.
    let step = gateways.div_ceil(ZONES) * ZONES;
    for (front_end, met_by) in (0..gateways).zip(&mut by_front_end) {
        if front_end % REPLACED == 0 {
            *met_by = met(front_end + step)?;
        }
    }
    note_seen("replaced", &by_front_end, engines, figures);
    Ok(())
}

fn note_seen(when: &str, by_front_end: &[BTreeSet<EngineId>], engines: u32, figures: &mut Figures) {
    let mut seen: BTreeMap<EngineId, u32> = (0..engines).map(|engine| (engine, 0)).collect();
    by_front_end
        .iter()
        .flatten()
        .for_each(|engine| *seen.entry(*engine).or_default() += 1);
    let all: u32 = seen.values().sum();
    let busiest = seen.values().max().copied().unwrap_or(0);
    let mean = f64::from(all) / f64::from(engines);
    let front_ends = by_front_end.len();
    println!(
        "engine_side: {front_ends} front ends, {engines} engines, {when}: a front end met {:.1}, an engine saw \
         {mean:.1}, the busiest {busiest}",
        f64::from(all) / front_ends as f64
    );
    figures.add_number(
        &format!("engine_side_{when}_front_end_mean_connections"),
        f64::from(all) / front_ends as f64,
    );
    figures.add_number(&format!("engine_side_{when}_engine_mean_connections"), mean);
    figures.add(
        &format!("engine_side_{when}_busiest_engine_connections"),
        busiest,
    );
}
