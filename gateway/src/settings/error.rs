//! What is wrong with settings.

use std::fmt;
use std::path::{Path, PathBuf};

use thiserror::Error;

/// Why a settings file can't be used; one line names all that is wrong with it.
#[derive(Debug, Error)]
pub enum SettingsFileError {
    /// It can't be read.
    #[error("{}: {error}", .file.display())]
    Unreadable {
        /// The file.
        file: PathBuf,
        /// Why.
        error: std::io::Error,
    },
    /// Its text has errors.
    #[error("{}", join_errors(.file, .errors))]
    Invalid {
        /// The file.
        file: PathBuf,
        /// All errors, by line.
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

/// What is wrong with a settings text, and where.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct SettingsError {
    /// The line, from 1.
    pub line: usize,
    /// `block.key`, or the block; empty where the text can't be read at all.
    pub key: String,
    /// What is wrong.
    pub text: String,
}

impl SettingsError {
    /// An error of a text that can't be read at all.
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

/// What is wrong with a key only together with others of its block.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct KeyConflict {
    /// The key.
    pub key: &'static str,
    /// What is wrong.
    pub text: &'static str,
}

impl KeyConflict {
    pub(super) fn new(key: &'static str, text: &'static str) -> Self {
        KeyConflict { key, text }
    }
}
