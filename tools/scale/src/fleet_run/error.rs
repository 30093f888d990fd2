//! Errors of the fleet run.

use std::path::PathBuf;

/// The reason that the fleet run ended before it was complete.
#[derive(Debug, thiserror::Error)]
pub enum FleetRunError {
    /// A program that the run starts does not exist.
    #[error(
        "{path}: no such program: build the workspace first (`cargo build --release --workspace`)"
    )]
    NoProgram {
        /// The path at which it was expected.
        path: PathBuf,
    },
    /// The operating system refused an operation.
    #[error("{what}: {cause}")]
    Machine {
        /// The operation that was attempted.
        what: &'static str,
        /// The error of the operating system.
        cause: std::io::Error,
    },
    /// A process ended early, or could not start.
    #[error("process {name} ended: {cause}")]
    Ended {
        /// The name of the process.
        name: String,
        /// The error that it reported, or its exit status.
        cause: String,
    },
    /// An expected event did not happen in time.
    #[error("{what} did not happen within {seconds} s: {found}")]
    Late {
        /// The event that was waited for.
        what: String,
        /// How long it was waited for, in seconds.
        seconds: u64,
        /// The state that was found instead, or logs.
        found: String,
    },
}

impl FleetRunError {
    /// Returns a function that wraps an I/O error with the operation that was attempted.
    pub(super) fn io(what: &'static str) -> impl Fn(std::io::Error) -> Self {
        move |cause| FleetRunError::Machine { what, cause }
    }
}
