//! `whole-run`: runs only the fleet run, with a chosen size and chosen parts. `prove-scale` runs it
//! as one of its roles. The help texts call a lightweight gateway a hollow front end.

use std::process::ExitCode;

use clap::Parser;
use violetgate_scale::fleet_run::{run, Plan};
use violetgate_scale::lightweight_gateway::Part;
use violetgate_scale::Figures;

#[derive(Debug, Parser)]
#[command(
    about = "Runs control processes, real and hollow front ends, and checks the figures against their bounds"
)]
struct Arguments {
    /// Runs few front ends, for CI, and checks counts and bytes but no times
    #[arg(long)]
    short: bool,
    /// The number of hollow front ends, without --short
    #[arg(long, default_value_t = 7_600)]
    front_ends: usize,
    /// The parts that hollow front ends run
    #[arg(
        long,
        value_delimiter = ',',
        default_value = "subscription,bus,membership,decisions"
    )]
    parts: Vec<Part>,
    /// The seed of random numbers
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let mut plan = if arguments.short {
        Plan::short(arguments.seed)
    } else {
        Plan::long(arguments.front_ends, arguments.seed)
    };
    plan.parts = arguments.parts;
    let mut figures = Figures::default();
    if let Err(error) = run(&plan, &mut figures) {
        figures.add_failure(error.to_string());
    }
    for failure in figures.failures() {
        println!("missed: {failure}");
    }
    println!("{}", figures.line("whole-run"));
    ExitCode::from(u8::from(!figures.failures().is_empty()))
}
