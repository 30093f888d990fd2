//! Why an observer rejects a subscriber, with the reason code and the text that operators see.

use serde::{Deserialize, Serialize};
use violetgate_raft::NodeId;
use violetgate_replicated_state::Revision;

/// Why an observer rejects a subscriber or ends its connection. [`Rejection::code`] is the reason
/// code in logs.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize, thiserror::Error)]
pub enum Rejection {
    /// The greeting is not one of this protocol.
    #[error("this is no subscriber: check that the address is an observer's subscriber address")]
    NotASubscriber,
    /// The subscriber speaks another version.
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
    /// The subscriber meant to reach another observer.
    #[error(
        "the subscriber looks for observer {wanted}, this is {actual}: \
         correct the observers' addresses"
    )]
    WrongObserver {
        /// The observer that it meant to reach.
        wanted: NodeId,
        /// The observer that it reached.
        actual: NodeId,
    },
    /// The observer serves as many subscribers as it may.
    #[error(
        "all {capacity} places for subscribers are taken: \
         add an observer or raise `cluster.subscribers`"
    )]
    Full {
        /// The most subscribers that this observer serves.
        capacity: u32,
    },
    /// The subscriber holds a revision that the cluster has not reached (compared with a confirmed
    /// revision).
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
    /// A message breaks the protocol: a chunk out of order, a message too long, too many messages.
    #[error(
        "the subscriber broke the protocol ({detail}): it may be of another version; see its log"
    )]
    ProtocolViolation {
        /// Which rule was broken.
        detail: String,
    },
    /// The subscriber reads too slowly.
    #[error(
        "the subscriber reads too slowly: {queued_bytes} bytes were waiting; \
         check its processor time and network"
    )]
    TooSlow {
        /// Bytes that were queued for it.
        queued_bytes: u64,
    },
}

impl Rejection {
    /// The reason code, as it appears in logs and metrics.
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
