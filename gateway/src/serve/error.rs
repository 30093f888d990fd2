//! Why the gateway can't start.

use std::net::SocketAddr;

use thiserror::Error;

use crate::config::ConfigError;
use crate::fleet::FleetStartError;
use crate::replication::ClusterStartError;
use crate::settings::SettingsFileError;

/// Why the gateway can't start; the text names the variable, file or key at fault, in one line.
#[derive(Debug, Error)]
pub enum StartError {
    /// The operators' settings can't be used.
    #[error("{0}")]
    Settings(#[from] SettingsFileError),
    /// The platform's configuration can't be used.
    #[error("{0}")]
    Config(#[from] ConfigError),
    /// An address is not available.
    #[error("{purpose} {address}: {error}")]
    Bind {
        /// What it is for.
        purpose: &'static str,
        /// The address.
        address: SocketAddr,
        /// Why it is not available.
        error: std::io::Error,
    },
    /// REST clients would connect where others do.
    #[error("`rest.listen`: {0} is where others connect")]
    RestAddressInUse(SocketAddr),
    /// Signals can't be received.
    #[error("signals: {0}")]
    Signals(std::io::Error),
    /// There are no random numbers for the tokens of results.
    #[error("no random numbers for tokens: {0}")]
    Random(getrandom::Error),
    /// The gateway can't take part in its cluster.
    #[error("{0}")]
    Cluster(#[from] ClusterStartError),
    /// The gateway can't take part in its fleet.
    #[error("{0}")]
    Fleet(#[from] FleetStartError),
}
