//! Runs a fleet of real gateway processes through kills, pauses, packet loss and cut links, and
//! checks the membership's bounds: `prove-fleet [--short] [--seed N]`.

mod scenarios;
mod verdict;

use std::process::ExitCode;

use violetgate_fleet_harness::FleetHarness;

use crate::scenarios::Run;
use crate::verdict::Verdict;

/// Fleet settings with shorter times than the defaults, so that the fleet size follows a death
/// within a scenario.
const FLEET_SETTINGS: &str = "settle = \"8s\"\nstep = \"500ms\"";

fn prove(is_short: bool, seed: u64) -> std::io::Result<Verdict> {
    let program = std::env::current_exe()?.with_file_name("violetgate");
    let count = if is_short { 4 } else { 6 };
    let mut run = Run {
        fleet: FleetHarness::start(&program, count, seed, FLEET_SETTINGS)?,
        verdict: Verdict::default(),
        is_short,
        seed,
        count,
    };
    println!("{count} processes, seed {seed}");
    run.start();
    run.lossy_network_and_pauses();
    run.cut_link();
    run.death_and_restart();
    run.restart()?;
    run.member_that_receives_nothing();
    run.long_pause();
    run.graceful_shutdown()?;
    run.end();
    Ok(run.verdict)
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let is_short = args.iter().any(|arg| arg == "--short");
    let seed = args.iter().skip_while(|arg| *arg != "--seed").nth(1);
    let seed = seed.and_then(|number| number.parse().ok()).unwrap_or(1);
    let verdict = match prove(is_short, seed) {
        Ok(verdict) => verdict,
        Err(error) => {
            println!("prove-fleet could not run: {error}");
            return ExitCode::FAILURE;
        }
    };
    for missed in &verdict.missed {
        println!("MISSED (seed {seed}): {missed}");
    }
    println!("fleet: {}", verdict.figures.join(" "));
    if verdict.missed.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
