//! `make prove-fleet-rules`: checks the rules that several gateways keep together.
//!
//! It runs several processes in front of the same engines through restarts, a silent event bus and
//! clients that disconnect. It also simulates many gateways in front of an engine that is warming
//! up, and sums the queries that they send.

mod clients;
mod disconnects;
mod processes;
mod slow_start;
mod tally;

use std::process::ExitCode;

use clap::Parser;
use violetgate_acceptance::{exit_code, Result, Verdict};

use crate::processes::Scenario;

/// Checks the rules that several gateways keep together.
#[derive(Parser)]
struct Arguments {
    /// Use fewer processes, restart rounds and simulation seeds
    #[arg(long)]
    short: bool,
    /// Seed of the simulations and of the relay; request numbers also start at it
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

fn main() -> ExitCode {
    exit_code("prove-fleet-rules", run(&Arguments::parse()))
}

fn run(arguments: &Arguments) -> Result<bool> {
    let mut verdict = Verdict::default();
    slow_start::check(arguments, &mut verdict);
    let mut scenario = Scenario::start(arguments)?;
    scenario.run()?;
    scenario.add_figures(&mut verdict);
    Ok(verdict.print("fleet-rules"))
}
