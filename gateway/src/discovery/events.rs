//! The events of the bus, and the changes of the engine list that they contain.

use std::net::{AddrParseError, SocketAddr};

use serde::{Deserialize, Serialize};
use serde_json::Number;
use thiserror::Error;
use violetgate_policy::interface::{Engine, EngineState, ListScope};

use super::engine_ids::EngineIds;
use crate::config::NameTable;
use crate::exchange::ListedEngine;

/// Why an event can't be used.
#[derive(Debug, Error)]
pub(super) enum EventError {
    /// The JSON is not that of an event, or one of its engines is malformed.
    #[error("{0}")]
    Form(#[from] serde_json::Error),
    /// An engine's address is not an IP address with a port.
    #[error("addr {address:?}: {error}")]
    Address {
        /// The address as the event has it.
        address: String,
        /// The error of the address parser.
        error: AddrParseError,
    },
}

/// One event of the bus. It is read without an intermediate tree of values, which would take many
/// times the size of the line.
#[derive(Deserialize)]
pub(super) struct BusEvent {
    /// The event's number, one higher than that of the event before it.
    pub offset: u64,
    /// The engines that the event is about, if any.
    pub topology: Option<Topology>,
}

/// Engines that were added, changed or removed.
#[derive(Deserialize)]
pub(super) struct Topology {
    /// Whether `servers` is the complete list, so that all other engines are removed.
    #[serde(default)]
    pub full: bool,
    /// The engines.
    #[serde(default)]
    pub servers: Vec<Server>,
}

/// An engine in the bus's JSON format. Fields that the gateway does not know are dropped.
#[derive(Deserialize, Serialize)]
pub(super) struct Server {
    pub id: String,
    addr: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    zone: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    kind: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    cell: Option<u32>,
    pub state: ServerState,
    /// Not used here; other instances may get it from the stored list.
    #[serde(skip_serializing_if = "Option::is_none")]
    weight: Option<Number>,
    #[serde(skip_serializing_if = "Option::is_none")]
    started_ms: Option<u64>,
}

/// The state of an engine in the bus's JSON format.
#[derive(Debug, Deserialize, Serialize, Clone, Copy, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub(super) enum ServerState {
    InService,
    Terminating,
    Terminated,
}

impl From<ServerState> for EngineState {
    fn from(state: ServerState) -> Self {
        match state {
            ServerState::InService => EngineState::Ready,
            ServerState::Terminating => EngineState::Draining,
            ServerState::Terminated => EngineState::Removed,
        }
    }
}

impl Topology {
    /// Whether these engines replace the list or change parts of it.
    pub(super) fn scope(&self) -> ListScope {
        if self.full {
            ListScope::Snapshot
        } else {
            ListScope::Patch
        }
    }

    /// Converts the engines to the program's own type. Fails if any of them is malformed.
    pub(super) fn engines(
        &self,
        names: &NameTable,
        ids: &EngineIds,
    ) -> Result<Vec<ListedEngine>, EventError> {
        let read = |server: &Server| listed_engine(server, names, ids);
        self.servers.iter().map(read).collect()
    }
}

fn listed_engine(
    server: &Server,
    names: &NameTable,
    ids: &EngineIds,
) -> Result<ListedEngine, EventError> {
    let addr: SocketAddr = server.addr.parse().map_err(|error| EventError::Address {
        address: server.addr.clone(),
        error,
    })?;
    let engine = Engine {
        id: ids.id_of(&server.id),
        zone: position(&names.zones, server.zone.as_deref()),
        kind: position(&names.kinds, server.kind.as_deref()),
        cell: server.cell.unwrap_or(0),
        state: server.state.into(),
        started: server
            .started_ms
            .filter(|started_ms| *started_ms > 0)
            .map(|started_ms| started_ms.saturating_mul(1000)),
    };
    Ok(ListedEngine { engine, addr })
}

/// The index of a zone or an engine kind in its table. A name that is not in the table gets 0.
fn position(names: &[String], name: Option<&str>) -> u32 {
    let position = name.and_then(|name| names.iter().position(|n| n == name));
    position.unwrap_or(0) as u32
}
