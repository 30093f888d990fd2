//! Why lightweight gateways can't run.

use std::path::PathBuf;

use violetgate::control::{ConfigTextError, FleetStartError};
use violetgate::settings::SettingsFileError;

/// Why lightweight gateways can't run.
#[derive(Debug, thiserror::Error)]
pub enum LightweightGatewayError {
    /// A file of the run can't be read.
    #[error("{path}: {cause}: check that the file exists and can be read")]
    File {
        /// The file.
        path: PathBuf,
        /// Why.
        cause: std::io::Error,
    },
    /// The settings can't be used.
    #[error("{path}: {cause}: correct the file")]
    Settings {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        cause: SettingsFileError,
    },
    /// A part needs a block that the settings lack.
    #[error("the settings have no `{block}` block, which part {part} needs: add it, or leave the part out")]
    Missing {
        /// The block.
        block: &'static str,
        /// The part.
        part: &'static str,
    },
    /// The configuration can't be used.
    #[error("front end {index} can't start: {cause}")]
    Config {
        /// The gateway's number in the fleet run.
        index: usize,
        /// What is wrong.
        cause: ConfigTextError,
    },
    /// The membership can't start.
    #[error("front end {index} can't start: {cause}")]
    Fleet {
        /// The gateway's number in the fleet run.
        index: usize,
        /// Why.
        cause: FleetStartError,
    },
    /// The ports from `fleet.listen` on do not suffice.
    #[error("front end {index} can't start: port {port} for `fleet.listen` is too large: choose a lower first port")]
    Port {
        /// The gateway's number in the fleet run.
        index: usize,
        /// The port that it would have.
        port: usize,
    },
    /// The settings of the subscription can't keep a gateway's state fresh.
    #[error(transparent)]
    Subscription(#[from] violetgate_state_distribution::InvalidSubscriberConfig),
}
