//! `make prove-rest`: compares the REST protocol with the PostgreSQL protocol of the same process
//! and the same fake engines, and tests both while engines are drained, killed and replaced.

mod churn;
mod memory;
mod requests;
mod tally;
mod throughput;
mod token_timing;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use violetgate_acceptance::{exit_code, Result, Verdict};

/// Tests the REST front end.
#[derive(Parser)]
struct Arguments {
    /// The gateway program to test
    #[arg(long, default_value = "target/release/violetgate")]
    program: PathBuf,
    /// Number of requests that are made while engines are replaced
    #[arg(long, default_value_t = 20_000)]
    requests: u64,
    /// Duration of each measurement at a steady rate, in seconds
    #[arg(long, default_value_t = 5.0)]
    seconds: f64,
    /// Requests per second in the measurements at a steady rate
    #[arg(long, default_value_t = 1_000)]
    rate: u64,
    /// Check only the safety rules, without the figures that depend on the machine
    #[arg(long)]
    only_rules: bool,
}

/// The number of concurrent clients.
const CLIENTS: usize = 24;
/// Lines of the `rest` block, with space for all results of a run.
const REST_SETTINGS: &str =
    "  results_bytes = \"256MiB\"\n  results = 100000\n  idempotency_keys = 100000\n  \
                       max_connections = 400";

fn main() -> ExitCode {
    exit_code("prove-rest", run(&Arguments::parse()))
}

fn run(arguments: &Arguments) -> Result<bool> {
    let mut verdict = Verdict::default();
    if !arguments.only_rules {
        let cores = std::thread::available_parallelism().map_or(0, usize::from);
        println!(
            "machine: {cores} cores, shared by the engines, the load and the program over loopback"
        );
        throughput::compare_protocols(arguments, &mut verdict)?;
        memory::measure(arguments, &mut verdict)?;
        token_timing::measure(arguments, &mut verdict)?;
    }
    churn::check(arguments, &mut verdict)?;
    Ok(verdict.print("rest"))
}
