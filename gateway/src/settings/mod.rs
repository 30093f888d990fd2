//! The operators' settings, which are read from one HCL file. A key is optional if the tables in
//! [`schema`] give it a default.
//!
//! A file is checked completely before any of it is applied: all errors are reported at once, each
//! with its line and key. The platform's configuration is in `config.rs`.

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

/// The operators' settings, a field for each block of the file.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Settings of the log.
    pub log: Log,
    /// Settings of the REST front end; `None` disables it.
    pub rest: Option<Rest>,
    /// Settings of the cluster that this instance takes part in, if any.
    pub cluster: Option<Cluster>,
    /// Settings of the fleet that this gateway belongs to, if any.
    pub fleet: Option<Fleet>,
}

/// Settings that a cluster's members share. They can hold only keys that a running program applies,
/// and take precedence over each instance's own file.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct SharedSettings(Value);

impl SharedSettings {
    /// Parses the shared settings, which are written like a settings file.
    ///
    /// # Errors
    ///
    /// Returns all errors of the text, in the order of their lines.
    pub fn parse(text: &str) -> Result<Self, Vec<SettingsError>> {
        check(text, TextKind::Shared)?;
        hcl::from_str(text)
            .map(SharedSettings)
            .map_err(|error| vec![SettingsError::of_text(error)])
    }

    /// Returns an instance's own settings, in which the values of the shared keys are replaced by
    /// the shared values.
    #[must_use]
    pub fn applied_over(&self, own: &Settings) -> Settings {
        let Ok(mut all) = serde_json::to_value(own) else {
            return own.clone();
        };
        for (name, block) in self.0.as_object().into_iter().flatten() {
            // A block that the instance does not have is not added: it would, for example, enable a
            // REST front end.
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

/// Reads and checks a settings file. Without a file, every setting has its default.
///
/// # Errors
///
/// Fails if the file can't be read or its text has errors.
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

/// Parses and checks the text of a settings file.
///
/// # Errors
///
/// Returns all errors of the text, in the order of their lines. Conflicts between keys are checked
/// only if there are no other errors, and only the first one is returned.
pub fn parse(text: &str) -> Result<Settings, Vec<SettingsError>> {
    let lines = check(text, TextKind::OwnFile)?;
    // The tables and the types agree (tested in `tests.rs`), so a text that is valid by the tables
    // can be deserialized.
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
