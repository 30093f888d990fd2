//! The errors that keep an acceptance test from running.

use std::time::Duration;

use violetgate_raft::NodeId;

/// The result of a step of an acceptance test.
pub type Result<T> = std::result::Result<T, AcceptanceError>;

/// Why an acceptance test could not run. A test that runs and misses a bound returns no error: its
/// [`Verdict`](crate::Verdict) reports the miss.
#[derive(Debug, thiserror::Error)]
pub enum AcceptanceError {
    /// An operation of the operating system or a connection failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// The gateway did not accept connections within ten seconds.
    #[error("the gateway did not accept connections within 10 s")]
    NotListening,
    /// The gateway's management interface did not report that it is ready.
    #[error("the management interface did not report in time that the gateway is ready")]
    NotReady,
    /// `violetgate members init` failed.
    #[error("`violetgate members init` could not create the folder of a cluster member")]
    MemberFolder,
    /// Not all instances of a new cluster routed requests in time.
    #[error("the new cluster did not become ready in time; its logs:\n{logs}")]
    NoLeader {
        /// The logs of all instances.
        logs: String,
    },
    /// A cluster did not become ready after a fault.
    #[error("the cluster did not become ready in time after a fault")]
    ClusterNotReady,
    /// A restarted member did not reach the state of the others.
    #[error("the restarted member did not catch up within {within:?}")]
    NoCatchUp {
        /// How long the test waited.
        within: Duration,
    },
    /// A member that runs in the process of the test can't be created or started.
    #[error("member {id}: {reason}")]
    Replica {
        /// The id of the member.
        id: NodeId,
        /// The error of its runtime or its storage.
        reason: String,
    },
    /// The deploy file is not valid TOML.
    #[error("the deploy file is not valid TOML: {0}")]
    DeployFile(toml::de::Error),
    /// The program's file can't be parsed as an object file.
    #[error("the program's file can't be parsed: {0}")]
    ObjectFile(object::Error),
    /// The requests of the test did not wait for another attempt until their clients disconnected.
    #[error("requests did not wait for a retry: attempted={attempted}, abandoned={abandoned}")]
    RequestsNotWaiting {
        /// Whether an engine counted an attempt for at least one of the requests.
        attempted: bool,
        /// Whether the gateway abandoned all of the requests after their clients had disconnected.
        abandoned: bool,
    },
}
