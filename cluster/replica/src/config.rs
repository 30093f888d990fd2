//! The settings of a replica, and why it can't start.

use violetgate_raft::{Config, ConfigError};
use violetgate_replicated_state::{DecodeError, Micros};

/// The most calls that wait for their response; more are rejected as busy.
pub(crate) const MAX_WAITING_CALLS: usize = 10_000;

/// How a replica behaves.
#[derive(Debug, Clone, Copy)]
pub struct ReplicaConfig {
    /// The settings of Raft; of the settings file, `election_timeout` and `heartbeat` go here.
    pub raft: Config,
    /// A snapshot is saved after this many entries; `snapshot_every` in the settings file.
    pub snapshot_interval: u64,
    /// State that was not confirmed for this long is not routed by, in microseconds;
    /// `drain_limit` in the settings file.
    pub max_staleness: Micros,
    /// How often the state is confirmed, in microseconds; a fraction of `max_staleness`.
    /// `confirm_every` in the settings file.
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

/// Why a replica can't start.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ReplicaError {
    /// Its settings contradict each other.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// Its snapshot holds no state. The replica has to be replaced by a new one.
    #[error(transparent)]
    Snapshot(#[from] DecodeError),
}
