//! Errors in the operators' settings.

use std::fmt;
use std::path::{Path, PathBuf};

use thiserror::Error;

/// An error of a settings file. Its message is one line that lists everything that is wrong.
#[derive(Debug, Error)]
pub enum SettingsFileError {
    /// The file can't be read.
    #[error("{}: {error}", .file.display())]
    Unreadable {
        /// The path of the file.
        file: PathBuf,
        /// The error of the read.
        error: std::io::Error,
    },
    /// The text of the file has errors.
    #[error("{}", join_errors(.file, .errors))]
    Invalid {
        /// The path of the file.
        file: PathBuf,
        /// All errors, in the order of their lines.
        errors: Vec<SettingsError>,
    },
}

fn join_errors(file: &Path, errors: &[SettingsError]) -> String {
    let name = file.display();
    let lines: Vec<_> = errors
        .iter()
        .map(|error| format!("{name}:{error}"))
        .collect();
    lines.join("; ")
}

/// An error in a settings text, with its line and key.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct SettingsError {
    /// The line number, from 1.
    pub line: usize,
    /// The key as `block.key`, or the name of the block. Empty if the text can't be parsed.
    pub key: String,
    /// The description of the error.
    pub text: String,
}

impl SettingsError {
    /// Returns the error for a text that can't be parsed, at line 1.
    pub(super) fn of_text(error: impl ToString) -> Self {
        SettingsError {
            line: 1,
            key: String::new(),
            text: error.to_string(),
        }
    }
}

impl fmt::Display for SettingsError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let colon = if self.key.is_empty() { "" } else { ": " };
        write!(formatter, "{}: {}{colon}{}", self.line, self.key, self.text)
    }
}

/// A conflict between a key and other keys of its block, each of which is valid by itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct KeyConflict {
    /// The name of the key that the error message names.
    pub key: &'static str,
    /// The description of the error.
    pub text: &'static str,
}

impl KeyConflict {
    pub(super) fn new(key: &'static str, text: &'static str) -> Self {
        KeyConflict { key, text }
    }
}
