//! The shared settings: numbered versions, one of which is in force.

use thiserror::Error;
use violetgate_replicated_state::{
    Condition, Entries, KeyValue, Mutation, Revision, Txn, MAX_VALUE_BYTES,
};

use super::encoding::{
    number_at, put, revision_of, settings_version_key, CURRENT_SETTINGS, SETTINGS_VERSION_PREFIX,
};
use crate::settings::{SettingsError, SharedSettings};

/// How many versions stay in the store; the oldest is deleted with each new one.
pub(super) const RETAINED_VERSIONS: u64 = 50;

/// A numbered version of the shared settings.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct SettingsVersion {
    /// Its number, from 1.
    pub number: u64,
    /// Its text, in the form of a settings file.
    pub text: String,
}

/// Why settings are not proposed.
#[derive(Debug, PartialEq, Eq, Error)]
pub enum SettingsRejection {
    /// The text has errors.
    #[error("the settings have {} errors: correct each line that is named", .0.len())]
    Invalid(Vec<SettingsError>),
    /// The text is longer than a value of the store may be.
    #[error("the settings are too long: {MAX_VALUE_BYTES} bytes are the most")]
    TooLong,
    /// Another version is in force than the one that was to be replaced.
    #[error("version {current} is in force: read it, and apply the change to it")]
    VersionConflict {
        /// The version in force; 0: none is.
        current: u64,
    },
    /// The store no longer holds that version.
    #[error("that version is not retained: only the last {RETAINED_VERSIONS} are")]
    UnknownVersion,
}

/// A version that is retained, and the revision of the store that made it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetainedVersion {
    /// Its number.
    pub number: u64,
    /// The revision that made it.
    pub revision: Revision,
}

/// The text of a version, if it is retained.
#[must_use]
pub fn text(state: &impl Entries, version: u64) -> Option<String> {
    let text = state.entry(&settings_version_key(version))?.value;
    String::from_utf8(text.to_vec()).ok()
}

/// The number of the version in force; 0: none is.
#[must_use]
pub fn current(state: &impl Entries) -> u64 {
    number_at(state, CURRENT_SETTINGS).unwrap_or(0)
}

/// The version in force, with its text.
#[must_use]
pub fn in_force(state: &impl Entries) -> Option<SettingsVersion> {
    let number = number_at(state, CURRENT_SETTINGS)?;
    let text = text(state, number)?;
    Some(SettingsVersion { number, text })
}

/// The retained versions, oldest first.
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

/// The version that a revision of the store made.
#[must_use]
pub fn made_by(state: &impl Entries, revision: Revision) -> Option<u64> {
    let versions = retained(state);
    let made = versions.iter().find(|v| v.revision == revision);
    made.map(|version| version.number)
}

/// The transaction that puts a text in force as a new version, and the number of that version.
///
/// With `expected`, only while that version is in force; 0 stands for none. Of two proposals that
/// replace the same version, the condition of one does not hold.
///
/// # Errors
///
/// The text can't be used, or another version is in force.
pub fn propose(
    state: &impl Entries,
    text: &str,
    expected: Option<u64>,
) -> Result<(u64, Txn), SettingsRejection> {
    SharedSettings::parse(text).map_err(SettingsRejection::Invalid)?;
    if text.len() > MAX_VALUE_BYTES {
        return Err(SettingsRejection::TooLong);
    }
    let current = current(state);
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

/// The transaction that puts an earlier version in force again, as a new one, and its number.
///
/// # Errors
///
/// That version is not retained, or can't be used any more.
pub fn roll_back(state: &impl Entries, version: u64) -> Result<(u64, Txn), SettingsRejection> {
    let text = text(state, version).ok_or(SettingsRejection::UnknownVersion)?;
    propose(state, &text, None)
}
