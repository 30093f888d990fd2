//! `prove-scale`: measures what each role costs by size and holds the figures to their bounds.

use std::process::ExitCode;

use clap::{Parser, ValueEnum};
use violetgate_scale::{agreed_state, decisions, Figures, Options, ScaleError};

/// Where random numbers begin unless the command line says otherwise.
const SEED: u64 = 7;

/// What can be measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
enum Role {
    /// The decision module by engines
    Decisions,
    /// Agreed state by instances
    AgreedState,
}

/// Measures what each role costs by size, fits it, and prints the size at which each passes its budget
#[derive(Debug, Parser)]
struct Arguments {
    /// The form for CI: small sizes, held to counts and bytes and not to time
    #[arg(long)]
    short: bool,
    /// Measures only this role; may be given several times
    #[arg(long, value_name = "ROLE")]
    only: Vec<Role>,
    /// Where random numbers begin
    #[arg(long, default_value_t = SEED)]
    seed: u64,
}

/// A role's measurement.
type Measure = fn(&Options, &mut Figures) -> Result<(), ScaleError>;

fn measure_of(role: Role) -> Measure {
    match role {
        Role::Decisions => decisions::measure,
        Role::AgreedState => agreed_state::measure,
    }
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let options = Options { short: arguments.short, seed: arguments.seed };
    let chosen = |role: &&Role| arguments.only.is_empty() || arguments.only.contains(role);
    let mut figures = Figures::default();
    for role in Role::value_variants().iter().filter(chosen) {
        if let Err(error) = measure_of(*role)(&options, &mut figures) {
            figures.missed(format!("{role:?}: {error}"));
        }
    }
    finish(&figures)
}

/// Prints the order in which roles end, what missed its bound, and last the line of all figures.
fn finish(figures: &Figures) -> ExitCode {
    for (place, role_ends) in figures.breaks().iter().enumerate() {
        let (name, size_of, target) = (&role_ends.name, role_ends.size_of, role_ends.target);
        match role_ends.size {
            Some(size) => {
                let percent = 100.0 * role_ends.share();
                println!("ends {}: {name} at {size:.0} {size_of}, {percent:.1}% of {target}", place + 1);
            }
            None => println!("ends {}: {name} at no size of {size_of}", place + 1),
        }
    }
    figures.failures().iter().for_each(|missed| println!("MISSED: {missed}"));
    println!("{}", figures.line("scale"));
    if figures.failures().is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
