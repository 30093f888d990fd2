//! The operators' settings: one HCL file, whose every key is optional unless its block says otherwise.
//!
//! A file is checked as a whole before anything of it counts: all errors are told at once, each with its line
//! and key. What the platform tells a front end is not here, but in `config.rs`.

pub mod schema;
mod types;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use hcl_edit::expr::{Expression, ObjectKey};
use hcl_edit::structure::{Body, Structure};
use hcl_edit::Span as Place;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use thiserror::Error;

pub use types::{front_end_name, Cluster, ClusterRole, Fleet, Log, Rest, Size, Span};

use schema::{Block, Key, Kind, BLOCKS};

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
    /// The fleet that this front end is one of, if it is told of one.
    pub fleet: Option<Fleet>,
}

/// Settings that members agree on: some of the keys that are taken while the program runs. They come before what an
/// instance's own file says.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct SharedSettings(Value);

impl SharedSettings {
    /// Reads their text, which has the form of a settings file.
    ///
    /// # Errors
    ///
    /// All that is wrong with it, by line.
    pub fn parse(text: &str) -> Result<Self, Vec<SettingsError>> {
        checked(text, true)?;
        hcl::from_str(text)
            .map(SharedSettings)
            .map_err(|e| vec![whole(e.to_string())])
    }

    /// An instance's settings under these.
    #[must_use]
    pub fn over(&self, own: &Settings) -> Settings {
        let Ok(mut all) = serde_json::to_value(own) else {
            return own.clone();
        };
        for (name, block) in self.0.as_object().into_iter().flatten() {
            // A block that an instance does not have at all, such as a front of its own, stays away.
            let Some(mine) = all.get_mut(name).and_then(Value::as_object_mut) else {
                continue;
            };
            for (key, value) in block.as_object().into_iter().flatten() {
                mine.insert(key.clone(), value.clone());
            }
        }
        serde_json::from_value(all).unwrap_or_else(|_| own.clone())
    }
}

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
    /// `block.key`, or the block; empty where the file can't be read at all.
    pub key: String,
    /// What is wrong.
    pub text: String,
}

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let colon = if self.key.is_empty() { "" } else { ": " };
        write!(f, "{}: {}{colon}{}", self.line, self.key, self.text)
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
/// All that is wrong with it, by line.
pub fn parse(text: &str) -> Result<Settings, Vec<SettingsError>> {
    let lines = checked(text, false)?;
    // The tables and the types agree (tested below), so that this can't fail on what has passed them.
    let read: Settings = hcl::from_str(text).map_err(|e| vec![whole(e.to_string())])?;
    let cluster = read
        .cluster
        .as_ref()
        .and_then(|c| Some(("cluster", c.check().err()?)));
    let fleet = read
        .fleet
        .as_ref()
        .and_then(|f| Some(("fleet", f.check().err()?)));
    if let Some((block, (key, what))) = cluster.or(fleet) {
        let key = format!("{block}.{key}");
        let line = lines.get(&key).or(lines.get(block)).copied().unwrap_or(1);
        return Err(vec![SettingsError {
            line,
            key,
            text: what.to_owned(),
        }]);
    }
    Ok(read)
}

fn whole(text: String) -> SettingsError {
    SettingsError {
        line: 1,
        key: String::new(),
        text,
    }
}

/// Checks a text against the tables; the lines of its blocks and keys. `agreed`: only what members may agree on.
fn checked(text: &str, agreed: bool) -> Result<BTreeMap<String, usize>, Vec<SettingsError>> {
    let body = hcl_edit::parser::parse_body(text).map_err(|e| {
        let text = format!("no HCL: {}", e.message());
        vec![SettingsError {
            line: e.location().line(),
            key: String::new(),
            text,
        }]
    })?;
    let mut check = Check {
        text,
        agreed,
        problems: Vec::new(),
        lines: BTreeMap::new(),
    };
    check.file(&body);
    if !check.problems.is_empty() {
        check.problems.sort();
        return Err(check.problems);
    }
    Ok(check.lines)
}

struct Check<'a> {
    text: &'a str,
    agreed: bool,
    problems: Vec<SettingsError>,
    lines: BTreeMap<String, usize>,
}

impl Check<'_> {
    fn line(&self, of: &impl Place) -> usize {
        let at = of.span().map_or(0, |s| s.start);
        1 + self.text.bytes().take(at).filter(|b| *b == b'\n').count()
    }

    fn wrong(&mut self, line: usize, key: impl Into<String>, text: impl Into<String>) {
        self.problems.push(SettingsError {
            line,
            key: key.into(),
            text: text.into(),
        });
    }

    fn file(&mut self, body: &Body) {
        let mut seen = Vec::new();
        for structure in body {
            match structure {
                Structure::Attribute(a) => {
                    let text = unknown(a.key.as_str(), "block", BLOCKS.iter().map(|b| b.name));
                    self.wrong(self.line(&a.key), a.key.as_str(), text);
                }
                Structure::Block(b) => {
                    let (name, line) = (b.ident.as_str(), self.line(&b.ident));
                    let Some(block) = BLOCKS.iter().find(|k| k.name == name) else {
                        let text = unknown(name, "block", BLOCKS.iter().map(|b| b.name));
                        self.wrong(line, name, text);
                        continue;
                    };
                    if seen.contains(&name) {
                        self.wrong(line, name, "this block is given twice");
                    }
                    if !b.labels.is_empty() {
                        self.wrong(line, name, "this block takes no label");
                    }
                    seen.push(name);
                    self.lines.insert(name.to_owned(), line);
                    self.block(block, &b.body, line);
                }
            }
        }
    }

    fn block(&mut self, block: &Block, body: &Body, line: usize) {
        let role = block.role(body.get_attribute("role").and_then(|a| a.value.as_str()));
        let takes = |key: &str| role.is_none_or(|role| role.takes(key));
        let mut seen: Vec<&str> = Vec::new();
        for structure in body {
            let ident = match structure {
                Structure::Attribute(a) => &a.key,
                Structure::Block(b) => &b.ident,
            };
            let (name, line) = (ident.as_str(), self.line(ident));
            let place = format!("{}.{name}", block.name);
            let Some(key) = block.keys.iter().find(|k| k.name == name) else {
                self.wrong(
                    line,
                    place,
                    unknown(name, "key", block.keys.iter().map(|k| k.name)),
                );
                continue;
            };
            if seen.contains(&name) {
                self.wrong(line, place.clone(), "this key is given twice");
            }
            seen.push(name);
            self.lines.insert(place.clone(), line);
            if let Some(role) = role.filter(|role| !role.takes(name)) {
                let text = format!(
                    "is no key of a {}: take it out, or correct `role`",
                    role.name
                );
                self.wrong(line, place, text);
                continue;
            }
            // Members' addresses are each instance's own, though they are taken while it runs.
            if self.agreed && (!key.reloads || matches!(key.kind, Kind::Members)) {
                self.wrong(
                    line,
                    place,
                    "can't be agreed on: it stands in each instance's own file",
                );
                continue;
            }
            let checked = match structure {
                Structure::Attribute(a) => value(key, &a.value),
                Structure::Block(_) => Err("is a key, not a block".to_owned()),
            };
            if let Err(text) = checked {
                self.wrong(line, place, text);
            }
        }
        let missing = |k: &&Key| {
            k.default.is_none() && takes(k.name) && !seen.contains(&k.name) && !self.agreed
        };
        let missing: Vec<_> = block.keys.iter().filter(missing).collect();
        for key in missing {
            self.wrong(
                line,
                format!("{}.{}", block.name, key.name),
                "is missing in this block",
            );
        }
    }
}

fn value(key: &Key, value: &Expression) -> Result<(), String> {
    if matches!(key.kind, Kind::Members) {
        return members(value).ok_or_else(|| format!("has to be {}", key.kind.about()));
    }
    if let Kind::Addresses(most) = key.kind {
        let addresses = value.as_array().filter(|a| (1..=most).contains(&a.len()));
        let good = |e: &Expression| e.as_str().is_some_and(|t| t.parse::<SocketAddr>().is_ok());
        let all = addresses.is_some_and(|a| a.iter().all(good));
        return if all {
            Ok(())
        } else {
            Err(format!("has to be {}", key.kind.about()))
        };
    }
    let text = value.as_str();
    let number = value.as_number().and_then(hcl_edit::Number::as_f64);
    key.kind.check(text, number)
}

/// Members by id: 1 to 15 of them.
fn members(value: &Expression) -> Option<()> {
    let members = value.as_object()?;
    for (id, at) in members.iter() {
        let id: u64 = match id {
            ObjectKey::Ident(_) => return None,
            ObjectKey::Expression(id) => id.as_str()?.parse().ok()?,
        };
        at.expr()
            .as_str()?
            .parse::<SocketAddr>()
            .ok()
            .filter(|_| (1..=65_535).contains(&id))?;
    }
    (1..=15).contains(&members.len()).then_some(())
}

fn unknown<'a>(name: &str, what: &str, known: impl Iterator<Item = &'a str>) -> String {
    let near = known
        .map(|k| (strsim::damerau_levenshtein(name, k), k))
        .min();
    match near.filter(|(distance, k)| *distance <= 1 + k.len() / 3) {
        Some((_, near)) => format!("no such {what}; did you mean `{near}`?"),
        None => format!("no such {what}"),
    }
}

/// By whom a key without a default must be given.
fn must_be_given(block: &Block, key: &Key) -> String {
    let roles: Vec<_> = block
        .roles
        .iter()
        .filter(|role| role.takes(key.name))
        .map(|role| role.name)
        .collect();
    if roles.len() == block.roles.len() {
        "must be given".to_owned()
    } else {
        format!("must be given by a {}", roles.join(" or "))
    }
}

/// The reference of all settings, as Markdown.
#[must_use]
pub fn reference() -> String {
    let mut out = String::new();
    for block in BLOCKS {
        out += &format!("## `{}`\n\n{}\n\n", block.name, block.about);
        out += "| key | value | default | taken at | meaning |\n| --- | --- | --- | --- | --- |\n";
        for key in block.keys {
            let default = key
                .default
                .map_or_else(|| must_be_given(block, key), |d| format!("`{d}`"));
            let taken = if key.reloads { "SIGHUP" } else { "start" };
            out += &format!(
                "| `{}` | {} | {default} | {taken} | {} |\n",
                key.name,
                key.kind.about(),
                key.about
            );
        }
        out += "\n";
    }
    out
}

#[cfg(test)]
#[allow(clippy::unwrap_used)]
mod tests;
