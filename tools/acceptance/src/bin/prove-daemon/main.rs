//! `make prove-daemon`: three instances as one cluster before fake engines, killed, stopped, cut
//! off and restarted at random while clients query over both protocols and operators change state;
//! then latencies and recovery times.

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

/// Proves the replicated daemon.
#[derive(Parser)]
struct Arguments {
    /// The program under proof
    #[arg(long, default_value = "target/release/violetgate")]
    program: PathBuf,
    /// Seconds of trouble
    #[arg(long, default_value_t = 60)]
    seconds: u64,
    /// For what trouble comes when
    #[arg(long, default_value_t = 7)]
    seed: u64,
    /// Times that the leader is killed for the time to a new one
    #[arg(long, default_value_t = 15)]
    failovers: u64,
    /// Entries of the log that is recovered
    #[arg(long, default_value_t = 1_000_000)]
    entries: u64,
    /// Only what must never happen, without figures that depend on the machine
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
            "machine: {cores} cores; three instances, the engines and the load share them over loopback"
        );
        cost::commits(arguments, &mut verdict)?;
        cost::failover(arguments, &mut verdict)?;
        cost::catch_up(arguments, &mut verdict)?;
        in_process::measure_staleness_guard(&mut verdict)?;
        in_process::measure_recovery(arguments.entries, &mut verdict)?;
    }
    safety::check(arguments, &mut verdict)?;
    Ok(verdict.print("daemon"))
}
