//! The engine list that members of a cluster store for an instance whose event bus is silent at its
//! start, and whether it is newer than the list that this instance knows.
//!
//! Offsets of events can't tell which list is newer: each start of each instance counts its events
//! from 1. The time at which a list was complete can.

use std::collections::BTreeMap;

use serde_json::Value;
use violetgate_policy::interface::Micros;

/// The maximum time in microseconds from an event until every event bus has reported it.
const MAX_EVENT_DELAY_US: Micros = 7_000_000;
/// The maximum difference between the clocks of two instances, in microseconds.
const MAX_CLOCK_SKEW_US: Micros = 500_000;
/// How long after an event, in microseconds, a list from any event bus includes it, by the clock of
/// any instance.
pub const LIST_SETTLES_AFTER_US: Micros = MAX_EVENT_DELAY_US + MAX_CLOCK_SKEW_US;

/// An engine list that is stored in the cluster.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct StoredEngineList {
    /// The JSON objects of the engines, in the bus's format, by engine name.
    pub engines: BTreeMap<String, Value>,
    /// When the event bus of a member last confirmed that this is the complete list, in
    /// microseconds since the Unix epoch. `None` if that is unknown.
    pub confirmed_at: Option<Micros>,
}

impl StoredEngineList {
    /// Returns whether the list includes every event that had happened at `known_at`, and so can
    /// replace a list that is as old as that.
    #[must_use]
    pub fn includes_events_until(&self, known_at: Micros) -> bool {
        let settled_at = known_at.saturating_add(LIST_SETTLES_AFTER_US);
        self.confirmed_at
            .is_some_and(|confirmed_at| confirmed_at >= settled_at)
    }
}
