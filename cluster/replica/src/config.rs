//! The settings of a replica, and the errors that keep it from starting.

use violetgate_raft::{Config, ConfigError};
use violetgate_replicated_state::{DecodeError, Micros};

/// Maximum number of waiting proposals, and of waiting reads. Beyond it, new commands or reads are
/// rejected as busy.
pub(crate) const MAX_WAITING_CALLS: usize = 10_000;

/// The settings of a replica.
#[derive(Debug, Clone, Copy)]
pub struct ReplicaConfig {
    /// The settings of Raft. They include `election_timeout` and `heartbeat` of the settings file.
    pub raft: Config,
    /// The number of applied entries after which a snapshot is saved. The settings file calls it
    /// `snapshot_every`.
    pub snapshot_interval: u64,
    /// The age in microseconds at which the state is stale: requests are no longer routed by it.
    /// The settings file calls it `drain_limit`.
    pub max_staleness: Micros,
    /// The interval between confirmations of the state, in microseconds, a fraction of
    /// `max_staleness`. The settings file calls it `confirm_every`.
    pub confirm_interval: Micros,
}

impl Default for ReplicaConfig {
    fn default() -> Self {
        ReplicaConfig {
            raft: Config::default(),
            snapshot_interval: 10_000,
            max_staleness: 2_000_000,
            confirm_interval: 250_000,
        }
    }
}

/// The reason why a replica cannot start.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ReplicaError {
    /// The settings of Raft are invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The stored snapshot cannot be decoded. The replica has to be replaced by a new one.
    #[error(transparent)]
    Snapshot(#[from] DecodeError),
}
