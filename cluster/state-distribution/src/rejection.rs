//! The reasons for which an observer rejects a subscriber, with the codes and texts that operators
//! see.

use serde::{Deserialize, Serialize};
use violetgate_raft::NodeId;
use violetgate_replicated_state::Revision;

/// Why an observer rejects a subscriber or ends its connection. [`Rejection::code`] is the reason
/// code in logs.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize, thiserror::Error)]
pub enum Rejection {
    /// The greeting does not belong to this protocol.
    #[error("this is no subscriber: check that the address is an observer's subscriber address")]
    NotASubscriber,
    /// The subscriber uses another version of the protocol.
    #[error(
        "the subscriber speaks version {theirs}, this observer version {ours}: \
         upgrade observers first, then front ends"
    )]
    WrongVersion {
        /// The subscriber's version.
        theirs: u16,
        /// The observer's version.
        ours: u16,
    },
    /// The subscriber belongs to another cluster.
    #[error(
        "the subscriber belongs to cluster {theirs:?}, this observer to {ours:?}: \
         correct `cluster.name` or the observers' addresses"
    )]
    WrongCluster {
        /// The subscriber's cluster.
        theirs: String,
        /// The observer's cluster.
        ours: String,
    },
    /// The subscriber intended to reach another observer.
    #[error(
        "the subscriber looks for observer {wanted}, this is {actual}: \
         correct the observers' addresses"
    )]
    WrongObserver {
        /// The observer that the subscriber intended to reach.
        wanted: NodeId,
        /// The observer that the subscriber reached.
        actual: NodeId,
    },
    /// The observer already serves its maximum number of subscribers.
    #[error(
        "all {capacity} places for subscribers are taken: \
         add an observer or raise `cluster.subscribers`"
    )]
    Full {
        /// The maximum number of subscribers that this observer serves.
        capacity: u32,
    },
    /// The subscriber holds a revision that the cluster has not reached. The observer compares it
    /// with a revision that a linearizable read confirmed.
    #[error(
        "the subscriber holds revision {theirs}, the cluster has reached {ours}: \
         its state is of another history; restart it"
    )]
    FutureRevision {
        /// The subscriber's revision.
        theirs: Revision,
        /// The cluster's confirmed revision.
        ours: Revision,
    },
    /// A peer breaks the protocol: for example, a chunk is out of order, a message is too long, or
    /// messages are too frequent.
    #[error(
        "the subscriber broke the protocol ({detail}): it may be of another version; see its log"
    )]
    ProtocolViolation {
        /// The rule that was broken.
        detail: String,
    },
    /// The subscriber reads too slowly.
    #[error(
        "the subscriber reads too slowly: {queued_bytes} bytes were waiting; \
         check its processor time and network"
    )]
    TooSlow {
        /// The number of bytes that were queued for the subscriber.
        queued_bytes: u64,
    },
}

impl Rejection {
    /// Returns the reason code, as it appears in logs and metrics.
    #[must_use]
    pub fn code(&self) -> &'static str {
        match self {
            Rejection::NotASubscriber => "not_a_subscriber",
            Rejection::WrongVersion { .. } => "wrong_version",
            Rejection::WrongCluster { .. } => "wrong_cluster",
            Rejection::WrongObserver { .. } => "wrong_observer",
            Rejection::Full { .. } => "observer_full",
            Rejection::FutureRevision { .. } => "revision_ahead",
            Rejection::ProtocolViolation { .. } => "protocol",
            Rejection::TooSlow { .. } => "too_slow",
        }
    }
}
