//! The tables of all settings: every block and key with its kind, bounds, default and description.
//!
//! Files are checked against these tables, and the reference in `docs/configuration.md` is generated
//! from them. A test compares the sample under `deploy/` with them.

use std::time::Duration;

mod cluster;
mod fleet;

use cluster::CLUSTER;
use fleet::FLEET;

/// The maximum number of members of a cluster.
pub const MAX_MEMBERS: usize = 15;
/// The highest id of a member; the lowest is 1.
pub const MAX_MEMBER_ID: u64 = 65_535;

/// The kind of a key's value, with its bounds. All bounds are inclusive.
#[derive(Debug, Clone, Copy)]
pub enum ValueKind {
    /// One of these words.
    OneOf(&'static [&'static str]),
    /// An address as `"HOST:PORT"`, where the host is an IP address.
    Address,
    /// A whole number within these bounds.
    Count(u64, u64),
    /// A span with its unit, within these bounds in milliseconds.
    Span(u64, u64),
    /// A number of bytes with its unit, within these bounds.
    Bytes(u64, u64),
    /// A name of 1 to this many bytes, which are letters, digits, `.`, `-` or `_`.
    Name(usize),
    /// The path of a folder.
    Folder,
    /// Members of a cluster: an object that maps their ids to their addresses.
    Members,
    /// A list of 1 to this many addresses.
    Addresses(usize),
}

/// The definition of a key.
#[derive(Debug)]
pub struct Key {
    /// The name of the key, as written in a file.
    pub name: &'static str,
    /// The kind and the bounds of its value.
    pub kind: ValueKind,
    /// The default, written as in a file. `None` if the key is required.
    pub default: Option<&'static str>,
    /// Whether a new value is applied at SIGHUP. Otherwise it is applied at the next start.
    pub reloads: bool,
    /// The description of the key in the reference.
    pub about: &'static str,
}

/// The definition of a block.
#[derive(Debug)]
pub struct Block {
    /// The name of the block, as written in a file.
    pub name: &'static str,
    /// The description of the block in the reference.
    pub about: &'static str,
    /// The keys of the block, in the order of the reference.
    pub keys: &'static [Key],
    /// The values of this block's key `role`, the default first. Empty if the block has no such key.
    pub roles: &'static [Role],
}

/// A role that an instance may have, which decides the keys that are allowed in its block.
#[derive(Debug)]
pub struct Role {
    /// The name of the role, which is the value of the key `role`.
    pub name: &'static str,
    /// The keys that are not allowed for an instance of this role.
    pub without: &'static [&'static str],
}

impl Block {
    /// Returns the role with this name, or the default role if there is none. Returns `None` if the
    /// block has no roles.
    #[must_use]
    pub fn role(&self, name: Option<&str>) -> Option<&'static Role> {
        name.and_then(|name| self.roles.iter().find(|role| role.name == name))
            .or(self.roles.first())
    }
}

impl Role {
    /// Returns whether a key is allowed for an instance of this role.
    #[must_use]
    pub fn allows_key(&self, key: &str) -> bool {
        !self.without.contains(&key)
    }
}

/// All blocks, in the order of the reference.
pub const BLOCKS: &[Block] = &[LOG, REST, CLUSTER, FLEET];

const LOG: Block = Block {
    name: "log",
    about:
        "The log on standard error. Lines are queued for a thread of their own: one that cannot be written \
            holds up nobody.",
    keys: &[
        Key {
            name: "format",
            kind: ValueKind::OneOf(&["text", "json"]),
            default: Some("\"text\""),
            reloads: false,
            about: "`text`: the lines that docs/on-call.md explains; `json`: the same as one object a line.",
        },
        Key {
            name: "lines_waiting",
            kind: ValueKind::Count(16, 1_000_000),
            default: Some("4096"),
            reloads: false,
            about: "Lines that may wait to be written; more are dropped, and counted in the last line.",
        },
    ],
    roles: &[],
};

const REST: Block = Block {
    name: "rest",
    about: "The REST front (docs/rest-operations.md). Without this block there is none. With it, an idempotency \
            key is one key over both fronts.",
    keys: &[
        Key {
            name: "listen",
            kind: ValueKind::Address,
            default: None,
            reloads: false,
            about: "Where its clients connect. It speaks plain HTTP/1.1 and asks nobody who they are.",
        },
        Key {
            name: "max_connections",
            kind: ValueKind::Count(1, 100_000),
            default: Some("64"),
            reloads: false,
            about: "Connections at a time, taken from the descriptors that PostgreSQL clients would get, at most half \
                    of those. In a full front the one that has been mute or idle longest gives way.",
        },
        Key {
            name: "max_head",
            kind: ValueKind::Bytes(8 << 10, 1 << 20),
            default: Some("\"16KiB\""),
            reloads: true,
            about: "Longest head of a request; a longer one gets 431.",
        },
        Key {
            name: "max_body",
            kind: ValueKind::Bytes(1 << 10, 1 << 20),
            default: Some("\"96KiB\""),
            reloads: true,
            about: "Longest body of a request; a longer one gets 413.",
        },
        Key {
            name: "head_timeout",
            kind: ValueKind::Span(100, 60_000),
            default: Some("\"2s\""),
            reloads: true,
            about: "From the first byte of a head to its last; later it gets 408.",
        },
        Key {
            name: "body_timeout",
            kind: ValueKind::Span(100, 60_000),
            default: Some("\"3s\""),
            reloads: true,
            about: "For the whole body; later it gets 408.",
        },
        Key {
            name: "idle_timeout",
            kind: ValueKind::Span(1_000, 3_600_000),
            default: Some("\"60s\""),
            reloads: true,
            about: "With nothing asked; then the connection closes.",
        },
        Key {
            name: "write_timeout",
            kind: ValueKind::Span(1_000, 600_000),
            default: Some("\"10s\""),
            reloads: true,
            about: "Without a byte of an answer taken; then the connection closes.",
        },
        Key {
            name: "results_bytes",
            kind: ValueKind::Bytes(64 << 10, 64 << 30),
            default: Some("\"16MiB\""),
            reloads: true,
            about: "Bytes of results that are kept for their further pages, and of answers kept for repeats. Each query \
                    reserves 64 KiB of it (a keyed one 128 KiB) until its result is here.",
        },
        Key {
            name: "results",
            kind: ValueKind::Count(1, 10_000_000),
            default: Some("10000"),
            reloads: true,
            about: "Results kept at a time.",
        },
        Key {
            name: "idempotency_keys",
            kind: ValueKind::Count(1, 10_000_000),
            default: Some("10000"),
            reloads: true,
            about: "Idempotency keys taken at a time, over both fronts.",
        },
    ],
    roles: &[],
};

/// Parses a span: a whole number and the unit `ms`, `s`, `m` or `h`.
#[must_use]
pub fn parse_span(text: &str) -> Option<Duration> {
    let milliseconds = [("ms", 1), ("s", 1_000), ("m", 60_000), ("h", 3_600_000)];
    parse_with_unit(text, &milliseconds).map(Duration::from_millis)
}

/// Parses a number of bytes: a whole number and the unit `B`, `KiB`, `MiB` or `GiB`.
#[must_use]
pub fn parse_bytes(text: &str) -> Option<u64> {
    let bytes = [
        ("KiB", 1 << 10),
        ("MiB", 1 << 20),
        ("GiB", 1 << 30),
        ("B", 1),
    ];
    parse_with_unit(text, &bytes)
}

fn parse_with_unit(text: &str, units: &[(&str, u64)]) -> Option<u64> {
    let (number, unit) = text.split_at(text.find(|c: char| !c.is_ascii_digit())?);
    let (_, factor) = units.iter().find(|(name, _)| *name == unit.trim())?;
    number.parse::<u64>().ok()?.checked_mul(*factor)
}

fn milliseconds(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

fn is_name(text: &str, max_bytes: usize) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
    (1..=max_bytes).contains(&text.len()) && text.bytes().all(is_allowed)
}

impl ValueKind {
    /// Returns whether a value is valid. A quoted value is passed as `text`, without its quotes, and
    /// an unquoted number as `number`.
    ///
    /// Always false for the kinds that are not a single value (`Members` and `Addresses`).
    #[must_use]
    pub fn accepts(&self, text: Option<&str>, number: Option<f64>) -> bool {
        match *self {
            ValueKind::OneOf(words) => text.is_some_and(|text| words.contains(&text)),
            ValueKind::Address => {
                text.is_some_and(|text| text.parse::<std::net::SocketAddr>().is_ok())
            }
            ValueKind::Count(min, max) => number.is_some_and(|number| {
                let is_integer = number.fract() == 0.0 && number >= 0.0;
                is_integer && (min..=max).contains(&(number as u64))
            }),
            ValueKind::Span(min_ms, max_ms) => {
                let span = text.and_then(parse_span).map(milliseconds);
                span.is_some_and(|span| (min_ms..=max_ms).contains(&span))
            }
            ValueKind::Bytes(min, max) => {
                let bytes = text.and_then(parse_bytes);
                bytes.is_some_and(|bytes| (min..=max).contains(&bytes))
            }
            ValueKind::Name(max_bytes) => text.is_some_and(|text| is_name(text, max_bytes)),
            ValueKind::Folder => text.is_some_and(|text| !text.is_empty()),
            // `super::check` checks these kinds part by part.
            ValueKind::Members | ValueKind::Addresses(_) => false,
        }
    }

    /// Describes the valid values, for the reference and for error messages.
    #[must_use]
    pub fn about(&self) -> String {
        match *self {
            ValueKind::OneOf(words) => {
                let quoted: Vec<_> = words.iter().map(|word| format!("\"{word}\"")).collect();
                quoted.join(" or ")
            }
            ValueKind::Address => "an address in quotes, such as \"127.0.0.1:8080\"".to_owned(),
            ValueKind::Count(min, max) => format!("a whole number from {min} to {max}"),
            ValueKind::Span(min_ms, max_ms) => {
                let max_s = max_ms / 1000;
                format!("a span in quotes from \"{min_ms}ms\" to \"{max_s}s\"")
            }
            ValueKind::Bytes(min, max) => {
                let (min_kib, max_mib) = (min >> 10, max >> 20);
                format!("a size in quotes from \"{min_kib}KiB\" to \"{max_mib}MiB\"")
            }
            ValueKind::Name(max) => {
                format!("a name in quotes: {max} letters, digits, `.`, `-` or `_` at most")
            }
            ValueKind::Folder => "a path in quotes".to_owned(),
            ValueKind::Addresses(max) => {
                format!("1 to {max} addresses, such as [\"10.0.0.1:7500\"]")
            }
            ValueKind::Members => "members by id, such as { \"1\" = \"10.0.0.1:7480\" }".to_owned(),
        }
    }
}
