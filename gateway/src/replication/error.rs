//! Errors of taking part in a cluster.

use thiserror::Error;
use violetgate_raft::ProposalError;
use violetgate_replica_runtime::{InvalidSubscriberConfig, ServiceError, StartError};
use violetgate_replicated_state::CommandError;

/// Why a change was not committed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommitError {
    /// The change was not committed in time, and may still come into force. A repeated call with
    /// the same request id shows its outcome.
    OutcomeUnknown,
    /// The store rejected the command.
    CommandRejected(CommandError),
    /// Raft rejected the proposal.
    ProposalRejected(ProposalError),
    /// This instance is a subscriber: only a member can commit a change.
    NotAMember,
}

/// Why this instance can't take part in its cluster. The message names the settings key.
#[derive(Debug, Error)]
pub enum ClusterStartError {
    /// The folder contains no state of a member.
    #[error("`cluster.folder`: {0} (`violetgate members init` makes one)")]
    NoMemberFolder(StartError),
    /// The member can't be started.
    #[error("`cluster`: {0}")]
    Member(StartError),
    /// The service for subscribers can't be started.
    #[error("`cluster.subscribers_listen`: {0}")]
    ObserverService(#[from] ServiceError),
    /// The subscriber's intervals and limits are invalid. For example, with too long a poll
    /// interval its state would become stale between two polls.
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
