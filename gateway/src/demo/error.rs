//! Errors of `violetgate demo`.

use std::path::PathBuf;
use std::process::ExitStatus;

use thiserror::Error;

/// Why the demo failed. Its text is one line for the person who runs it.
#[derive(Debug, Error)]
pub enum DemoError {
    /// The fake engines can't be started.
    #[error("can't start the stand-in engines: {0}")]
    Engines(String),
    /// A file or a folder can't be written.
    #[error("{}: {error}", .path.display())]
    File {
        /// The path of the file or folder.
        path: PathBuf,
        /// The error of the operating system.
        error: std::io::Error,
    },
    /// The path of the running program can't be found, so the gateways can't be started from it.
    #[error("can't find the path of this program: {0}")]
    Program(std::io::Error),
    /// Signal handlers can't be installed.
    #[error("can't receive signals: {0}")]
    Signals(std::io::Error),
    /// An address that a gateway needs is not available.
    #[error("{address}: {error}; is another demo running?")]
    Address {
        /// The address, with its port.
        address: String,
        /// Why it is not available.
        error: std::io::Error,
    },
    /// A member's folder can't be created.
    #[error("can't create the folder of member {0}")]
    MemberFolder(u16),
    /// A gateway's process can't be started.
    #[error("can't start a front end: {0}")]
    Start(std::io::Error),
    /// Waiting for the end of a gateway's process failed.
    #[error("can't wait for a front end to end: {0}")]
    Wait(std::io::Error),
    /// A gateway's process exited with a failure.
    #[error("a front end ended with {0}")]
    Failed(ExitStatus),
}
