//! Checks a settings text against the tables of [`super::schema`], and reports every error with its
//! line and key.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use hcl_edit::expr::{Expression, ObjectKey};
use hcl_edit::structure::{Body, Structure};
use hcl_edit::Span;
use thiserror::Error;

use super::error::SettingsError;
use super::schema::{Block, Key, Role, ValueKind, BLOCKS, MAX_MEMBERS, MAX_MEMBER_ID};

/// An error in the value or the place of a known key.
#[derive(Debug, Error)]
enum KeyError {
    /// Instances with this role don't take the key.
    #[error("is no key of a {0}: take it out, or correct `role`")]
    OtherRole(&'static str),
    /// The key is given in shared settings, but each instance has to set it in its own file.
    #[error("can't be agreed on: it stands in each instance's own file")]
    NotShareable,
    /// The key is given as a block.
    #[error("is a key, not a block")]
    Block,
    /// The value is not of the given kind, or is outside the bounds of that kind.
    #[error("has to be {}", .0.about())]
    Value(ValueKind),
}

/// Where a settings text comes from, which decides the keys that it may and must hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TextKind {
    /// An instance's own settings file.
    OwnFile,
    /// The settings that a cluster's members share.
    Shared,
}

/// The line numbers, from 1, of a text's blocks (as `block`) and keys (as `block.key`).
pub(super) type LineNumbers = BTreeMap<String, usize>;

/// Checks a text against the tables. Returns its line numbers, or all errors in the order of their
/// lines.
pub(super) fn check(text: &str, kind: TextKind) -> Result<LineNumbers, Vec<SettingsError>> {
    let body = hcl_edit::parser::parse_body(text).map_err(|error| {
        vec![SettingsError {
            line: error.location().line(),
            key: String::new(),
            text: format!("no HCL: {}", error.message()),
        }]
    })?;
    let mut checker = Checker {
        text,
        kind,
        errors: Vec::new(),
        lines: LineNumbers::new(),
    };
    checker.check_file(&body);
    if checker.errors.is_empty() {
        return Ok(checker.lines);
    }
    checker.errors.sort();
    Err(checker.errors)
}

struct Checker<'a> {
    text: &'a str,
    kind: TextKind,
    errors: Vec<SettingsError>,
    lines: LineNumbers,
}

impl Checker<'_> {
    fn line_of(&self, ident: &impl Span) -> usize {
        let start = ident.span().map_or(0, |span| span.start);
        let line_ends = self.text.bytes().take(start).filter(|byte| *byte == b'\n');
        1 + line_ends.count()
    }

    fn report(&mut self, line: usize, key: impl Into<String>, text: impl Into<String>) {
        self.errors.push(SettingsError {
            line,
            key: key.into(),
            text: text.into(),
        });
    }

    fn check_file(&mut self, body: &Body) {
        let mut seen = Vec::new();
        for structure in body {
            let block = match structure {
                Structure::Block(block) => block,
                Structure::Attribute(attribute) => {
                    let (name, line) = (attribute.key.as_str(), self.line_of(&attribute.key));
                    self.report(line, name, unknown_block(name));
                    continue;
                }
            };
            let (name, line) = (block.ident.as_str(), self.line_of(&block.ident));
            let Some(table) = BLOCKS.iter().find(|table| table.name == name) else {
                self.report(line, name, unknown_block(name));
                continue;
            };
            if seen.contains(&name) {
                self.report(line, name, "this block is given twice");
            }
            if !block.labels.is_empty() {
                self.report(line, name, "this block takes no label");
            }
            seen.push(name);
            self.lines.insert(name.to_owned(), line);
            self.check_block(table, &block.body, line);
        }
    }

    fn check_block(&mut self, table: &Block, body: &Body, block_line: usize) {
        let role = body.get_attribute("role");
        let role = table.role(role.and_then(|attribute| attribute.value.as_str()));
        let mut seen: Vec<&str> = Vec::new();
        for structure in body {
            let ident = match structure {
                Structure::Attribute(attribute) => &attribute.key,
                Structure::Block(block) => &block.ident,
            };
            let (name, line) = (ident.as_str(), self.line_of(ident));
            let path = format!("{}.{name}", table.name);
            let Some(key) = table.keys.iter().find(|key| key.name == name) else {
                let known = table.keys.iter().map(|key| key.name);
                self.report(line, path, unknown(name, "key", known));
                continue;
            };
            if seen.contains(&name) {
                self.report(line, path.clone(), "this key is given twice");
            }
            seen.push(name);
            self.lines.insert(path.clone(), line);
            if let Err(error) = self.check_key(key, role, structure) {
                self.report(line, path, error.to_string());
            }
        }
        if self.kind == TextKind::OwnFile {
            self.report_missing(table, role, &seen, block_line);
        }
    }

    fn check_key(
        &self,
        key: &Key,
        role: Option<&Role>,
        structure: &Structure,
    ) -> Result<(), KeyError> {
        if let Some(role) = role.filter(|role| !role.allows_key(key.name)) {
            return Err(KeyError::OtherRole(role.name));
        }
        // Members' addresses belong to each instance, although a reload applies them.
        let can_be_shared = key.reloads && !matches!(key.kind, ValueKind::Members);
        if self.kind == TextKind::Shared && !can_be_shared {
            return Err(KeyError::NotShareable);
        }
        match structure {
            Structure::Attribute(attribute) if is_valid(key.kind, &attribute.value) => Ok(()),
            Structure::Attribute(_) => Err(KeyError::Value(key.kind)),
            Structure::Block(_) => Err(KeyError::Block),
        }
    }

    fn report_missing(
        &mut self,
        table: &Block,
        role: Option<&Role>,
        seen: &[&str],
        block_line: usize,
    ) {
        for key in table.keys {
            let is_taken = role.is_none_or(|role| role.allows_key(key.name));
            if key.default.is_none() && is_taken && !seen.contains(&key.name) {
                let path = format!("{}.{}", table.name, key.name);
                self.report(block_line, path, "is missing in this block");
            }
        }
    }
}

fn is_valid(kind: ValueKind, value: &Expression) -> bool {
    match kind {
        ValueKind::Members => are_members(value),
        ValueKind::Addresses(max) => are_addresses(value, max),
        _ => {
            let number = value.as_number().and_then(hcl_edit::Number::as_f64);
            kind.accepts(value.as_str(), number)
        }
    }
}

fn is_address(value: &Expression) -> bool {
    let text = value.as_str();
    text.is_some_and(|text| text.parse::<SocketAddr>().is_ok())
}

fn are_addresses(value: &Expression, max: usize) -> bool {
    value.as_array().is_some_and(|addresses| {
        (1..=max).contains(&addresses.len()) && addresses.iter().all(is_address)
    })
}

/// Returns whether a value is an object that maps members' ids to their addresses.
fn are_members(value: &Expression) -> bool {
    let is_member = |id: &ObjectKey, address: &Expression| {
        let id = match id {
            ObjectKey::Ident(_) => None,
            ObjectKey::Expression(id) => id.as_str().and_then(|id| id.parse::<u64>().ok()),
        };
        id.is_some_and(|id| (1..=MAX_MEMBER_ID).contains(&id)) && is_address(address)
    };
    value.as_object().is_some_and(|members| {
        (1..=MAX_MEMBERS).contains(&members.len())
            && members
                .iter()
                .all(|(id, address)| is_member(id, address.expr()))
    })
}

fn unknown_block(name: &str) -> String {
    unknown(name, "block", BLOCKS.iter().map(|block| block.name))
}

/// Returns an error text for an unknown name, with the most similar known name if it is close
/// enough to be a misspelling.
fn unknown<'a>(name: &str, what: &str, known: impl Iterator<Item = &'a str>) -> String {
    let nearest = known
        .map(|known| (strsim::damerau_levenshtein(name, known), known))
        .min();
    match nearest.filter(|(distance, known)| *distance <= 1 + known.len() / 3) {
        Some((_, known)) => format!("no such {what}; did you mean `{known}`?"),
        None => format!("no such {what}"),
    }
}
