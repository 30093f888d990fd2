//! Errors of a process of lightweight gateways.

use std::path::PathBuf;

use violetgate::control::{ConfigTextError, FleetStartError};
use violetgate::settings::SettingsFileError;

/// The reason that a process of lightweight gateways can't run.
#[derive(Debug, thiserror::Error)]
pub enum LightweightGatewayError {
    /// A file of the run can't be read.
    #[error("{path}: {cause}: check that the file exists and can be read")]
    File {
        /// The path of the file.
        path: PathBuf,
        /// The error of the operating system.
        cause: std::io::Error,
    },
    /// The settings file is not valid.
    #[error("{path}: {cause}: correct the file")]
    Settings {
        /// The path of the settings file.
        path: PathBuf,
        /// The errors in the file.
        cause: SettingsFileError,
    },
    /// A part needs a block that the settings lack.
    #[error("the settings have no `{block}` block, which part {part} needs: add it, or leave the part out")]
    Missing {
        /// The name of the missing block.
        block: &'static str,
        /// The name of the part.
        part: &'static str,
    },
    /// The configuration is not valid.
    #[error("front end {index} can't start: {cause}")]
    Config {
        /// The gateway's number in the fleet run.
        index: usize,
        /// The error in the configuration.
        cause: ConfigTextError,
    },
    /// The gateway's membership in the fleet can't start.
    #[error("front end {index} can't start: {cause}")]
    Fleet {
        /// The gateway's number in the fleet run.
        index: usize,
        /// The error of the membership.
        cause: FleetStartError,
    },
    /// The gateway's port, counted up from that of `fleet.listen`, is above 65535.
    #[error("front end {index} can't start: port {port} for `fleet.listen` is too large: choose a lower first port")]
    Port {
        /// The gateway's number in the fleet run.
        index: usize,
        /// The port that the gateway would have.
        port: usize,
    },
    /// With the settings of the subscription, a gateway's state can't be kept fresh.
    #[error(transparent)]
    Subscription(#[from] violetgate_state_distribution::InvalidSubscriberConfig),
}
