//! Discovery: follows the engine list on the event bus, starting from the last known offset.
//!
//! The bus has a line protocol. The client sends the offset after which it wants events, and gets
//! the events as JSON lines. About once a second the bus sends its last offset on a line of its own
//! as a heartbeat. A gap in the offsets, a malformed line or silence ends the session, and the next
//! session resumes after the last event that was applied.

mod client;
mod engine_ids;
mod events;
mod source;
mod stored_list;
mod substitution;

pub use client::DiscoveryClient;
pub use engine_ids::EngineIds;
pub use source::{DiscoverySource, DiscoveryTraffic, EngineListSnapshot, ListRetention};
pub use stored_list::{StoredEngineList, LIST_SETTLES_AFTER_US};

#[cfg(test)]
mod substitution_tests;
#[cfg(test)]
mod tests;
