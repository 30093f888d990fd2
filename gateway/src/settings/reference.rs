//! Generates the reference of all settings as Markdown, which is part of `docs/configuration.md`.

use std::fmt::Write;

use super::schema::{Block, Key, BLOCKS};

/// Returns the reference as Markdown: for each block a heading, its description and a table of its
/// keys.
#[must_use]
pub fn reference() -> String {
    let mut out = String::new();
    for block in BLOCKS {
        let _ = write!(out, "## `{}`\n\n{}\n\n", block.name, block.about);
        out += "| key | value | default | taken at | meaning |\n| --- | --- | --- | --- | --- |\n";
        for key in block.keys {
            write_key(&mut out, block, key);
        }
        out += "\n";
    }
    out
}

fn write_key(out: &mut String, block: &Block, key: &Key) {
    let default = key
        .default
        .map_or_else(|| required_by(block, key), |default| format!("`{default}`"));
    let taken_at = if key.reloads { "SIGHUP" } else { "start" };
    let (name, kind, about) = (key.name, key.kind.about(), key.about);
    let _ = writeln!(
        out,
        "| `{name}` | {kind} | {default} | {taken_at} | {about} |"
    );
}

/// Returns the text for the default of a required key: the roles that require it, or "must be
/// given" if all do.
fn required_by(block: &Block, key: &Key) -> String {
    let roles = block.roles.iter();
    let roles: Vec<_> = roles
        .filter(|role| role.allows_key(key.name))
        .map(|role| role.name)
        .collect();
    if roles.len() == block.roles.len() {
        "must be given".to_owned()
    } else {
        format!("must be given by a {}", roles.join(" or "))
    }
}
