//! The configuration that all instances share, as keys of the replicated store.
//!
//! Nothing here does I/O or reads a clock. A [`SharedConfig`] is read from the store; the
//! [`ConfigChange`]s between two of them are what an instance has to carry out; the functions that
//! return a transaction say what has to be proposed.
//!
//! | key | value |
//! | --- | --- |
//! | `cordons/ENGINE` | the engine is cordoned: who requested it |
//! | `drains/MEMBER`, `drains/FRONT_END` | the instance is drained: who requested it |
//! | `settings/current` | the number of the settings version in force |
//! | `settings/versions/N` | the text of version N |
//! | `members/MEMBER` | a member's addresses and the id of its disk |
//! | `engines/ENGINE`, `list` | the last known engine list, and the offset of its last event |
//!
//! It decides nothing about a request, and about an engine only what operators requested.

mod encoding;
pub mod engine_list;
mod operator_requests;
pub mod settings_versions;
mod view;

pub use encoding::{MemberAddress, RESERVED_PREFIXES};
pub use operator_requests::{record_member, set_cordon, set_drain};
pub use settings_versions::{SettingsRejection, SettingsVersion};
pub use view::{ConfigChange, SharedConfig};

#[cfg(test)]
mod tests;
