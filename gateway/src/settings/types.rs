//! What a settings file holds once it has passed the tables of [`super::schema`]: a type for each
//! block, with the same defaults. Nothing here reads a file.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use thiserror::Error;

use super::error::KeyConflict;
use super::schema;
use crate::log::Format;

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
        Log {
            format: Format::Text,
            lines_waiting: 4096,
        }
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
        schema::parse_span(&text)
            .map(Span)
            .ok_or_else(|| serde::de::Error::custom("no span"))
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
            .ok_or_else(|| serde::de::Error::custom("no size"))
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

/// What an instance is in its cluster.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ClusterRole {
    /// It replicates the shared state with the other members.
    #[default]
    Member,
    /// It follows the shared state through observers.
    Subscriber,
}

/// An instance's part in a cluster; `docs/configuration.md` explains its keys.
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
    fn default() -> Self {
        let nowhere: SocketAddr = ([127, 0, 0, 1], 1).into();
        Cluster {
            role: ClusterRole::Member,
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
            subscribers_listen: ([0, 0, 0, 0], 0).into(),
            subscribers: 4_000,
            front_end: "x".to_owned(),
            observers: BTreeMap::from([("1".to_owned(), nowhere)]),
        }
    }
}

impl Cluster {
    /// The members by id; the tables let nothing else pass.
    #[must_use]
    pub fn addresses(&self) -> BTreeMap<u64, SocketAddr> {
        by_id(&self.members)
    }

    /// The observers by id.
    #[must_use]
    pub fn observer_addresses(&self) -> BTreeMap<u64, SocketAddr> {
        by_id(&self.observers)
    }

    /// Where subscribers connect, if this member is an observer.
    #[must_use]
    pub fn subscribers_listen(&self) -> Option<SocketAddr> {
        Some(self.subscribers_listen).filter(|at| at.port() != 0)
    }

    /// What this instance is in its cluster, as the log states it at the start.
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

    /// What is wrong with keys together that are valid one by one.
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

/// The longest name of a gateway.
const MAX_NAME_BYTES: usize = 64;

/// Why a text is no name of a gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("{}", self.text())]
pub enum InvalidName {
    /// It is empty, too long, or has other characters.
    Form,
    /// It is a number, as members' ids are.
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

/// A gateway's name, if it may be one.
///
/// # Errors
///
/// It may not be one.
pub fn gateway_name(name: &str) -> Result<&str, InvalidName> {
    let is_plain = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
    if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.bytes().all(is_plain) {
        Err(InvalidName::Form)
    } else if name.bytes().all(|byte| byte.is_ascii_digit()) {
        Err(InvalidName::Number)
    } else {
        Ok(name)
    }
}

/// A gateway of a fleet; `docs/configuration.md` explains its keys.
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
    fn default() -> Self {
        let nowhere: SocketAddr = ([127, 0, 0, 1], 1).into();
        Fleet {
            name: "x".to_owned(),
            member: "x".to_owned(),
            listen: nowhere,
            address: ([0, 0, 0, 0], 0).into(),
            seeds: vec![nowhere],
            probe_every: Span(Duration::from_secs(1)),
            reply_within: Span(Duration::from_millis(300)),
            suspect_for: Span(Duration::from_millis(3_400)),
            settle: Span(Duration::from_secs(15)),
            step: Span(Duration::from_secs(2)),
        }
    }
}

impl Fleet {
    /// Where others reach this gateway.
    #[must_use]
    pub fn advertised_address(&self) -> SocketAddr {
        if self.address.port() == 0 {
            self.listen
        } else {
            self.address
        }
    }

    /// What is wrong with keys together that are valid one by one.
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
