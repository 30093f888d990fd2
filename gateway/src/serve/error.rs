//! Errors that prevent the gateway from starting, or a reload from being applied.

use std::net::SocketAddr;

use thiserror::Error;

use crate::config::ConfigError;
use crate::fleet::FleetStartError;
use crate::replication::ClusterStartError;
use crate::settings::SettingsFileError;

/// An error that prevents the gateway from starting, or a reload from being applied. Its message is
/// one line and names the variable, file or key at fault.
#[derive(Debug, Error)]
pub enum StartError {
    /// The operators' settings file can't be read or is invalid.
    #[error("{0}")]
    Settings(#[from] SettingsFileError),
    /// The platform's configuration can't be read or is invalid.
    #[error("{0}")]
    Config(#[from] ConfigError),
    /// The gateway can't listen on an address.
    #[error("{purpose} {address}: {error}")]
    Bind {
        /// The field or key that holds the address.
        purpose: &'static str,
        /// The address that could not be bound.
        address: SocketAddr,
        /// The error of the bind.
        error: std::io::Error,
    },
    /// `rest.listen` is the same address as `listen` or `management` of the platform.
    #[error("`rest.listen`: {0} is already the address of PostgreSQL clients or of management")]
    RestAddressInUse(SocketAddr),
    /// Signal handlers can't be installed.
    #[error("can't receive signals: {0}")]
    Signals(std::io::Error),
    /// The system provides no random numbers, which seal result tokens and number requests.
    #[error("can't get random numbers for tokens and request ids: {0}")]
    Random(getrandom::Error),
    /// The gateway can't start as a member or subscriber of its cluster.
    #[error("{0}")]
    Cluster(#[from] ClusterStartError),
    /// The gateway can't start as a member of its fleet.
    #[error("{0}")]
    Fleet(#[from] FleetStartError),
}
