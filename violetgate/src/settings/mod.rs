//! The operators' settings: one HCL file, whose every key is optional unless its block says otherwise.
//!
//! A file is checked as a whole before anything of it counts: all errors are told at once, each with its line
//! and key. What the platform tells a front end is not here, but in `config.rs`.

pub mod schema;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use hcl_edit::expr::{Expression, ObjectKey};
use hcl_edit::structure::{Body, Structure};
use hcl_edit::Span as Place;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use serde_json::Value;

use crate::log::Format;
use schema::{Block, Key, Kind, BLOCKS};

/// All settings.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// The log.
    pub log: Log,
    /// The REST front, if there is one.
    pub rest: Option<Rest>,
    /// The cluster that this instance is a member of, if it is of one.
    pub cluster: Option<Cluster>,
}

/// The log.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Log {
    /// How lines are written.
    pub format: Format,
    /// Lines that may wait to be written.
    pub lines_waiting: usize,
}

impl Default for Log {
    fn default() -> Self {
        Log { format: Format::Text, lines_waiting: 4096 }
    }
}

/// A span of time, written as `"250ms"` or `"2s"`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Span(pub Duration);

/// A number of bytes, written as `"64KiB"`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Size(pub u64);

impl<'de> Deserialize<'de> for Span {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let text = String::deserialize(from)?;
        schema::span(&text).map(Span).ok_or_else(|| serde::de::Error::custom("no span"))
    }
}

impl Serialize for Span {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_str(&format!("{}ms", self.0.as_millis()))
    }
}

impl<'de> Deserialize<'de> for Size {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let text = String::deserialize(from)?;
        schema::bytes(&text).map(Size).ok_or_else(|| serde::de::Error::custom("no size"))
    }
}

impl Serialize for Size {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_str(&format!("{}B", self.0))
    }
}

/// The REST front; `docs/configuration.md` explains its keys.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
#[allow(missing_docs)]
pub struct Rest {
    pub listen: std::net::SocketAddr,
    pub max_connections: usize,
    pub max_head: Size,
    pub max_body: Size,
    pub head_timeout: Span,
    pub body_timeout: Span,
    pub idle_timeout: Span,
    pub write_timeout: Span,
    pub results_bytes: Size,
    pub results: usize,
    pub idempotency_keys: usize,
}

impl Default for Rest {
    fn default() -> Self {
        Rest {
            listen: ([127, 0, 0, 1], 1).into(),
            max_connections: 64,
            max_head: Size(16 << 10),
            max_body: Size(96 << 10),
            head_timeout: Span(Duration::from_secs(2)),
            body_timeout: Span(Duration::from_secs(3)),
            idle_timeout: Span(Duration::from_secs(60)),
            write_timeout: Span(Duration::from_secs(10)),
            results_bytes: Size(16 << 20),
            results: 10_000,
            idempotency_keys: 10_000,
        }
    }
}

/// A member of a cluster; `docs/configuration.md` explains its keys.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
#[allow(missing_docs)]
pub struct Cluster {
    pub name: String,
    pub id: u64,
    pub folder: std::path::PathBuf,
    pub listen: SocketAddr,
    pub api: SocketAddr,
    pub members: BTreeMap<String, SocketAddr>,
    pub drain_limit: Span,
    pub confirm_every: Span,
    pub election_timeout: Span,
    pub heartbeat: Span,
    pub snapshot_every: u64,
}

impl Default for Cluster {
    fn default() -> Self {
        let nowhere: SocketAddr = ([127, 0, 0, 1], 1).into();
        Cluster {
            name: "x".to_owned(),
            id: 1,
            folder: "x".into(),
            listen: nowhere,
            api: nowhere,
            members: BTreeMap::from([("1".to_owned(), nowhere)]),
            drain_limit: Span(Duration::from_secs(2)),
            confirm_every: Span(Duration::from_millis(250)),
            election_timeout: Span(Duration::from_millis(500)),
            heartbeat: Span(Duration::from_millis(100)),
            snapshot_every: 10_000,
        }
    }
}

impl Cluster {
    /// The members by number; the tables let nothing else pass.
    #[must_use]
    pub fn addresses(&self) -> BTreeMap<u64, SocketAddr> {
        self.members.iter().filter_map(|(id, addr)| Some((id.parse().ok()?, *addr))).collect()
    }

    /// What is wrong with keys that are right one by one.
    fn check(&self) -> Result<(), (&'static str, &'static str)> {
        if !self.addresses().contains_key(&self.id) {
            return Err(("members", "has to name this member, too"));
        }
        if self.confirm_every.0 * 3 > self.drain_limit.0 {
            return Err(("confirm_every", "has to be a third of `drain_limit` at most"));
        }
        if self.heartbeat.0 * 3 > self.election_timeout.0 {
            return Err(("heartbeat", "has to be a third of `election_timeout` at most"));
        }
        if self.listen == self.api {
            return Err(("api", "is where members connect"));
        }
        Ok(())
    }
}

/// Settings that members agree on: some of the keys that are taken while the program runs. They come before what an
/// instance's own file says.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Agreed(Value);

impl Agreed {
    /// Reads their text, which has the form of a settings file.
    ///
    /// # Errors
    ///
    /// All that is wrong with it, by line.
    pub fn parse(text: &str) -> Result<Self, Vec<Problem>> {
        checked(text, true)?;
        hcl::from_str(text).map(Agreed).map_err(|e| vec![whole(e.to_string())])
    }

    /// An instance's settings under these.
    #[must_use]
    pub fn over(&self, own: &Settings) -> Settings {
        let Ok(mut all) = serde_json::to_value(own) else { return own.clone() };
        for (name, block) in self.0.as_object().into_iter().flatten() {
            // A block that an instance does not have at all, such as a front of its own, stays away.
            let Some(mine) = all.get_mut(name).and_then(Value::as_object_mut) else { continue };
            for (key, value) in block.as_object().into_iter().flatten() {
                mine.insert(key.clone(), value.clone());
            }
        }
        serde_json::from_value(all).unwrap_or_else(|_| own.clone())
    }
}

/// What is wrong with a file, and where.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Problem {
    /// The line, from 1.
    pub line: usize,
    /// `block.key`, or the block; empty where the file can't be read at all.
    pub key: String,
    /// What is wrong.
    pub text: String,
}

impl std::fmt::Display for Problem {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let colon = if self.key.is_empty() { "" } else { ": " };
        write!(f, "{}: {}{colon}{}", self.line, self.key, self.text)
    }
}

/// Reads a file; without one, every setting has its default.
///
/// # Errors
///
/// It can't be read or used; one line tells all that is wrong with it.
pub fn read(file: Option<&Path>) -> Result<Settings, String> {
    let Some(file) = file else { return Ok(Settings::default()) };
    let name = file.display();
    let text = std::fs::read_to_string(file).map_err(|e| format!("{name}: {e}"))?;
    parse(&text)
        .map_err(|problems| problems.iter().map(|p| format!("{name}:{p}")).collect::<Vec<_>>().join("; "))
}

/// Reads a file's text.
///
/// # Errors
///
/// All that is wrong with it, by line.
pub fn parse(text: &str) -> Result<Settings, Vec<Problem>> {
    let lines = checked(text, false)?;
    // The tables and the types agree (tested below), so that this can't fail on what has passed them.
    let read: Settings = hcl::from_str(text).map_err(|e| vec![whole(e.to_string())])?;
    if let Some((key, what)) = read.cluster.as_ref().and_then(|c| c.check().err()) {
        let key = format!("cluster.{key}");
        let line = lines.get(&key).or(lines.get("cluster")).copied().unwrap_or(1);
        return Err(vec![Problem { line, key, text: what.to_owned() }]);
    }
    Ok(read)
}

fn whole(text: String) -> Problem {
    Problem { line: 1, key: String::new(), text }
}

/// Checks a text against the tables; the lines of its blocks and keys. `agreed`: only what members may agree on.
fn checked(text: &str, agreed: bool) -> Result<BTreeMap<String, usize>, Vec<Problem>> {
    let body = hcl_edit::parser::parse_body(text).map_err(|e| {
        let text = format!("no HCL: {}", e.message());
        vec![Problem { line: e.location().line(), key: String::new(), text }]
    })?;
    let mut check = Check { text, agreed, problems: Vec::new(), lines: BTreeMap::new() };
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
    problems: Vec<Problem>,
    lines: BTreeMap<String, usize>,
}

impl Check<'_> {
    fn line(&self, of: &impl Place) -> usize {
        let at = of.span().map_or(0, |s| s.start);
        1 + self.text.bytes().take(at).filter(|b| *b == b'\n').count()
    }

    fn wrong(&mut self, line: usize, key: impl Into<String>, text: impl Into<String>) {
        self.problems.push(Problem { line, key: key.into(), text: text.into() });
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
        let mut seen: Vec<&str> = Vec::new();
        for structure in body {
            let ident = match structure {
                Structure::Attribute(a) => &a.key,
                Structure::Block(b) => &b.ident,
            };
            let (name, line) = (ident.as_str(), self.line(ident));
            let place = format!("{}.{name}", block.name);
            let Some(key) = block.keys.iter().find(|k| k.name == name) else {
                self.wrong(line, place, unknown(name, "key", block.keys.iter().map(|k| k.name)));
                continue;
            };
            if seen.contains(&name) {
                self.wrong(line, place.clone(), "this key is given twice");
            }
            seen.push(name);
            self.lines.insert(place.clone(), line);
            // Members' addresses are each instance's own, though they are taken while it runs.
            if self.agreed && (!key.reloads || matches!(key.kind, Kind::Members)) {
                self.wrong(line, place, "can't be agreed on: it stands in each instance's own file");
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
        let missing = |k: &&Key| k.default.is_none() && !seen.contains(&k.name) && !self.agreed;
        let missing: Vec<_> = block.keys.iter().filter(missing).collect();
        for key in missing {
            self.wrong(line, format!("{}.{}", block.name, key.name), "is missing in this block");
        }
    }
}

fn value(key: &Key, value: &Expression) -> Result<(), String> {
    if matches!(key.kind, Kind::Members) {
        return members(value).ok_or_else(|| format!("has to be {}", key.kind.about()));
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
        at.expr().as_str()?.parse::<SocketAddr>().ok().filter(|_| (1..=65_535).contains(&id))?;
    }
    (1..=15).contains(&members.len()).then_some(())
}

fn unknown<'a>(name: &str, what: &str, known: impl Iterator<Item = &'a str>) -> String {
    let near = known.map(|k| (strsim::damerau_levenshtein(name, k), k)).min();
    match near.filter(|(distance, k)| *distance <= 1 + k.len() / 3) {
        Some((_, near)) => format!("no such {what}; did you mean `{near}`?"),
        None => format!("no such {what}"),
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
            let default = key.default.map_or("must be given".to_owned(), |d| format!("`{d}`"));
            let taken = if key.reloads { "SIGHUP" } else { "start" };
            out +=
                &format!("| `{}` | {} | {default} | {taken} | {} |\n", key.name, key.kind.about(), key.about);
        }
        out += "\n";
    }
    out
}

#[cfg(test)]
#[allow(clippy::unwrap_used)]
mod tests {
    use super::*;

    /// Every error of a file is told at once, each with its line, its key and the nearest known name.
    #[test]
    fn all_errors_are_told_at_once() {
        let text =
            "lgo {\n}\nlog {\n  format = \"xml\"\n  lines_wating = 5\n  lines_waiting = 1.5\n}\nx = 1\n";
        let told: Vec<_> = parse(text).unwrap_err().iter().map(ToString::to_string).collect();
        let expected = [
            "1: lgo: no such block; did you mean `log`?",
            "4: log.format: has to be \"text\" or \"json\"",
            "5: log.lines_wating: no such key; did you mean `lines_waiting`?",
            "6: log.lines_waiting: has to be a whole number from 16 to 1000000",
            "8: x: no such block",
        ];
        assert_eq!(told, expected);
        assert_eq!(parse("log {").unwrap_err().len(), 1);
    }

    /// What is wrong only together is told with its line, too; and what can't be agreed on is not.
    #[test]
    fn a_cluster_is_checked_as_a_whole() {
        let file = |extra: &str| {
            format!(
                "cluster {{\n name = \"w\"\n id = 2\n folder = \"f\"\n listen = \"127.0.0.1:1\"\n \
                 api = \"127.0.0.1:2\"\n members = {{ \"2\" = \"127.0.0.1:1\" }}\n{extra}\n}}\n"
            )
        };
        assert_eq!(parse(&file("")).unwrap().cluster.unwrap().addresses().len(), 1);
        for (extra, told) in [
            (
                "heartbeat = \"300ms\"",
                "8: cluster.heartbeat: has to be a third of `election_timeout` at most",
            ),
            (
                "drain_limit = \"3s\"",
                "8: cluster.drain_limit: has to be a span in quotes from \"300ms\" to \"2s\"",
            ),
            (
                "drain_limit = \"500ms\"",
                "1: cluster.confirm_every: has to be a third of `drain_limit` at most",
            ),
        ] {
            assert_eq!(parse(&file(extra)).unwrap_err().first().unwrap().to_string(), told);
        }
        let members = file("").replace("\"2\" =", "two =");
        assert!(parse(&members).unwrap_err().first().unwrap().text.starts_with("has to be members by id"));
        let own = Settings { rest: Some(Rest::default()), ..Settings::default() };
        let agreed = Agreed::parse("rest {\n results = 5\n}\n").unwrap();
        assert_eq!(agreed.over(&own).rest.unwrap().results, 5);
        assert_eq!(agreed.over(&Settings::default()).rest, None);
        let wrong = Agreed::parse("rest {\n results = 0\n listen = \"127.0.0.1:1\"\n}\n").unwrap_err();
        assert_eq!(wrong.iter().map(|p| p.line).collect::<Vec<_>>(), [2, 3]);
    }

    /// The tables, the types and their defaults are one.
    #[test]
    fn tables_and_types_agree() {
        let mut file = String::new();
        for block in BLOCKS {
            file += &format!("{} {{\n", block.name);
            for key in block.keys {
                let default = key.default.unwrap_or(match key.kind {
                    Kind::Address => "\"127.0.0.1:1\"",
                    Kind::Count(..) => "1",
                    Kind::Members => "{ \"1\" = \"127.0.0.1:1\" }",
                    _ => "\"x\"",
                });
                // Two listeners of one instance can't be at one place.
                let default = if key.name == "api" { "\"127.0.0.1:2\"" } else { default };
                file += &format!("  {} = {default}\n", key.name);
            }
            file += "}\n";
        }
        let given = serde_json::to_value(parse(&file).unwrap()).unwrap();
        for (name, block) in given.as_object().unwrap() {
            let table = BLOCKS.iter().find(|b| b.name == name).unwrap();
            let keys: Vec<_> = block.as_object().unwrap().keys().map(String::as_str).collect();
            let mut known: Vec<_> = table.keys.iter().map(|k| k.name).collect();
            known.sort_unstable();
            assert_eq!(keys, known, "{name}");
        }
        let all = Settings {
            rest: Some(Rest::default()),
            cluster: Some(Cluster { api: ([127, 0, 0, 1], 2).into(), ..Cluster::default() }),
            ..Settings::default()
        };
        let none = serde_json::to_value(all).unwrap();
        for (name, block) in none.as_object().unwrap().iter().filter(|(_, b)| !b.is_null()) {
            assert_eq!(given.get(name), Some(block), "{name}");
        }
    }

    /// The page for operators is what the tables say, and the sample file can be used.
    #[test]
    fn the_page_and_the_sample_are_current() {
        let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
        let page = std::fs::read_to_string(root.join("docs/configuration.md")).unwrap();
        assert!(page.contains(&reference()), "write the output of `violetgate reference` into the page");
        let sample = std::fs::read_to_string(root.join("deploy/violetgate.hcl")).unwrap();
        parse(&sample).unwrap();
        for block in BLOCKS {
            assert!(sample.contains(&format!("\n{} {{", block.name)), "{}", block.name);
            for key in block.keys {
                assert!(sample.contains(&format!("  {} = ", key.name)), "{}.{}", block.name, key.name);
            }
        }
    }
}
