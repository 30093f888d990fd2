//! `hollow-front-ends`: runs many hollow front ends in one process, for `prove-scale`.

use std::process::ExitCode;

use clap::Parser;
use violetgate_scale::hollow::process::{run, Given};
use violetgate_scale::hollow::report::Report;

fn main() -> ExitCode {
    let given = Given::parse();
    let Err(error) = run(&given) else {
        return ExitCode::SUCCESS;
    };
    let report = Report::Failed {
        cause: error.to_string(),
    };
    println!("{}", serde_json::to_string(&report).unwrap_or_default());
    eprintln!("hollow-front-ends: {error}");
    ExitCode::FAILURE
}
