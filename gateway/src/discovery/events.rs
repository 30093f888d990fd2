//! The events of the bus, and what they say of the engine list.

use std::net::{AddrParseError, SocketAddr};

use serde::Deserialize;
use serde_json::Value;
use thiserror::Error;
use violetgate_policy::interface::{Engine, EngineState, ListScope};

use super::engine_ids::EngineIds;
use crate::config::NameTable;
use crate::exchange::ListedEngine;

/// Why an event can't be used.
#[derive(Debug, Error)]
pub(super) enum EventError {
    /// It is not of the form of an event, or one of its engines is not.
    #[error("{0}")]
    Form(#[from] serde_json::Error),
    /// An engine's address can't be read.
    #[error("addr {address:?}: {error}")]
    Address {
        /// The address as given.
        address: String,
        /// What is wrong with it.
        error: AddrParseError,
    },
}

/// One event of the bus.
#[derive(Deserialize)]
pub(super) struct BusEvent {
    /// Its number; each event's is one higher than the last one's.
    pub offset: u64,
    /// What it says of engines, if anything.
    pub topology: Option<Topology>,
}

/// Engines that were added, changed or removed.
#[derive(Deserialize)]
pub(super) struct Topology {
    /// These are all engines; others are removed.
    #[serde(default)]
    pub full: bool,
    /// The engines, in the bus's own form.
    #[serde(default)]
    pub servers: Vec<Value>,
}

#[derive(Deserialize)]
struct Server {
    id: String,
    addr: String,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    kind: String,
    #[serde(default)]
    cell: u32,
    state: ServerState,
    #[serde(default)]
    started_ms: u64,
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "snake_case")]
enum ServerState {
    InService,
    Terminating,
    Terminated,
}

/// The state of a removed engine, in the bus's own form.
pub(super) const TERMINATED: &str = "terminated";

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
    /// Whether it replaces the list or changes it.
    pub(super) fn scope(&self) -> ListScope {
        if self.full {
            ListScope::Snapshot
        } else {
            ListScope::Patch
        }
    }

    /// Its engines in the program's own form.
    pub(super) fn engines(
        &self,
        names: &NameTable,
        ids: &EngineIds,
    ) -> Result<Vec<ListedEngine>, EventError> {
        let read = |server: &Value| listed_engine(&Server::deserialize(server)?, names, ids);
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
        zone: position(&names.zones, &server.zone),
        kind: position(&names.kinds, &server.kind),
        cell: server.cell,
        state: server.state.into(),
        started: (server.started_ms > 0).then(|| server.started_ms.saturating_mul(1000)),
    };
    Ok(ListedEngine { engine, addr })
}

/// The number of a name; one that is not in the table counts as the first.
fn position(names: &[String], name: &str) -> u32 {
    names.iter().position(|n| n == name).unwrap_or(0) as u32
}
