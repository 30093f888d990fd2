//! Engines, as the engine list and load reports describe them.

use super::Micros;

/// The number of an engine, assigned by the embedding. It identifies the machine, not its address.
pub type EngineId = u32;

/// The state of an engine in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineState {
    /// The engine's process runs and takes queries.
    Ready,
    /// The engine finishes the queries that it has and takes no more.
    Draining,
    /// The engine was removed.
    Removed,
}

/// The place of an engine. It decides which engines discard each other's duplicates, see
/// [`DedupGroup`](super::DedupGroup).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineLocation {
    /// The engine's availability zone.
    pub zone: u32,
    /// The engine's cell, a part of its zone.
    pub cell: u32,
}

/// One entry of the engine list.
#[derive(Debug, Clone, Copy)]
pub struct Engine {
    /// The number of the engine.
    pub id: EngineId,
    /// The engine's availability zone.
    pub zone: u32,
    /// The engine's kind, an index into [`Settings::engine_kinds`](super::Settings::engine_kinds).
    pub kind: u32,
    /// The engine's cell, a part of its zone.
    pub cell: u32,
    /// Whether the engine takes queries.
    pub state: EngineState,
    /// The time at which the engine's process last started, if the list contains it.
    pub started: Option<Micros>,
}

impl Engine {
    /// Returns the place of the engine.
    #[must_use]
    pub fn location(&self) -> EngineLocation {
        EngineLocation {
            zone: self.zone,
            cell: self.cell,
        }
    }
}

/// How much of the engine list an event carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListScope {
    /// The event carries the full list. Engines that are not in it are removed.
    Snapshot,
    /// The event carries the full list as this gateway knew it before it restarted. The list may be
    /// out of date.
    StaleSnapshot,
    /// The event carries changed entries only.
    Patch,
    /// The watch or a poll of the list failed. The last known list stays in use.
    WatchFailed,
}

/// The load report of an engine; a value that it does not report is `None`.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct LoadReport {
    /// The busy fraction of its cores, 0 to 1.
    pub cpu_utilisation: Option<f64>,
    /// The busy fraction of its disks, 0 to 1.
    pub disk_utilisation: Option<f64>,
    /// The granted fraction of its memory, 0 to 1. No rule uses it.
    pub memory_utilisation: Option<f64>,
    /// The number of queries that wait at the engine for memory. No rule uses it.
    pub memory_queue_length: Option<f64>,
}
