//! Errors of this instance's part in a cluster.

use thiserror::Error;
use violetgate_raft::ProposalError;
use violetgate_replica_runtime::{InvalidSubscriberConfig, ServiceError, StartError};
use violetgate_replicated_state::CommandError;

/// Why a change was not committed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommitError {
    /// Not in its time: it may still come into force. The same call under the same request id shows
    /// whether.
    OutcomeUnknown,
    /// The store rejected the command.
    CommandRejected(CommandError),
    /// Raft rejected the proposal.
    ProposalRejected(ProposalError),
    /// This instance subscribes: only a member can commit a change.
    NotAMember,
}

/// Why this instance can't take part in its cluster; the settings key is named.
#[derive(Debug, Error)]
pub enum ClusterStartError {
    /// The folder holds no member's state.
    #[error("`cluster.folder`: {0} (`violetgate members init` makes one)")]
    NoMemberFolder(StartError),
    /// The member can't be started.
    #[error("`cluster`: {0}")]
    Member(StartError),
    /// The service to subscribers can't be started.
    #[error("`cluster.subscribers_listen`: {0}")]
    ObserverService(#[from] ServiceError),
    /// A subscriber's settings can't keep its state fresh.
    #[error("`cluster`: {0}")]
    Subscriber(#[from] InvalidSubscriberConfig),
}

impl ClusterStartError {
    pub(super) fn of_member(error: StartError) -> Self {
        if error.is_uninitialized_folder() {
            ClusterStartError::NoMemberFolder(error)
        } else {
            ClusterStartError::Member(error)
        }
    }
}
