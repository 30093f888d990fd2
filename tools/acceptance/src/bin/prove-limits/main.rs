//! `make prove-limits`: checks that crowds of clients can't bring a gateway over the memory limit of its
//! configuration, and that a usual client is served beside them.
//!
//! Each crowd acts on a process of its own with the least memory that a platform configures. Then
//! one acts during an upgrade, whose two processes share the limit.

mod crowds;
mod upgrade;
mod usual_client;

use std::process::ExitCode;
use std::time::Duration;

use clap::Parser;
use violetgate_acceptance::{exit_code, ConfiguredLimits, Result, Verdict};

/// The least memory that a platform configures.
const MEMORY_MB: u64 = 32;
const BYTES_PER_MB: f64 = 1e6;
/// The numbers of descriptors that a platform configures.
const DESCRIPTORS: [u64; 2] = [256, 1_024];

/// Checks the memory limit under crowds of clients.
#[derive(Parser)]
struct Arguments {
    /// Let each crowd act for 2 s instead of 10 s
    #[arg(long)]
    short: bool,
}

impl Arguments {
    fn crowd_time(&self) -> Duration {
        Duration::from_secs(if self.short { 2 } else { 10 })
    }
}

fn limits(descriptors: u64) -> ConfiguredLimits {
    ConfiguredLimits {
        sockets: descriptors,
        memory_mb: MEMORY_MB,
    }
}

/// Adds the peak memory of processes to the verdict, in MB, which has to be within the limit.
fn add_peak(verdict: &mut Verdict, name: &str, bytes: u64) {
    let figure = format!("{name}_peak_mb");
    verdict.at_most(&figure, bytes as f64 / BYTES_PER_MB, MEMORY_MB as f64);
}

fn main() -> ExitCode {
    exit_code("prove-limits", run(&Arguments::parse()))
}

fn run(arguments: &Arguments) -> Result<bool> {
    let mut verdict = Verdict::default();
    for descriptors in DESCRIPTORS {
        crowds::check(arguments, descriptors, &mut verdict)?;
    }
    upgrade::check(arguments, &mut verdict)?;
    Ok(verdict.print("limits"))
}
