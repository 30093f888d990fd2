//! `whole-run`: the fleet run alone, at a size and with the parts that are chosen; `prove-scale`
//! has it as one of its roles.

use std::process::ExitCode;

use clap::Parser;
use violetgate_scale::fleet_run::{run, Plan};
use violetgate_scale::lightweight_gateway::Part;
use violetgate_scale::Figures;

#[derive(Debug, Parser)]
#[command(
    about = "Runs control processes, real front ends and hollow ones, and holds the figures to their bounds"
)]
struct Arguments {
    /// The form for CI: few front ends, held to counts and bytes and not to time
    #[arg(long)]
    short: bool,
    /// Hollow front ends of the long form
    #[arg(long, default_value_t = 7_600)]
    front_ends: usize,
    /// The parts that hollow front ends run
    #[arg(
        long,
        value_delimiter = ',',
        default_value = "subscription,bus,membership,decisions"
    )]
    parts: Vec<Part>,
    /// Where random numbers begin
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
