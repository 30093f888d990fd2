//! Errors of `violetgate ctl` and `violetgate members`.

use std::path::PathBuf;

use thiserror::Error;
use violetgate_replica_runtime::InitializeError;

use super::saved_state::SavedStateError;
use crate::settings::SettingsFileError;

/// Why a command failed; one line for the operator.
#[derive(Debug, Error)]
pub enum CtlError {
    /// The time that a call may take is no time.
    #[error("--within: {0}")]
    Timeout(#[from] std::time::TryFromFloatSecsError),
    /// A member rejected the call.
    #[error("{detail} ({status})")]
    Rejected {
        /// Why.
        detail: String,
        /// The status of its answer.
        status: u16,
    },
    /// No member answered in time. A change may have been committed all the same.
    #[error("nobody had an answer: {last}{}", retry_hint(.retry_id.as_deref()))]
    Unanswered {
        /// The last failure.
        last: String,
        /// For a change, the request id under which it can be sent again.
        retry_id: Option<String>,
    },
    /// A file can't be read or written.
    #[error("{}: {error}", .path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// Why.
        error: std::io::Error,
    },
    /// A file holds no saved state.
    #[error("{}: {error}", .path.display())]
    SavedState {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        error: SavedStateError,
    },
    /// Standard input can't be read.
    #[error("standard input: {0}")]
    StandardInput(std::io::Error),
    /// The settings file can't be used.
    #[error("{0}")]
    Settings(#[from] SettingsFileError),
    /// The settings name no cluster.
    #[error("{}: there is no `cluster` block", .0.display())]
    NoCluster(PathBuf),
    /// The settings are those of a subscriber.
    #[error("{}: `cluster.role`: a subscriber has no folder", .0.display())]
    Subscriber(PathBuf),
    /// There are no random numbers for the id of the disk.
    #[error("no random numbers: {0}")]
    Random(getrandom::Error),
    /// The member's folder can't be made.
    #[error("{0}")]
    Initialize(#[from] InitializeError),
    /// The cluster has no such member.
    #[error("member {0} does not belong to the cluster")]
    UnknownMember(u64),
    /// The call can't be written as JSON.
    #[error("{0}")]
    Body(#[from] serde_json::Error),
}

fn retry_hint(retry_id: Option<&str>) -> String {
    retry_id.map_or_else(String::new, |id| {
        format!("; it may still come to be: --request-id {id} asks for the same again")
    })
}
