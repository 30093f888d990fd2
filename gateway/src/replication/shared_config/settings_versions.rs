//! The shared settings as numbered versions, one of which is in force.

use thiserror::Error;
use violetgate_replicated_state::{
    Condition, Entries, KeyValue, Mutation, Revision, Txn, MAX_VALUE_BYTES,
};

use super::encoding::{
    number_at, put, revision_of, settings_version_key, CURRENT_SETTINGS, SETTINGS_VERSION_PREFIX,
};
use crate::settings::{SettingsError, SharedSettings};

/// The number of versions that stay in the store. Each further version deletes the oldest one.
pub(super) const RETAINED_VERSIONS: u64 = 50;

/// A numbered version of the shared settings.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct SettingsVersion {
    /// The version number, from 1.
    pub number: u64,
    /// The settings, in the format of a settings file.
    pub text: String,
}

/// Why settings are rejected before they are proposed.
#[derive(Debug, PartialEq, Eq, Error)]
pub enum SettingsRejection {
    /// The text has errors.
    #[error("the settings have {} errors: correct each line that is named", .0.len())]
    Invalid(Vec<SettingsError>),
    /// The text is longer than the store allows a value to be.
    #[error("the settings are too long: {MAX_VALUE_BYTES} bytes are the most")]
    TooLong,
    /// The version in force is not the one that the caller expected to replace.
    #[error("version {current} is in force: read it, and apply the change to it")]
    VersionConflict {
        /// The number of the version in force; 0 if there is none.
        current: u64,
    },
    /// The version does not exist or is no longer retained.
    #[error("that version is not retained: only the last {RETAINED_VERSIONS} are")]
    UnknownVersion,
}

/// A retained version and the revision of the store that created it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetainedVersion {
    /// The version number, from 1.
    pub number: u64,
    /// The revision of the store that created the version.
    pub revision: Revision,
}

/// Returns the text of a version, if it is retained.
#[must_use]
pub fn text(state: &impl Entries, version: u64) -> Option<String> {
    let text = state.entry(&settings_version_key(version))?.value;
    String::from_utf8(text.to_vec()).ok()
}

/// Returns the number of the version in force; 0 if there is none.
#[must_use]
pub fn current_number(state: &impl Entries) -> u64 {
    number_at(state, CURRENT_SETTINGS).unwrap_or(0)
}

/// Returns the version in force with its text, if there is one.
#[must_use]
pub fn current_version(state: &impl Entries) -> Option<SettingsVersion> {
    let number = number_at(state, CURRENT_SETTINGS)?;
    let text = text(state, number)?;
    Some(SettingsVersion { number, text })
}

/// Returns the retained versions, oldest first.
#[must_use]
pub fn retained(state: &impl Entries) -> Vec<RetainedVersion> {
    let entries = state.entries_with_prefix(SETTINGS_VERSION_PREFIX);
    let version = |entry: &KeyValue| {
        Some(RetainedVersion {
            number: entry
                .key
                .get(SETTINGS_VERSION_PREFIX.len()..)?
                .parse()
                .ok()?,
            revision: entry.revision,
        })
    };
    entries.iter().filter_map(version).collect()
}

/// Returns the number of the version that a revision of the store created, if it is retained.
#[must_use]
pub fn version_created_by(state: &impl Entries, revision: Revision) -> Option<u64> {
    let versions = retained(state);
    let made = versions.iter().find(|v| v.revision == revision);
    made.map(|version| version.number)
}

/// Returns the number of a new version and the transaction that puts it in force with this text.
///
/// If `expected` is given, that version has to be in force; 0 stands for none. If two proposals
/// replace the same version, the condition holds for only one of them.
///
/// # Errors
///
/// Returns an error if the text is not valid, or if another version than `expected` is in force.
pub fn propose(
    state: &impl Entries,
    text: &str,
    expected: Option<u64>,
) -> Result<(u64, Txn), SettingsRejection> {
    SharedSettings::parse(text).map_err(SettingsRejection::Invalid)?;
    if text.len() > MAX_VALUE_BYTES {
        return Err(SettingsRejection::TooLong);
    }
    let current = current_number(state);
    if expected.is_some_and(|version| version != current) {
        return Err(SettingsRejection::VersionConflict { current });
    }
    let next = current + 1;
    let mut then = vec![
        put(settings_version_key(next), text),
        put(CURRENT_SETTINGS.to_owned(), next.to_string()),
    ];
    if let Some(oldest) = next.checked_sub(RETAINED_VERSIONS) {
        then.push(Mutation::Delete(settings_version_key(oldest)));
    }
    let unchanged = Condition::RevisionIs(
        CURRENT_SETTINGS.to_owned(),
        revision_of(state, CURRENT_SETTINGS),
    );
    let transaction = Txn {
        conditions: vec![unchanged],
        then,
        ..Txn::default()
    };
    Ok((next, transaction))
}

/// Returns the number of a new version and the transaction that puts it in force with the text of
/// an earlier version.
///
/// # Errors
///
/// Returns an error if the earlier version is not retained, or if its text is no longer valid.
pub fn roll_back(state: &impl Entries, version: u64) -> Result<(u64, Txn), SettingsRejection> {
    let text = text(state, version).ok_or(SettingsRejection::UnknownVersion)?;
    propose(state, &text, None)
}
