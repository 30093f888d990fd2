//! The operators' settings: one HCL file, whose every key is optional unless its block says
//! otherwise.
//!
//! A file is checked completely before anything of it counts: all errors are reported at once, each
//! with its line and key. What the platform states is not here, but in `config.rs`.

mod check;
mod error;
mod reference;
pub mod schema;
mod types;

use std::path::Path;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use check::{check, TextKind};

pub use error::{SettingsError, SettingsFileError};
pub use reference::reference;
pub use types::{gateway_name, Cluster, ClusterRole, Fleet, InvalidName, Log, Rest, Size, Span};

/// All settings.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// The log.
    pub log: Log,
    /// The REST front, if there is one.
    pub rest: Option<Rest>,
    /// The cluster that this instance takes part in, if it does in one.
    pub cluster: Option<Cluster>,
    /// The fleet that this gateway belongs to, if it does to one.
    pub fleet: Option<Fleet>,
}

/// Settings that a cluster's members share: some of the keys that are applied while the program
/// runs. They come before what an instance's own file says.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct SharedSettings(Value);

impl SharedSettings {
    /// Reads their text, which has the form of a settings file.
    ///
    /// # Errors
    ///
    /// All errors of the text, by line.
    pub fn parse(text: &str) -> Result<Self, Vec<SettingsError>> {
        check(text, TextKind::Shared)?;
        hcl::from_str(text)
            .map(SharedSettings)
            .map_err(|error| vec![SettingsError::of_text(error)])
    }

    /// An instance's settings under these.
    #[must_use]
    pub fn applied_over(&self, own: &Settings) -> Settings {
        let Ok(mut all) = serde_json::to_value(own) else {
            return own.clone();
        };
        for (name, block) in self.0.as_object().into_iter().flatten() {
            // A block that the instance does not have, as that of a front end, is not added.
            let Some(own_block) = all.get_mut(name).and_then(Value::as_object_mut) else {
                continue;
            };
            for (key, value) in block.as_object().into_iter().flatten() {
                own_block.insert(key.clone(), value.clone());
            }
        }
        serde_json::from_value(all).unwrap_or_else(|_| own.clone())
    }
}

/// Reads a file; without one, every setting has its default.
///
/// # Errors
///
/// It can't be read or used.
pub fn read(file: Option<&Path>) -> Result<Settings, SettingsFileError> {
    let Some(file) = file else {
        return Ok(Settings::default());
    };
    let text = std::fs::read_to_string(file).map_err(|error| SettingsFileError::Unreadable {
        file: file.to_owned(),
        error,
    })?;
    parse(&text).map_err(|errors| SettingsFileError::Invalid {
        file: file.to_owned(),
        errors,
    })
}

/// Reads a file's text.
///
/// # Errors
///
/// All errors of the text, by line.
pub fn parse(text: &str) -> Result<Settings, Vec<SettingsError>> {
    let lines = check(text, TextKind::OwnFile)?;
    // The tables and the types agree (tested in `tests.rs`), so this can't fail on what has passed
    // them.
    let settings: Settings =
        hcl::from_str(text).map_err(|error| vec![SettingsError::of_text(error)])?;
    let cluster = settings.cluster.as_ref().map_or(Ok(()), Cluster::check);
    let fleet = settings.fleet.as_ref().map_or(Ok(()), Fleet::check);
    let (block, conflict) = match (cluster, fleet) {
        (Err(conflict), _) => ("cluster", conflict),
        (_, Err(conflict)) => ("fleet", conflict),
        _ => return Ok(settings),
    };
    let key = format!("{block}.{}", conflict.key);
    let line = lines.get(&key).or(lines.get(block)).copied().unwrap_or(1);
    Err(vec![SettingsError {
        line,
        key,
        text: conflict.text.to_owned(),
    }])
}

#[cfg(test)]
mod tests;
