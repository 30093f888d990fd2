//! The configuration that all instances share, stored as keys of the replicated store.
//!
//! Nothing in this module does I/O or reads a clock. A [`SharedConfig`] is read from the store. The
//! [`ConfigChange`]s between two of them are the steps that an instance has to apply. The functions
//! that return a transaction build changes to be proposed.
//!
//! | key | value |
//! | --- | --- |
//! | `cordons/ENGINE` | the operator who cordoned the engine |
//! | `drains/MEMBER`, `drains/FRONT_END` | the operator who drained the instance |
//! | `settings/current` | the number of the settings version in force |
//! | `settings/versions/N` | the text of version N |
//! | `members/MEMBER` | a member's addresses and the id of its disk |
//! | `engines/ENGINE`, `list` | the last known engine list, and the offset of its last event |
//! | `list-confirmation` | when that list was changed, and when the event bus confirmed it |
//!
//! This module makes no decisions about requests. Of engines, it contains only the cordons that
//! operators requested and the last known list.

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
