//! The whole run: real control processes, real front ends before stand-in engines, and hollow front ends, on loopback.
//! Changes go on throughout, while observers and the leader are killed and a zone's front ends come back at once.

mod changes;
mod children;
mod control;
mod cost;
mod fleet_watch;
pub mod in_force;
mod layout;
mod phases;
mod plan;
mod real;

use std::path::PathBuf;

pub use plan::Plan;

use crate::Figures;

/// Why the whole run can't go on.
#[derive(Debug, thiserror::Error)]
pub enum WholeRunError {
    /// A program that the run starts is not there.
    #[error(
        "{path}: no such program: build the workspace first (`cargo build --release --workspace`)"
    )]
    NoProgram {
        /// Where it was looked for.
        path: PathBuf,
    },
    /// The machine does not give what the run needs.
    #[error("{what}: {cause}")]
    Machine {
        /// What was attempted.
        what: &'static str,
        /// Why it failed.
        cause: std::io::Error,
    },
    /// A process ended, or can't start.
    #[error("process {name} ended: {cause}")]
    Ended {
        /// Which.
        name: String,
        /// The last of its log.
        cause: String,
    },
    /// Something did not come to be in its time.
    #[error("{what} did not happen within {seconds} s: {found}")]
    Late {
        /// What was waited for.
        what: String,
        /// For how long.
        seconds: u64,
        /// What was found instead.
        found: String,
    },
    /// Hollow front ends can't run.
    #[error(transparent)]
    Hollow(#[from] crate::hollow::HollowError),
}

impl WholeRunError {
    /// For errors of the machine, by what was attempted.
    fn machine(what: &'static str) -> impl Fn(std::io::Error) -> Self {
        move |cause| WholeRunError::Machine { what, cause }
    }
}

/// Runs it, and adds its figures, held to their bounds.
///
/// # Errors
///
/// It can't be set up, or one of its processes ends before its time.
pub fn run(plan: &Plan, figures: &mut Figures) -> Result<(), WholeRunError> {
    phases::Run::start(plan)?.measure(figures)
}
