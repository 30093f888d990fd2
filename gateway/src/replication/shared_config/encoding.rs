//! The names of the keys and the form of their values. Both are stored: they stay as they are.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use violetgate_replicated_state::{Entries, Mutation, Revision};

/// Keys with these prefixes have a meaning of their own: only the calls of this module change them.
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
/// Holds the number of the settings version in force.
pub(super) const CURRENT_SETTINGS: &str = "settings/current";
/// Holds the offset of the last event that the stored engine list includes.
pub(super) const ENGINE_LIST_OFFSET: &str = "list";

/// Where a member can be reached, and which disk holds its log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberAddress {
    /// The address for other members.
    pub listen: SocketAddr,
    /// The address of its API, for operators.
    pub api: SocketAddr,
    /// The id of the member's disk; `None` until the member has started.
    #[serde(rename = "born")]
    pub disk_id: Option<u64>,
}

/// The value of a cordon and of a drain: who requested it.
#[derive(Debug, Serialize)]
struct RequestedBy<'a> {
    #[serde(rename = "by")]
    operator: &'a str,
}

/// The key of a settings version. The number has leading zeros, so that keys sort by it.
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

/// All entries under a prefix, by the rest of their keys.
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

/// The number that a key holds in decimal digits.
pub(super) fn number_at(state: &impl Entries, key: &str) -> Option<u64> {
    std::str::from_utf8(state.entry(key)?.value)
        .ok()?
        .parse()
        .ok()
}

/// The revision that last changed a key; 0 if there is no such key.
pub(super) fn revision_of(state: &impl Entries, key: &str) -> Revision {
    state.entry(key).map_or(0, |current| current.revision)
}
