//! Why an acceptance test could not run.

use std::time::Duration;

use violetgate_raft::NodeId;

/// The result of a step of an acceptance test.
pub type Result<T> = std::result::Result<T, AcceptanceError>;

/// Why an acceptance test could not run. A test that ran and missed a bound is no error.
#[derive(Debug, thiserror::Error)]
pub enum AcceptanceError {
    /// The machine or a connection failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// The gateway did not accept connections within ten seconds.
    #[error("the program does not listen")]
    NotListening,
    /// The gateway's management interface did not report that it is ready.
    #[error("the program is never ready")]
    NotReady,
    /// `violetgate members init` failed.
    #[error("a member's folder can't be made")]
    MemberFolder,
    /// A new cluster elected no leader in time.
    #[error("nobody leads:\n{logs}")]
    NoLeader {
        /// The logs of all instances.
        logs: String,
    },
    /// A cluster did not become ready after a fault.
    #[error("the cluster does not settle")]
    ClusterNotReady,
    /// A restarted member did not reach the state of the others.
    #[error("it never catches up")]
    NoCatchUp {
        /// For how long it was waited for.
        within: Duration,
    },
    /// A member in this process can't be created or started.
    #[error("{reason}")]
    Replica {
        /// The member.
        id: NodeId,
        /// What its runtime or its storage said.
        reason: String,
    },
    /// The deploy file is no TOML.
    #[error("{0}")]
    DeployFile(toml::de::Error),
    /// The program is no object file that can be read.
    #[error("{0}")]
    ObjectFile(object::Error),
    /// Requests did not come to wait for a further attempt as the test needs it.
    #[error("not held as meant: tried {attempted}, gone {abandoned}")]
    RequestsNotWaiting {
        /// Whether one of them was attempted.
        attempted: bool,
        /// Whether all were given up after their clients had disconnected.
        abandoned: bool,
    },
}
