//! The codec of the simulator's JSON: one line in, one line out.
//!
//! The simulator has names of its own for most things. They are written down once, as serde
//! renames and as the constants of `command` and `report_field`; everything else uses the
//! terms of [`crate::interface`]. Nothing is decided here.
//!
//! - `adapter`: the gateways of one process, and the lines that come in and go out;
//! - `event`: the form of an event and its conversion to [`crate::Event`];
//! - `settings`: the form of the settings and their conversion to [`crate::Settings`];
//! - `reply`: the form of a reply and the conversion from [`crate::Action`].

mod adapter;
mod event;
mod reply;
mod settings;

pub use adapter::Adapter;
pub use settings::settings_from_json;

use std::collections::BTreeMap;

use crate::interface::{EngineId, Micros};

/// The names of events on the wire, the values of the field `cmd`.
mod command {
    /// A list that later `discovery` events refer to by its slot.
    pub const STORE_LIST: &str = "ledger";
    /// A gateway starts.
    pub const START: &str = "boot";
    /// A gateway ends.
    pub const STOP: &str = "shutdown";
    /// The engine list, or a change of it.
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
    /// A health check has its result.
    pub const HEALTH_CHECKED: &str = "checked";
    /// A timer fires.
    pub const TIMER_FIRED: &str = "fired";
    /// A message between gateways; this module uses none.
    pub const GATEWAY_MESSAGE: &str = "mail";
}

/// The names of the values in a load report.
mod report_field {
    /// Busy fraction of the cores.
    pub const CPU_UTILISATION: &str = "utilization";
    /// Busy fraction of the disks.
    pub const DISK_UTILISATION: &str = "x1";
    /// Granted fraction of the memory.
    pub const MEMORY_UTILISATION: &str = "x0";
    /// Queries that wait for memory.
    pub const MEMORY_QUEUE_LENGTH: &str = "backlog";
}

/// What was wrong with a line.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// A field is missing, or holds what it must not.
    #[error("field `{path}`: {source}")]
    Malformed {
        /// The path of the field from the top of the line.
        path: String,
        /// What is wrong with it.
        source: serde_json::Error,
    },
    /// Something follows the JSON object.
    #[error("after the batch: {0}")]
    TrailingInput(#[source] serde_json::Error),
    /// An event lacks a field that its command needs, or holds what it must not.
    #[error("events[{index}]: {error}")]
    InvalidEvent {
        /// The place of the event in the batch, from 0.
        index: usize,
        /// What is wrong with it.
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

/// What was wrong with one event.
#[derive(Debug, thiserror::Error)]
pub enum EventError {
    /// Its command needs a field that it lacks.
    #[error("field `{0}` is missing")]
    MissingField(&'static str),
    /// A number that has to be written as 16 hexadecimal digits is not.
    #[error("field `{0}` is not 16 hex digits")]
    NotHex(&'static str),
    /// It refers to an engine list that no event has stored.
    #[error("field `slot` names no ledger")]
    UnknownList,
    /// Its command is not known.
    #[error("field `cmd`: no event is called `{0}`")]
    UnknownCommand(String),
}

/// The names of engines on the wire and their numbers, in order of first mention.
#[derive(Debug, Default)]
struct EngineNames {
    ids: BTreeMap<String, EngineId>,
    names: Vec<String>,
}

impl EngineNames {
    /// The number of a name; a new name gets the next number.
    fn id(&mut self, name: &str) -> EngineId {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        let id = self.names.len() as EngineId;
        self.names.push(name.to_owned());
        self.ids.insert(name.to_owned(), id);
        id
    }

    /// The name of a number.
    fn name(&self, id: EngineId) -> String {
        self.names.get(id as usize).cloned().unwrap_or_default()
    }
}

/// Seconds on the wire to microseconds. Rounds, unlike `units::micros`: a decimal fraction of a
/// second is rarely an exact number.
fn micros(seconds: f64) -> Micros {
    (seconds.max(0.0) * 1e6).round() as Micros
}

/// Microseconds to seconds on the wire.
fn seconds(micros: Micros) -> f64 {
    micros as f64 / 1e6
}
