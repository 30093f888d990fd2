//! What a settings file may hold: every block and key with its kind, its bounds, its default and its meaning.
//!
//! The checks, the reference in `docs/configuration.md` and the sample under `deploy/` all follow from these
//! tables; nothing here reads a file.

use std::time::Duration;

mod cluster;
mod fleet;

use cluster::CLUSTER;
use fleet::FLEET;

/// What a key's value may be.
#[derive(Debug, Clone, Copy)]
pub enum Kind {
    /// One of these words.
    Word(&'static [&'static str]),
    /// `"HOST:PORT"` with a numeric host.
    Address,
    /// A whole number within these bounds.
    Count(u64, u64),
    /// A span with its unit, within these bounds in milliseconds.
    Span(u64, u64),
    /// A number of bytes with its unit, within these bounds.
    Bytes(u64, u64),
    /// Text of at most so many bytes; a name has no more than letters, digits, `.`, `-` and `_`.
    Name(usize),
    /// The path of a folder.
    Folder,
    /// Members of a cluster: their addresses by their ids.
    Members,
    /// A list of addresses, so many at most.
    Addresses(usize),
}

/// One key of a block.
#[derive(Debug)]
pub struct Key {
    /// Its name.
    pub name: &'static str,
    /// What it may hold.
    pub kind: Kind,
    /// Its default as it would stand in a file; `None`: it must be given.
    pub default: Option<&'static str>,
    /// A new value is taken at SIGHUP; else at the next start.
    pub reloads: bool,
    /// What it does.
    pub about: &'static str,
}

/// One block.
#[derive(Debug)]
pub struct Block {
    /// Its name.
    pub name: &'static str,
    /// What it is for.
    pub about: &'static str,
    /// Its keys.
    pub keys: &'static [Key],
    /// What an instance may be by this block's key `role`, the default first; none: there is no such key.
    pub roles: &'static [Role],
}

/// What an instance may be by a block.
#[derive(Debug)]
pub struct Role {
    /// Its name, the value of the key `role`.
    pub name: &'static str,
    /// Keys that it takes none of.
    pub without: &'static [&'static str],
}

impl Block {
    /// The role by that name; without one, the default.
    #[must_use]
    pub fn role(&self, name: Option<&str>) -> Option<&'static Role> {
        name.and_then(|name| self.roles.iter().find(|role| role.name == name))
            .or(self.roles.first())
    }
}

impl Role {
    /// Whether an instance of this role takes a key.
    #[must_use]
    pub fn takes(&self, key: &str) -> bool {
        !self.without.contains(&key)
    }
}

/// All blocks.
pub const BLOCKS: &[Block] = &[LOG, REST, CLUSTER, FLEET];

const LOG: Block = Block {
    name: "log",
    about:
        "The log on standard error. Lines are queued for a thread of their own: one that cannot be written \
            holds up nobody.",
    keys: &[
        Key {
            name: "format",
            kind: Kind::Word(&["text", "json"]),
            default: Some("\"text\""),
            reloads: false,
            about: "`text`: the lines that docs/on-call.md explains; `json`: the same as one object a line.",
        },
        Key {
            name: "lines_waiting",
            kind: Kind::Count(16, 1_000_000),
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
            kind: Kind::Address,
            default: None,
            reloads: false,
            about: "Where its clients connect. It speaks plain HTTP/1.1 and asks nobody who they are.",
        },
        Key {
            name: "max_connections",
            kind: Kind::Count(1, 100_000),
            default: Some("64"),
            reloads: false,
            about: "Connections at a time, taken from the descriptors that PostgreSQL clients would get, at most half \
                    of those. In a full front the one that has been mute or idle longest gives way.",
        },
        Key {
            name: "max_head",
            kind: Kind::Bytes(8 << 10, 1 << 20),
            default: Some("\"16KiB\""),
            reloads: true,
            about: "Longest head of a request; a longer one gets 431.",
        },
        Key {
            name: "max_body",
            kind: Kind::Bytes(1 << 10, 1 << 20),
            default: Some("\"96KiB\""),
            reloads: true,
            about: "Longest body of a request; a longer one gets 413.",
        },
        Key {
            name: "head_timeout",
            kind: Kind::Span(100, 60_000),
            default: Some("\"2s\""),
            reloads: true,
            about: "From the first byte of a head to its last; later it gets 408.",
        },
        Key {
            name: "body_timeout",
            kind: Kind::Span(100, 60_000),
            default: Some("\"3s\""),
            reloads: true,
            about: "For the whole body; later it gets 408.",
        },
        Key {
            name: "idle_timeout",
            kind: Kind::Span(1_000, 3_600_000),
            default: Some("\"60s\""),
            reloads: true,
            about: "With nothing asked; then the connection closes.",
        },
        Key {
            name: "write_timeout",
            kind: Kind::Span(1_000, 600_000),
            default: Some("\"10s\""),
            reloads: true,
            about: "Without a byte of an answer taken; then the connection closes.",
        },
        Key {
            name: "results_bytes",
            kind: Kind::Bytes(64 << 10, 64 << 30),
            default: Some("\"16MiB\""),
            reloads: true,
            about: "Bytes of results that are kept for their further pages, and of answers kept for repeats. Each query \
                    reserves 64 KiB of it (a keyed one 128 KiB) until its result is here.",
        },
        Key {
            name: "results",
            kind: Kind::Count(1, 10_000_000),
            default: Some("10000"),
            reloads: true,
            about: "Results kept at a time.",
        },
        Key {
            name: "idempotency_keys",
            kind: Kind::Count(1, 10_000_000),
            default: Some("10000"),
            reloads: true,
            about: "Idempotency keys taken at a time, over both fronts.",
        },
    ],
    roles: &[],
};

/// Reads a span: a number and `ms`, `s`, `m` or `h`.
#[must_use]
pub fn span(text: &str) -> Option<Duration> {
    let units = [("ms", 1), ("s", 1_000), ("m", 60_000), ("h", 3_600_000)];
    with_unit(text, &units).map(Duration::from_millis)
}

/// Reads a number of bytes: a number and `B`, `KiB`, `MiB` or `GiB`.
#[must_use]
pub fn bytes(text: &str) -> Option<u64> {
    with_unit(
        text,
        &[
            ("KiB", 1 << 10),
            ("MiB", 1 << 20),
            ("GiB", 1 << 30),
            ("B", 1),
        ],
    )
}

fn with_unit(text: &str, units: &[(&str, u64)]) -> Option<u64> {
    let (number, unit) = text.split_at(text.find(|c: char| !c.is_ascii_digit())?);
    let (_, factor) = units.iter().find(|(name, _)| *name == unit.trim())?;
    number.parse::<u64>().ok()?.checked_mul(*factor)
}

impl Kind {
    /// What is wrong with a value: `text` is what stands between quotes, `number` a bare number.
    ///
    /// # Errors
    ///
    /// It can't be used; the text says what may stand there.
    pub fn check(&self, text: Option<&str>, number: Option<f64>) -> Result<(), String> {
        let within = |n: u64, least: u64, most: u64| (least..=most).contains(&n);
        let good = match *self {
            Kind::Word(words) => text.is_some_and(|t| words.contains(&t)),
            Kind::Address => text.is_some_and(|t| t.parse::<std::net::SocketAddr>().is_ok()),
            Kind::Count(least, most) => number
                .is_some_and(|n| n.fract() == 0.0 && n >= 0.0 && within(n as u64, least, most)),
            Kind::Span(least, most) => text.and_then(span).is_some_and(|s| {
                within(
                    u64::try_from(s.as_millis()).unwrap_or(u64::MAX),
                    least,
                    most,
                )
            }),
            Kind::Bytes(least, most) => {
                text.and_then(bytes).is_some_and(|n| within(n, least, most))
            }
            Kind::Name(most) => text.is_some_and(|t| {
                let plain = |b: u8| b.is_ascii_alphanumeric() || b"._-".contains(&b);
                !t.is_empty() && t.len() <= most && t.bytes().all(plain)
            }),
            Kind::Folder => text.is_some_and(|t| !t.is_empty()),
            // They are no single value: checked by their parts.
            Kind::Members | Kind::Addresses(_) => false,
        };
        if good {
            Ok(())
        } else {
            Err(format!("has to be {}", self.about()))
        }
    }

    /// What may stand there.
    #[must_use]
    pub fn about(&self) -> String {
        match *self {
            Kind::Word(words) => words
                .iter()
                .map(|w| format!("\"{w}\""))
                .collect::<Vec<_>>()
                .join(" or "),
            Kind::Address => "an address in quotes, such as \"127.0.0.1:8080\"".to_owned(),
            Kind::Count(least, most) => format!("a whole number from {least} to {most}"),
            Kind::Span(least, most) => {
                format!(
                    "a span in quotes from \"{least}ms\" to \"{}s\"",
                    most / 1000
                )
            }
            Kind::Bytes(least, most) => {
                format!(
                    "a size in quotes from \"{}KiB\" to \"{}MiB\"",
                    least >> 10,
                    most >> 20
                )
            }
            Kind::Name(most) => {
                format!("a name in quotes: {most} letters, digits, `.`, `-` or `_` at most")
            }
            Kind::Folder => "a path in quotes".to_owned(),
            Kind::Addresses(most) => format!("1 to {most} addresses, such as [\"10.0.0.1:7500\"]"),
            Kind::Members => "members by id, such as { \"1\" = \"10.0.0.1:7480\" }".to_owned(),
        }
    }
}
