//! Decisions for a *gateway*: the front that admits queries, holds them in virtual queues and hands
//! them to query engines with limited memory.
//!
//! [`Gateway`] does no input or output and keeps no clock. An embedding feeds it [`Event`]s with the time
//! at which they happened and carries out the [`Action`]s that it returns. See [`interface`] for an example.

mod gateway;
pub mod interface;
mod rules;
mod state;
pub mod wire;

pub use gateway::{EngineCounts, Gateway};
pub use interface::{Action, Event, Settings};
