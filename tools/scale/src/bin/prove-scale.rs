//! `prove-scale`: measures what each role costs by size and checks the figures against their
//! bounds.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::builder::PossibleValuesParser;
use clap::Parser;
use violetgate_scale::{
    client_side, decisions, engine_list, engine_side, fleet_run, membership, page, replicated_state,
};
use violetgate_scale::{Figures, Options, ScaleError};

/// The default seed of random numbers.
const SEED: u64 = 7;

/// A part of the system whose costs can be measured, and the function that measures it.
struct Role {
    name: &'static str,
    measure: fn(&Options, &mut Figures) -> Result<(), ScaleError>,
}

/// All roles, in the order in which they are measured.
const ROLES: &[Role] = &[
    Role {
        name: "decisions",
        measure: decisions::measure,
    },
    Role {
        name: "engine-list",
        measure: engine_list::measure,
    },
    Role {
        name: "client-side",
        measure: client_side::measure,
    },
    Role {
        name: "engine-side",
        measure: engine_side::measure,
    },
    Role {
        name: "agreed-state",
        measure: replicated_state::measure,
    },
    Role {
        name: "membership",
        measure: measure_membership,
    },
    Role {
        name: "whole-run",
        measure: measure_fleet_run,
    },
];

fn measure_membership(options: &Options, figures: &mut Figures) -> Result<(), ScaleError> {
    Ok(membership::measure(options, figures)?)
}

fn measure_fleet_run(options: &Options, figures: &mut Figures) -> Result<(), ScaleError> {
    Ok(fleet_run::measure(options, figures)?)
}

/// Measures what each role costs by size, fits the costs, and prints the size at which each exceeds
/// its budget
#[derive(Debug, Parser)]
struct Arguments {
    /// Measures the small sizes for CI, and checks counts and bytes but no times
    #[arg(long)]
    short: bool,
    /// Measures only this role; may be given several times
    #[arg(long, value_name = "ROLE", value_parser = PossibleValuesParser::new(ROLES.iter().map(|role| role.name)))]
    only: Vec<String>,
    /// The seed of random numbers
    #[arg(long, default_value_t = SEED)]
    seed: u64,
    /// Compares this page's block of figures with the saved ones, and measures nothing
    #[arg(long, value_name = "FILE")]
    page: Option<PathBuf>,
    /// The file with the saved last line of a run
    #[arg(
        long,
        value_name = "FILE",
        default_value = "docs/scale-figures.txt",
        requires = "page"
    )]
    figures: PathBuf,
    /// Rewrites the page's block instead of comparing it
    #[arg(long, requires = "page")]
    write: bool,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    match &arguments.page {
        Some(file) => compare(file, &arguments.figures, arguments.write),
        None => measure(&arguments),
    }
}

fn compare(file: &Path, figures: &Path, write: bool) -> ExitCode {
    let done = if write {
        page::rewrite(file, figures)
    } else {
        page::check(file, figures)
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            println!("MISSED: {error}");
            ExitCode::FAILURE
        }
    }
}

fn measure(arguments: &Arguments) -> ExitCode {
    let options = Options {
        short: arguments.short,
        seed: arguments.seed,
    };
    let chosen = |role: &&Role| {
        arguments.only.is_empty() || arguments.only.iter().any(|name| name == role.name)
    };
    let mut figures = Figures::default();
    for role in ROLES.iter().filter(chosen) {
        if let Err(error) = (role.measure)(&options, &mut figures) {
            figures.add_failure(format!("{}: {error}", role.name));
        }
    }
    finish(&figures)
}

/// Prints the capacity limits, the tightest first, then the failures, and last the line of all
/// figures.
fn finish(figures: &Figures) -> ExitCode {
    for (place, limit) in figures.limits().iter().enumerate() {
        let (name, size_of, target) = (&limit.name, limit.size_of, limit.target);
        match limit.size {
            Some(size) => {
                let percent = 100.0 * limit.fraction_of_target();
                println!(
                    "limit {}: {name} at {size:.0} {size_of}, {percent:.1}% of {target}",
                    place + 1
                );
            }
            None => println!("limit {}: {name} at no number of {size_of}", place + 1),
        }
    }
    figures
        .failures()
        .iter()
        .for_each(|missed| println!("MISSED: {missed}"));
    println!("{}", figures.line("scale"));
    if figures.failures().is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
