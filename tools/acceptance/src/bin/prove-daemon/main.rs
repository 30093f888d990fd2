//! `make prove-daemon`: tests a cluster of three instances in front of fake engines.
//!
//! First it measures latencies and recovery times. Then it kills, pauses, isolates and restarts
//! instances at random while clients query over both protocols and operators change state.

mod clients;
mod cost;
mod faults;
mod operators;
mod safety;
mod scenario;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use violetgate_acceptance::{exit_code, in_process, Result, Verdict};

/// Tests a replicated cluster of gateways under faults.
#[derive(Parser)]
struct Arguments {
    /// The gateway program to test
    #[arg(long, default_value = "target/release/violetgate")]
    program: PathBuf,
    /// Seconds during which faults are injected
    #[arg(long, default_value_t = 60)]
    seconds: u64,
    /// Seed of the faults, the clients and the operators
    #[arg(long, default_value_t = 7)]
    seed: u64,
    /// How often the leader is killed to measure the failover time
    #[arg(long, default_value_t = 15)]
    failovers: u64,
    /// Number of log entries in the recovery measurement
    #[arg(long, default_value_t = 1_000_000)]
    entries: u64,
    /// Check only the safety rules, without the figures that depend on the machine
    #[arg(long)]
    only_rules: bool,
}

fn main() -> ExitCode {
    exit_code("prove-daemon", run(&Arguments::parse()))
}

fn run(arguments: &Arguments) -> Result<bool> {
    let mut verdict = Verdict::default();
    if !arguments.only_rules {
        let cores = std::thread::available_parallelism().map_or(0, usize::from);
        println!(
            "machine: {cores} cores, shared by three instances, engines and load over loopback"
        );
        cost::commits(arguments, &mut verdict)?;
        cost::failover(arguments, &mut verdict)?;
        cost::catch_up(arguments, &mut verdict)?;
        in_process::measure_staleness_check(&mut verdict)?;
        in_process::measure_recovery(arguments.entries, &mut verdict)?;
    }
    safety::check(arguments, &mut verdict)?;
    Ok(verdict.print("daemon"))
}
