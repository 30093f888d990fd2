//! Why a scale test could not run.

use std::io;

/// A scale test that could not run; each variant says what an operator can do.
#[derive(Debug, thiserror::Error)]
pub enum ScaleError {
    /// The machine refused something.
    #[error("{what}: {source}; check free ports, open-file limits and space for temporary files")]
    Io {
        /// What was tried.
        what: &'static str,
        /// What the machine answered.
        source: io::Error,
    },
    /// The program under test is not there.
    #[error("{0} is missing; build it first: cargo build --release --bin violetgate")]
    NoProgram(std::path::PathBuf),
    /// The program under test ended at its start.
    #[error("violetgate ended at its start; the end of its log: {0}")]
    Program(String),
    /// The program under test does not follow the bus as expected.
    #[error(
        "violetgate {0}; compare gateway/src/discovery/client.rs with tools/scale/src/engine_list.rs"
    )]
    Bus(&'static str),
    /// A process's figures under /proc could not be read.
    #[error("process {0} has no readable figures in /proc; the scale tests need Linux with /proc mounted")]
    NoUsage(u32),
    /// The settings of the test were refused by the decision module.
    #[error(
        "settings for the decision module: {0}; tools/scale and the module's settings differ in version"
    )]
    Settings(String),
    /// A cluster member could not be started.
    #[error("cluster member {id}: {reason}; check free ports and space for temporary files")]
    Member {
        /// The member.
        id: u64,
        /// What it answered.
        reason: String,
    },
    /// Something did not happen in time.
    #[error(
        "{what} did not happen within {seconds} s; the machine may be too busy, run it again alone"
    )]
    Late {
        /// What was waited for.
        what: &'static str,
        /// For how long.
        seconds: u64,
    },
    /// A thread of the test ended early.
    #[error("the thread {0} of the test ended early; its message is printed above")]
    Thread(&'static str),
    /// Membership could not be measured.
    #[error(transparent)]
    Membership(#[from] crate::membership::MembershipError),
    /// The fleet run could not go on.
    #[error(transparent)]
    FleetRun(#[from] crate::fleet_run::FleetRunError),
    /// The page or the saved figures can't be used.
    #[error("{file}: {reason}")]
    Page {
        /// The file.
        file: std::path::PathBuf,
        /// What is wrong, and what to do about it.
        reason: String,
    },
}

impl ScaleError {
    /// Wraps an I/O error with what was tried.
    pub fn io(what: &'static str) -> impl FnOnce(io::Error) -> ScaleError {
        move |source| ScaleError::Io { what, source }
    }
}
