//! `make prove-fleet-rules`: the rules that several gateways keep together.
//!
//! Several processes in front of the same engines, through restarts, a silent event bus and clients
//! that disconnect; and many gateways in simulated time in front of an engine that is warming up.
//! What each does alone is summed.

mod clients;
mod disconnects;
mod processes;
mod slow_start;
mod tally;

use std::process::ExitCode;

use clap::Parser;
use violetgate_acceptance::{exit_code, Result, Verdict};

use crate::processes::Scenario;

/// Holds several front ends to the rules that they keep together.
#[derive(Parser)]
struct Arguments {
    /// Fewer processes and rounds
    #[arg(long)]
    short: bool,
    /// For the order of what is asked
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
    scenario.play()?;
    scenario.judge(&mut verdict);
    Ok(verdict.print("fleet-rules"))
}
