//! Errors of the scale tests.

use std::io;

/// The reason that a scale test could not run. Each message says what to check or do.
#[derive(Debug, thiserror::Error)]
pub enum ScaleError {
    /// The operating system refused an operation.
    #[error("{what}: {source}; check free ports, open-file limits and space for temporary files")]
    Io {
        /// The operation that was tried.
        what: &'static str,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The program under test does not exist.
    #[error("{0} is missing; build it first: cargo build --release --bin violetgate")]
    NoProgram(std::path::PathBuf),
    /// The program under test ended while it started.
    #[error("violetgate ended while it started; the last line of its log: {0}")]
    Program(String),
    /// The program under test does not follow the bus as expected.
    #[error(
        "violetgate {0}; compare gateway/src/discovery/client.rs with tools/scale/src/engine_list.rs"
    )]
    Bus(&'static str),
    /// The resource usage of a process could not be read from /proc.
    #[error("the usage of process {0} can't be read from /proc; the scale tests need Linux with /proc mounted")]
    NoUsage(u32),
    /// The decision module refused the settings of the test.
    #[error(
        "settings for the decision module: {0}; tools/scale and the module's settings differ in version"
    )]
    Settings(String),
    /// A cluster member could not be started.
    #[error("cluster member {id}: {reason}; check free ports and space for temporary files")]
    Member {
        /// The node id that the test gave to the member.
        id: u64,
        /// Why it could not be started or added.
        reason: String,
    },
    /// An expected event did not happen in time.
    #[error(
        "{what} did not happen within {seconds} s; the machine may be too busy: repeat the test alone"
    )]
    Late {
        /// The event that was waited for.
        what: &'static str,
        /// How long it was waited for, in seconds.
        seconds: u64,
    },
    /// A thread of the test ended early; the value is the thread's name.
    #[error("the thread {0} of the test ended early; its message is printed above")]
    Thread(&'static str),
    /// Membership could not be measured.
    #[error(transparent)]
    Membership(#[from] crate::membership::MembershipError),
    /// The fleet run could not be set up or finished.
    #[error(transparent)]
    FleetRun(#[from] crate::fleet_run::FleetRunError),
    /// The page or the saved figures can't be used.
    #[error("{file}: {reason}")]
    Page {
        /// The path of the page or of the saved figures.
        file: std::path::PathBuf,
        /// What is wrong, and what to do about it.
        reason: String,
    },
}

impl ScaleError {
    /// Returns a function that wraps an I/O error with the operation that was tried.
    pub fn io(what: &'static str) -> impl FnOnce(io::Error) -> ScaleError {
        move |source| ScaleError::Io { what, source }
    }
}
