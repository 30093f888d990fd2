//! The table of the `fleet` block.

use super::{Block, Key, ValueKind};

pub(super) const FLEET: Block = Block {
    name: "fleet",
    about: "This front end as one of a fleet that shares engines (docs/fleet-operations.md). Without this block it knows \
            nothing of the others, and their number is the one that the platform states.",
    keys: &[
        Key {
            name: "name",
            kind: ValueKind::Name(64),
            default: None,
            reloads: false,
            about: "The fleet's name. Front ends of another one are turned away.",
        },
        Key {
            name: "member",
            kind: ValueKind::Name(64),
            default: None,
            reloads: false,
            about: "This front end's name, the same after a restart. Of two that run under it the older leaves.",
        },
        Key {
            name: "listen",
            kind: ValueKind::Address,
            default: None,
            reloads: false,
            about: "Where it listens for the others' datagrams (UDP). They are asked for the fleet's name only.",
        },
        Key {
            name: "address",
            kind: ValueKind::Address,
            default: Some("\"0.0.0.0:0\""),
            reloads: false,
            about: "Where the others reach this one, if that is not `listen`, as the default says.",
        },
        Key {
            name: "seeds",
            kind: ValueKind::Addresses(15),
            default: None,
            reloads: false,
            about: "Some of the others, as a start: one that answers tells of the rest. This one may be among them.",
        },
        Key {
            name: "probe_every",
            kind: ValueKind::Span(200, 10_000),
            default: Some("\"1s\""),
            reloads: false,
            about: "How often each of the four that watch another asks it for a sign.",
        },
        Key {
            name: "reply_within",
            kind: ValueKind::Span(50, 3_000),
            default: Some("\"300ms\""),
            reloads: false,
            about: "How long an answer may take before others are asked to try; at most a third of `probe_every`.",
        },
        Key {
            name: "suspect_for",
            kind: ValueKind::Span(500, 60_000),
            default: Some("\"3400ms\""),
            reloads: false,
            about: "How long one stays suspected before it is taken for dead; longer than a process may stand still.",
        },
        Key {
            name: "settle",
            kind: ValueKind::Span(1_000, 600_000),
            default: Some("\"15s\""),
            reloads: false,
            about: "How long a lower number of front ends has to stand before this one takes more of the engines.",
        },
        Key {
            name: "step",
            kind: ValueKind::Span(100, 600_000),
            default: Some("\"2s\""),
            reloads: false,
            about: "From then on it reckons with one fewer each time this has passed; with more at once.",
        },
    ],
    roles: &[],
};
