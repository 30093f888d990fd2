//! The types of the settings: one for each block, with the defaults of the tables in
//! [`super::schema`]. A text is checked against these tables before it is deserialized.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use thiserror::Error;

use super::error::KeyConflict;
use super::schema;
use crate::log::Format;

/// Settings of the log.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Log {
    /// The format of the lines.
    pub format: Format,
    /// The maximum number of lines in the queue; further lines are dropped.
    pub lines_waiting: usize,
}

impl Default for Log {
    fn default() -> Self {
        Log {
            format: Format::Text,
            lines_waiting: 4096,
        }
    }
}

/// A span of time, written as a number with its unit, such as `"250ms"` or `"2s"`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Span(pub Duration);

/// A size in bytes, written with its unit, such as `"64KiB"`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Size(pub u64);

impl<'de> Deserialize<'de> for Span {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let text = String::deserialize(from)?;
        schema::parse_span(&text)
            .map(Span)
            .ok_or_else(|| serde::de::Error::custom("not a span such as \"250ms\""))
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
        schema::parse_bytes(&text)
            .map(Size)
            .ok_or_else(|| serde::de::Error::custom("not a size such as \"64KiB\""))
    }
}

impl Serialize for Size {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_str(&format!("{}B", self.0))
    }
}

/// Settings of the REST front end; `docs/configuration.md` explains its keys.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
#[allow(
    missing_docs,
    reason = "each field is the key of the same name, described in the schema's tables"
)]
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

/// The role of an instance in its cluster.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ClusterRole {
    /// The instance replicates the shared state with the other members.
    #[default]
    Member,
    /// The instance follows the shared state through observers.
    Subscriber,
}

/// Settings of an instance's participation in a cluster; `docs/configuration.md` explains its keys.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
#[allow(
    missing_docs,
    reason = "each field is the key of the same name, described in the schema's tables"
)]
pub struct Cluster {
    pub role: ClusterRole,
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
    pub subscribers_listen: SocketAddr,
    pub subscribers: u32,
    pub front_end: String,
    pub observers: BTreeMap<String, SocketAddr>,
}

impl Default for Cluster {
    // Keys without a default hold placeholders here: the tables require them in the file, or do not
    // allow them in the instance's role.
    fn default() -> Self {
        let placeholder: SocketAddr = ([127, 0, 0, 1], 1).into();
        Cluster {
            role: ClusterRole::Member,
            name: "x".to_owned(),
            id: 1,
            folder: "x".into(),
            listen: placeholder,
            api: placeholder,
            members: BTreeMap::from([("1".to_owned(), placeholder)]),
            drain_limit: Span(Duration::from_secs(2)),
            confirm_every: Span(Duration::from_millis(250)),
            election_timeout: Span(Duration::from_millis(500)),
            heartbeat: Span(Duration::from_millis(100)),
            snapshot_every: 10_000,
            subscribers_listen: ([0, 0, 0, 0], 0).into(),
            subscribers: 4_000,
            front_end: "x".to_owned(),
            observers: BTreeMap::from([("1".to_owned(), placeholder)]),
        }
    }
}

impl Cluster {
    /// Returns the members' addresses by id. The tables allow only numbers as ids, so none is left
    /// out.
    #[must_use]
    pub fn addresses(&self) -> BTreeMap<u64, SocketAddr> {
        by_id(&self.members)
    }

    /// Returns the observers' addresses by id.
    #[must_use]
    pub fn observer_addresses(&self) -> BTreeMap<u64, SocketAddr> {
        by_id(&self.observers)
    }

    /// Returns the address on which subscribers connect, if this member is an observer.
    #[must_use]
    pub fn subscribers_listen(&self) -> Option<SocketAddr> {
        Some(self.subscribers_listen).filter(|at| at.port() != 0)
    }

    /// Describes this instance's role and addresses for the log line at the start.
    #[must_use]
    pub fn description(&self) -> String {
        let Cluster {
            name,
            id,
            listen,
            api,
            front_end,
            ..
        } = self;
        match (self.role, self.subscribers_listen()) {
            (ClusterRole::Member, None) => {
                format!("is member {id} of cluster {name} at {listen}, its api at {api}")
            }
            (ClusterRole::Member, Some(at)) => format!(
                "is member {id} of cluster {name} at {listen}, its api at {api}, and serves subscribers at {at}"
            ),
            (ClusterRole::Subscriber, _) => {
                let observers: Vec<_> = self.observers.keys().map(String::as_str).collect();
                format!("subscribes to cluster {name} as {front_end}, by observers {}", observers.join(", "))
            }
        }
    }

    /// Checks the keys against each other, and returns the first conflict.
    pub(super) fn check(&self) -> Result<(), KeyConflict> {
        if self.confirm_every.0 * 3 > self.drain_limit.0 {
            return Err(KeyConflict::new(
                "confirm_every",
                "has to be a third of `drain_limit` at most",
            ));
        }
        match self.role {
            ClusterRole::Member => self.check_member(),
            ClusterRole::Subscriber => match gateway_name(&self.front_end) {
                Ok(_) => Ok(()),
                Err(error) => Err(KeyConflict::new("front_end", error.text())),
            },
        }
    }

    fn check_member(&self) -> Result<(), KeyConflict> {
        if !self.addresses().contains_key(&self.id) {
            return Err(KeyConflict::new("members", "has to name this member, too"));
        }
        if self.heartbeat.0 * 3 > self.election_timeout.0 {
            return Err(KeyConflict::new(
                "heartbeat",
                "has to be a third of `election_timeout` at most",
            ));
        }
        if self.listen == self.api {
            return Err(KeyConflict::new("api", "is where members connect"));
        }
        if [self.listen, self.api].contains(&self.subscribers_listen) {
            return Err(KeyConflict::new(
                "subscribers_listen",
                "is where members or operators connect",
            ));
        }
        Ok(())
    }
}

fn by_id(members: &BTreeMap<String, SocketAddr>) -> BTreeMap<u64, SocketAddr> {
    members
        .iter()
        .filter_map(|(id, addr)| Some((id.parse().ok()?, *addr)))
        .collect()
}

/// The maximum length of a gateway's name.
const MAX_NAME_BYTES: usize = 64;

/// The reason why a text is not a valid gateway name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("{}", self.text())]
pub enum InvalidName {
    /// The text is empty, too long, or has characters that a name can't have.
    Form,
    /// The text is a number, which could be confused with a member's id.
    Number,
}

impl InvalidName {
    fn text(self) -> &'static str {
        match self {
            InvalidName::Form => "has to be a name: 64 letters, digits, `.`, `-` or `_` at most",
            InvalidName::Number => "has to hold more than digits: numbers are members' ids",
        }
    }
}

/// Checks a gateway's name, and returns it unchanged. A name has 1 to 64 letters, digits, `.`, `-`
/// or `_`, and not only digits.
///
/// # Errors
///
/// Returns the rule that the name breaks.
pub fn gateway_name(name: &str) -> Result<&str, InvalidName> {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
    if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.bytes().all(is_allowed) {
        Err(InvalidName::Form)
    } else if name.bytes().all(|byte| byte.is_ascii_digit()) {
        Err(InvalidName::Number)
    } else {
        Ok(name)
    }
}

/// Settings of a gateway as a member of a fleet; `docs/configuration.md` explains its keys.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
#[allow(
    missing_docs,
    reason = "each field is the key of the same name, described in the schema's tables"
)]
pub struct Fleet {
    pub name: String,
    pub member: String,
    pub listen: SocketAddr,
    pub address: SocketAddr,
    pub seeds: Vec<SocketAddr>,
    pub probe_every: Span,
    pub reply_within: Span,
    pub suspect_for: Span,
    pub settle: Span,
    pub step: Span,
}

impl Default for Fleet {
    // Keys without a default hold placeholders here: the tables require them in the file.
    fn default() -> Self {
        let placeholder: SocketAddr = ([127, 0, 0, 1], 1).into();
        Fleet {
            name: "x".to_owned(),
            member: "x".to_owned(),
            listen: placeholder,
            address: ([0, 0, 0, 0], 0).into(),
            seeds: vec![placeholder],
            probe_every: Span(Duration::from_secs(1)),
            reply_within: Span(Duration::from_millis(300)),
            suspect_for: Span(Duration::from_millis(3_400)),
            settle: Span(Duration::from_secs(15)),
            step: Span(Duration::from_secs(2)),
        }
    }
}

impl Fleet {
    /// Returns the address that this gateway advertises to the fleet: `address`, or `listen` if
    /// `address` is not set.
    #[must_use]
    pub fn advertised_address(&self) -> SocketAddr {
        if self.address.port() == 0 {
            self.listen
        } else {
            self.address
        }
    }

    /// Checks the keys against each other, and returns the first conflict.
    pub(super) fn check(&self) -> Result<(), KeyConflict> {
        let at = self.advertised_address();
        if at.ip().is_unspecified() || at.port() == 0 {
            return Err(KeyConflict::new(
                "address",
                "or `listen` has to say where others reach this one, not every address",
            ));
        }
        if self.reply_within.0 * 3 > self.probe_every.0 {
            return Err(KeyConflict::new(
                "reply_within",
                "has to be a third of `probe_every` at most",
            ));
        }
        if self.settle.0 < self.suspect_for.0 * 2 {
            return Err(KeyConflict::new(
                "settle",
                "has to be twice `suspect_for` at least: views differ for so long",
            ));
        }
        Ok(())
    }
}
