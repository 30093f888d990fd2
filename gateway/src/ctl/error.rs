//! Errors of `violetgate ctl` and `violetgate members`.

use std::path::PathBuf;

use thiserror::Error;
use violetgate_replica_runtime::InitializeError;

use super::saved_state::SavedStateError;
use crate::settings::SettingsFileError;

/// Why a command failed. Its text is one line for the operator.
#[derive(Debug, Error)]
pub enum CtlError {
    /// The value of `--within` is not a valid duration.
    #[error("--within: {0}")]
    Timeout(#[from] std::time::TryFromFloatSecsError),
    /// A member rejected the call.
    #[error("{detail} ({status})")]
    Rejected {
        /// The reason that the member gave.
        detail: String,
        /// The HTTP status of the answer.
        status: u16,
    },
    /// No member answered in time. A change may have been committed nevertheless.
    #[error("no member answered: {last_failure}{}", retry_hint(.retry_id.as_deref()))]
    Unanswered {
        /// The last member that was tried, and why it gave no answer.
        last_failure: String,
        /// For a change, the request id under which it can safely be sent again.
        retry_id: Option<String>,
    },
    /// A file can't be read or written.
    #[error("{}: {error}", .path.display())]
    File {
        /// The path of the file.
        path: PathBuf,
        /// The error of the operating system.
        error: std::io::Error,
    },
    /// A file doesn't contain a valid saved state.
    #[error("{}: {error}", .path.display())]
    SavedState {
        /// The path of the file.
        path: PathBuf,
        /// What is wrong with its content.
        error: SavedStateError,
    },
    /// Standard input can't be read.
    #[error("standard input: {0}")]
    StandardInput(std::io::Error),
    /// The settings file can't be used.
    #[error("{0}")]
    Settings(#[from] SettingsFileError),
    /// The settings have no `cluster` block.
    #[error("{}: there is no `cluster` block", .0.display())]
    NoCluster(PathBuf),
    /// The settings are those of a subscriber, which has no member's folder.
    #[error("{}: `cluster.role`: a subscriber has no folder", .0.display())]
    Subscriber(PathBuf),
    /// The operating system gave no random numbers for the id of the member's disk.
    #[error("can't get random numbers: {0}")]
    Random(getrandom::Error),
    /// The member's folder can't be created.
    #[error("{0}")]
    Initialize(#[from] InitializeError),
    /// The cluster has no such member.
    #[error("member {0} does not belong to the cluster")]
    UnknownMember(u64),
    /// The body of the call can't be encoded as JSON.
    #[error("{0}")]
    Body(#[from] serde_json::Error),
}

fn retry_hint(retry_id: Option<&str>) -> String {
    retry_id.map_or_else(String::new, |id| {
        format!("; the change may still take effect: repeat it with --request-id {id}")
    })
}
