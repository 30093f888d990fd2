//! Engines as the engine list and their load reports describe them.

use super::Micros;

/// An engine, numbered by the embedding; the number belongs to the machine, not to its address.
pub type EngineId = u32;

/// The state of an engine in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineState {
    /// Its process runs and takes queries.
    Ready,
    /// It finishes the queries that it has and takes no more.
    Draining,
    /// It was removed.
    Removed,
}

/// One entry of the engine list.
#[derive(Debug, Clone, Copy)]
pub struct Engine {
    /// The engine.
    pub id: EngineId,
    /// Its availability zone.
    pub zone: u32,
    /// Its kind, an index into [`Settings::engine_kinds`](super::Settings::engine_kinds).
    pub kind: u32,
    /// Its cell, a part of its zone.
    pub cell: u32,
    /// Its state.
    pub state: EngineState,
    /// When its process last started, if the list says so.
    pub started: Option<Micros>,
}

/// How much of the engine list an event carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListScope {
    /// The full list; engines that it does not hold are removed.
    Snapshot,
    /// The full list as it was known before a restart of this gateway; it may be out of date.
    StaleSnapshot,
    /// Changed entries only.
    Patch,
    /// The watch or a poll failed; the list known so far holds.
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
    /// How many queries wait there for memory. No rule uses it.
    pub memory_queue_length: Option<f64>,
}
