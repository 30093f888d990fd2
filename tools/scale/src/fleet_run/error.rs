//! Why the fleet run can't go on.

use std::path::PathBuf;

/// Why the fleet run can't go on.
#[derive(Debug, thiserror::Error)]
pub enum FleetRunError {
    /// A program that the run starts is not there.
    #[error(
        "{path}: no such program: build the workspace first (`cargo build --release --workspace`)"
    )]
    NoProgram {
        /// Where it was expected.
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
        /// The end of its log.
        cause: String,
    },
    /// Something did not happen in its time.
    #[error("{what} did not happen within {seconds} s: {found}")]
    Late {
        /// What was waited for.
        what: String,
        /// For how long.
        seconds: u64,
        /// What was seen instead.
        found: String,
    },
}

impl FleetRunError {
    /// Wraps an error of the machine with what was attempted.
    pub(super) fn machine(what: &'static str) -> impl Fn(std::io::Error) -> Self {
        move |cause| FleetRunError::Machine { what, cause }
    }
}
