//! `make prove-rest`: the REST protocol against the PostgreSQL protocol of the same process on the
//! same fake engines, and both through draining, dying and replaced engines.

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

/// Proves the REST front.
#[derive(Parser)]
struct Arguments {
    /// The program under proof
    #[arg(long, default_value = "target/release/violetgate")]
    program: PathBuf,
    /// Requests through failing engines
    #[arg(long, default_value_t = 20_000)]
    requests: u64,
    /// Seconds of each measurement at a steady rate
    #[arg(long, default_value_t = 5.0)]
    seconds: f64,
    /// Requests a second at a steady rate
    #[arg(long, default_value_t = 1_000)]
    rate: u64,
    /// Only what must never happen, without figures that depend on the machine
    #[arg(long)]
    only_rules: bool,
}

/// Clients at a time.
const CLIENTS: usize = 24;
/// Lines of the `rest` block: space for all results of a run.
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
        println!("machine: {cores} cores; the engines, the load and the program share them over loopback");
        throughput::compare_protocols(arguments, &mut verdict)?;
        memory::measure(arguments, &mut verdict)?;
        token_timing::measure(arguments, &mut verdict)?;
    }
    churn::check(arguments, &mut verdict)?;
    Ok(verdict.print("rest"))
}
