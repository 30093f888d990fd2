//! The codec of the simulator's JSON: one line in, one line out.
//!
//! The simulator uses other names than this crate for most things. Its names occur only in serde
//! renames, in the constants of `command` and `report_field`, and in texts that name a field.
//! Everything else uses the terms of [`crate::interface`]. No rule is decided here.
//!
//! - `adapter` holds the gateways of one process, reads lines and writes replies.
//! - `event` defines the JSON of an event and converts it to [`crate::Event`].
//! - `settings` defines the JSON of the settings and converts it to [`crate::Settings`].
//! - `reply` defines the JSON of a reply and converts it from [`crate::Action`].

mod adapter;
mod event;
mod reply;
mod settings;

pub use adapter::Adapter;
pub use settings::settings_from_json;

use std::collections::BTreeMap;

use crate::interface::{EngineId, Micros};

/// The names of events on the wire: the values of the field `cmd`.
mod command {
    /// A list of engines that later `discovery` events refer to by its slot.
    pub const STORE_LIST: &str = "ledger";
    /// A gateway starts.
    pub const START: &str = "boot";
    /// A gateway ends.
    pub const STOP: &str = "shutdown";
    /// The engine list arrived or changed, or the watch on it failed.
    pub const ENGINE_LIST: &str = "discovery";
    /// A query arrives.
    pub const QUERY_ARRIVED: &str = "ask";
    /// An attempt reports its progress.
    pub const PROGRESS: &str = "change";
    /// A response starts.
    pub const RESPONSE_STARTED: &str = "started";
    /// An attempt ends.
    pub const ATTEMPT_ENDED: &str = "completed";
    /// A client disconnects.
    pub const CLIENT_DISCONNECTED: &str = "client-gone";
    /// A health check ends.
    pub const HEALTH_CHECKED: &str = "checked";
    /// A timer fires.
    pub const TIMER_FIRED: &str = "fired";
    /// A message from another gateway arrives. It is ignored.
    pub const GATEWAY_MESSAGE: &str = "mail";
}

/// The names of the values in a load report.
mod report_field {
    /// The busy fraction of the cores, 0 to 1.
    pub const CPU_UTILISATION: &str = "utilization";
    /// The busy fraction of the disks, 0 to 1.
    pub const DISK_UTILISATION: &str = "x1";
    /// The granted fraction of the memory, 0 to 1.
    pub const MEMORY_UTILISATION: &str = "x0";
    /// The number of queries that wait for memory.
    pub const MEMORY_QUEUE_LENGTH: &str = "backlog";
}

/// The reason why a line from the simulator could not be handled.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// The line is not valid JSON, or a field of it is missing or has an invalid value.
    #[error("field `{path}`: {source}")]
    Malformed {
        /// The path of the field from the root of the JSON object.
        path: String,
        /// The error of the JSON parser at that field.
        source: serde_json::Error,
    },
    /// Other text follows the JSON object in the line.
    #[error("after the batch: {0}")]
    TrailingInput(#[source] serde_json::Error),
    /// An event lacks a field that its command requires, or has an invalid value.
    #[error("events[{index}]: {error}")]
    InvalidEvent {
        /// The index of the event in the line, from 0.
        index: usize,
        /// The reason why the event is invalid.
        #[source]
        error: EventError,
    },
    /// The reply could not be written as JSON.
    #[error("{0}")]
    Encode(#[source] serde_json::Error),
}

impl From<serde_path_to_error::Error<serde_json::Error>> for WireError {
    fn from(error: serde_path_to_error::Error<serde_json::Error>) -> Self {
        WireError::Malformed {
            path: error.path().to_string(),
            source: error.into_inner(),
        }
    }
}

/// The reason why an event is invalid.
#[derive(Debug, thiserror::Error)]
pub enum EventError {
    /// The event lacks a field that its command requires.
    #[error("field `{0}` is missing")]
    MissingField(&'static str),
    /// A field that requires 16 lower-case hexadecimal digits contains something else.
    #[error("field `{0}` is not 16 hex digits")]
    NotHex(&'static str),
    /// The event refers to an engine list that no earlier event has stored.
    #[error("field `slot` names no ledger")]
    UnknownList,
    /// The command of the event is unknown.
    #[error("field `cmd`: no event is called `{0}`")]
    UnknownCommand(String),
}

/// Maps the names of engines on the wire to numbers, assigned in order of first mention.
#[derive(Debug, Default)]
struct EngineNames {
    ids: BTreeMap<String, EngineId>,
    names: Vec<String>,
}

impl EngineNames {
    /// Returns the number of a name. A new name gets the next number.
    fn id(&mut self, name: &str) -> EngineId {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        let id = self.names.len() as EngineId;
        self.names.push(name.to_owned());
        self.ids.insert(name.to_owned(), id);
        id
    }

    /// Returns the name of a number, or an empty text for an unknown number.
    fn name(&self, id: EngineId) -> String {
        self.names.get(id as usize).cloned().unwrap_or_default()
    }
}

/// Converts seconds on the wire to microseconds. Rounds, unlike `units::micros`, since the binary
/// form of a decimal fraction of a second is rarely exact.
fn micros(seconds: f64) -> Micros {
    (seconds.max(0.0) * 1e6).round() as Micros
}

/// Converts microseconds to seconds on the wire.
fn seconds(micros: Micros) -> f64 {
    micros as f64 / 1e6
}
