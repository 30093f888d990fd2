//! Why the demo failed.

use std::path::PathBuf;
use std::process::ExitStatus;

use thiserror::Error;

/// Why the demo failed.
#[derive(Debug, Error)]
pub enum DemoError {
    /// The engines can't be started.
    #[error("stand-in engines: {0}")]
    Engines(String),
    /// A file or a folder can't be written.
    #[error("{}: {error}", .path.display())]
    File {
        /// The file or folder.
        path: PathBuf,
        /// Why.
        error: std::io::Error,
    },
    /// This program's own path is not known.
    #[error("this program's path: {0}")]
    Program(std::io::Error),
    /// Signals can't be received.
    #[error("signals: {0}")]
    Signals(std::io::Error),
    /// An address is not available.
    #[error("{address}: {error}; is there another demo?")]
    Address {
        /// The address.
        address: String,
        /// Why it is not available.
        error: std::io::Error,
    },
    /// A member's folder can't be made.
    #[error("the folder of member {0} can't be made")]
    MemberFolder(u16),
    /// A gateway can't be started.
    #[error("the front end: {0}")]
    Start(std::io::Error),
    /// The end of a gateway can't be waited for.
    #[error("a front end: {0}")]
    Wait(std::io::Error),
    /// A gateway failed.
    #[error("a front end ended with {0}")]
    Failed(ExitStatus),
}
