//! Runs one case of the second review: `review-2 CASE FOLDER`. Exits with 1 if the rule was broken,
//! 0 if it held, and 2 if the case could not run.

mod bus;
mod client;
mod cluster;
mod engine;
mod foreign_answer;
mod load;
mod no_leader;
mod rest_gone;
mod silent_watch;
mod slow_bus;
mod support;

use std::path::Path;
use std::process::ExitCode;

use support::{open_record, say, Verdict};

fn run() -> support::Outcome {
    let mut arguments = std::env::args().skip(1);
    let case = arguments.next().unwrap_or_default();
    let folder = arguments.next().unwrap_or_default();
    open_record(&Path::new(&folder).join("record.txt"))?;
    match case.as_str() {
        "silent-watch" => silent_watch::run(),
        "no-leader" => no_leader::run(),
        "slow-bus" => slow_bus::run(),
        "rest-gone" => rest_gone::run(),
        "foreign-answer" => foreign_answer::run(),
        _ => Err(format!("no case {case:?}")),
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(Verdict::Kept) => {
            say("the rule was kept");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken) => {
            say("the rule was broken");
            ExitCode::from(1)
        }
        Err(error) => {
            say(&format!("the case could not run: {error}"));
            ExitCode::from(2)
        }
    }
}
