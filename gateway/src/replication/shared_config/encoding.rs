//! The names of the keys and the encoding of their values. Both are stored, and other versions of
//! the program read them, so they must not change.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use violetgate_replicated_state::{Entries, Mutation, Revision};

/// The prefixes of the keys that contain the shared configuration. Only the transactions of
/// [`shared_config`](super) change these keys.
pub const RESERVED_PREFIXES: [&str; 6] = [
    CORDON_PREFIX,
    DRAIN_PREFIX,
    "settings/",
    MEMBER_PREFIX,
    ENGINE_PREFIX,
    ENGINE_LIST_OFFSET,
];

pub(super) const CORDON_PREFIX: &str = "cordons/";
pub(super) const DRAIN_PREFIX: &str = "drains/";
pub(super) const MEMBER_PREFIX: &str = "members/";
pub(super) const ENGINE_PREFIX: &str = "engines/";
pub(super) const SETTINGS_VERSION_PREFIX: &str = "settings/versions/";
/// The key that contains the number of the settings version in force.
pub(super) const CURRENT_SETTINGS: &str = "settings/current";
/// The key that contains the offset of the last event included in the stored engine list, as the
/// instance that stored it counts events. Versions before read it.
pub(super) const ENGINE_LIST_OFFSET: &str = "list";
/// The key that contains when the stored engine list was changed and confirmed.
pub(super) const ENGINE_LIST_CONFIRMATION: &str = "list-confirmation";

/// The addresses of a member and the id of the disk that contains its log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberAddress {
    /// The address at which other members reach it.
    pub listen: SocketAddr,
    /// The address of its cluster API.
    pub api: SocketAddr,
    /// The id of the member's disk; `None` until the member has started. Stored as `born`, because
    /// existing stores have this name.
    #[serde(rename = "born")]
    pub disk_id: Option<u64>,
}

/// The value of a cordon or drain key: the operator who requested it.
#[derive(Debug, Serialize)]
struct RequestedBy<'a> {
    #[serde(rename = "by")]
    operator: &'a str,
}

/// Returns the key of a settings version. The number has leading zeros, so that the keys sort by
/// version.
pub(super) fn settings_version_key(version: u64) -> String {
    format!("{SETTINGS_VERSION_PREFIX}{version:08}")
}

pub(super) fn requested_by(operator: &str) -> Vec<u8> {
    serde_json::to_vec(&RequestedBy { operator }).unwrap_or_default()
}

pub(super) fn put(key: String, value: impl Into<Vec<u8>>) -> Mutation {
    Mutation::Put {
        key,
        value: value.into(),
        lease: None,
    }
}

/// Returns all entries whose keys have the prefix, with the prefix removed from the keys.
pub(super) fn entries_under(
    state: &impl Entries,
    prefix: &'static str,
) -> impl Iterator<Item = (String, Vec<u8>)> {
    let entries = state.entries_with_prefix(prefix).into_iter();
    entries.map(|entry| {
        let name = entry.key.get(prefix.len()..).unwrap_or_default();
        (name.to_owned(), entry.value)
    })
}

/// Parses the value of a key as a decimal number. Returns `None` if there is no such key or number.
pub(super) fn number_at(state: &impl Entries, key: &str) -> Option<u64> {
    std::str::from_utf8(state.entry(key)?.value)
        .ok()?
        .parse()
        .ok()
}

/// Returns the revision that last changed a key; 0 if there is no such key.
pub(super) fn revision_of(state: &impl Entries, key: &str) -> Revision {
    state.entry(key).map_or(0, |current| current.revision)
}
