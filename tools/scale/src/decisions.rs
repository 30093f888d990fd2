//! Measures the decision module by the number of engines: the CPU time of a statement, of a patch
//! of the engine list and of a full list, and the memory per engine.

use violetgate_policy::interface::EngineState;

use crate::error::ScaleError;
use crate::figures::{Figures, Options};
use crate::gateway_driver::{max_in_flight, settings, GatewayDriver};
use crate::slope::{MeasuredRole, Slope};
use crate::usage::{least, own_usage, timed};

const ROLE: MeasuredRole = MeasuredRole {
    name: "decisions",
    size_of: "engines",
    target: TARGET,
};
const SIZES: [u32; 6] = [80, 300, 1_000, 4_000, 7_600, 12_000];
const SHORT_SIZES: [u32; 5] = [80, 300, 600, 1_000, 2_000];
const GATEWAYS: [u32; 2] = [300, 7_600];
/// Engines that a gateway has to support.
const TARGET: f64 = 12_000.0;
/// The maximum CPU time of a statement: at 1,842 a second it is nearly all of a core.
const STATEMENT_BUDGET_US: f64 = 500.0;
/// Batches of statements that are timed. The shortest time is used, as other processes can only
/// lengthen a measurement.
const BATCHES: usize = 5;
/// The number of engines that the statements of a batch consider, summed over the statements; it
/// sets the batch size.
const VISITS_PER_BATCH: u32 = 400_000;
/// The same for the short form, which checks only counts.
const SHORT_VISITS_PER_BATCH: u32 = 40_000;
const PATCHES: u32 = 10;
/// Gateways that are held at the same time to measure the memory per engine.
const HELD: usize = 8;

/// The decision module's costs at one number of engines, and what happened to the statements.
struct Costs {
    statement_us: f64,
    patch_us: f64,
    full_list_us: f64,
    statements: u64,
    sent: u64,
    refused: u64,
}

/// Measures the decision module at several sizes.
///
/// # Errors
///
/// Returns an error if the module refuses the settings, or if /proc can't be read.
pub fn measure(options: &Options, figures: &mut Figures) -> Result<(), ScaleError> {
    if !options.short {
        figures.add_number(
            "decisions_memory_an_engine_bytes",
            memory_per_engine(options.seed)?,
        );
    }
    let sizes = options.select(&SHORT_SIZES[..], &SIZES[..]);
    for gateways in GATEWAYS {
        measure_fleet(gateways, sizes, options, figures)?;
    }
    Ok(())
}

/// Measures one gateway of a fleet of `gateways` gateways.
fn measure_fleet(
    gateways: u32,
    sizes: &[u32],
    options: &Options,
    figures: &mut Figures,
) -> Result<(), ScaleError> {
    let mut slopes = Slopes::of_fleet(gateways);
    let (mut statements, mut unserved) = (0, 0);
    for &engines in sizes {
        let costs = costs(options, gateways, engines)?;
        slopes.push(engines, &costs);
        statements += costs.statements;
        unserved += costs.statements.saturating_sub(costs.sent) + costs.refused;
    }
    let name = |figure| format!("decisions_{gateways}_gateways_{figure}");
    figures.add(&name("statements"), statements);
    figures.at_most(&name("unserved"), unserved as f64, 0.0);
    if !options.short {
        slopes.record(figures);
    }
    Ok(())
}

/// The slopes of each cost over the number of engines.
struct Slopes {
    statement: Slope,
    patch: Slope,
    full_list: Slope,
}

impl Slopes {
    fn of_fleet(gateways: u32) -> Self {
        let [statement, patch, full_list] = match gateways {
            300 => [
                "statement_300_gateways",
                "patch_300_gateways",
                "whole_list_300_gateways",
            ],
            _ => [
                "statement_7600_gateways",
                "patch_7600_gateways",
                "whole_list_7600_gateways",
            ],
        };
        Slopes {
            statement: ROLE.slope(statement, "us", Some(STATEMENT_BUDGET_US)),
            patch: ROLE.slope(patch, "us", None),
            full_list: ROLE.slope(full_list, "us", None),
        }
    }

    fn push(&mut self, engines: u32, costs: &Costs) {
        let size = f64::from(engines);
        self.statement.push(size, costs.statement_us);
        self.patch.push(size, costs.patch_us);
        self.full_list.push(size, costs.full_list_us);
    }

    fn record(&self, figures: &mut Figures) {
        let slopes = [&self.statement, &self.patch, &self.full_list];
        slopes.into_iter().for_each(|slope| slope.record(figures));
    }
}

fn costs(options: &Options, gateways: u32, engines: u32) -> Result<Costs, ScaleError> {
    let mut driver = GatewayDriver::new(
        settings(gateways)?,
        options.seed,
        engines,
        max_in_flight(gateways, engines),
    );
    let visits = options.select(SHORT_VISITS_PER_BATCH, VISITS_PER_BATCH);
    let batch = (visits / engines).clamp(50, 2_000);
    (0..batch).for_each(|_| driver.send_statement());
    let mut statements_us = Vec::new();
    for _ in 0..BATCHES {
        let (took, ()) = timed(|| (0..batch).for_each(|_| driver.send_statement()));
        statements_us.push(took / f64::from(batch));
    }
    let patches_us = (0..PATCHES).map(|step| {
        let state = if step % 2 == 0 {
            EngineState::Draining
        } else {
            EngineState::Ready
        };
        driver.send_statement();
        timed(|| driver.update_engine(engines / 2, state)).0
    });
    let patch_us = least(&patches_us.collect::<Vec<_>>());
    let full_lists_us = (0..BATCHES).map(|_| {
        driver.send_statement();
        timed(|| driver.update_all_engines(engines)).0
    });
    let full_list_us = least(&full_lists_us.collect::<Vec<_>>());
    let statements = u64::from(batch) * (BATCHES as u64 + 1) + u64::from(PATCHES) + BATCHES as u64;
    Ok(Costs {
        statement_us: least(&statements_us),
        patch_us,
        full_list_us,
        statements,
        sent: driver.sent().len() as u64,
        refused: driver.refused(),
    })
}

/// Returns the memory that one gateway needs per engine, in bytes: the growth of this process's
/// resident memory as it builds several gateways that know all engines.
fn memory_per_engine(seed: u64) -> Result<f64, ScaleError> {
    let engines = TARGET as u32;
    let before = own_usage()?.resident_bytes;
    let mut held = Vec::new();
    for number in 0..HELD {
        held.push(GatewayDriver::new(
            settings(7_600)?,
            seed + number as u64,
            engines,
            1,
        ));
    }
    let after = own_usage()?.resident_bytes;
    Ok(after.saturating_sub(before) as f64 / (held.len() as f64 * TARGET))
}
