//! `hollow-front-ends`: runs many lightweight gateways in one process, for `prove-scale`. `--help`
//! and error texts call a lightweight gateway a hollow front end.

use std::process::ExitCode;

use clap::Parser;
use violetgate_scale::lightweight_gateway::process::{run, Arguments};
use violetgate_scale::lightweight_gateway::protocol::Report;

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let Err(error) = run(&arguments) else {
        return ExitCode::SUCCESS;
    };
    let report = Report::Failed {
        cause: error.to_string(),
    };
    println!("{}", serde_json::to_string(&report).unwrap_or_default());
    eprintln!("hollow-front-ends: {error}");
    ExitCode::FAILURE
}
