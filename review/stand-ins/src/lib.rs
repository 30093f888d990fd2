//! Stand-ins for clients, engines and the event bus, written from the operators' pages, and the
//! means to start the gateway with the command of the deploy file. The standard library only.

pub mod bus;
pub mod engine;
pub mod pg;
pub mod process;
pub mod record;
pub mod rest;
pub mod settings;

use std::process::ExitCode;
use std::time::Duration;

/// Whether the script was asked to leave the disruption out (`TROUBLE=0`).
#[must_use]
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Sleeps for a number of milliseconds.
pub fn pause(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// Runs a case, and returns the exit code: 0 if the rule held, 1 if it was broken, 2 if the case
/// could not run.
pub fn verdict(case: impl FnOnce() -> std::io::Result<bool>) -> ExitCode {
    match case() {
        Ok(true) => {
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            println!("the rule was BROKEN");
            ExitCode::from(1)
        }
        Err(error) => {
            println!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
