//! The table of the `cluster` block, for members and subscribers.

use super::{Block, Key, Role, ValueKind};

pub(super) const CLUSTER: Block = Block {
    name: "cluster",
    about: "This instance's part in a cluster (docs/daemon-operations.md). Without this block it shares nothing. A \
            member agrees on the state with others; its folder is made once, by `violetgate members init`. A front end \
            that subscribes follows the state through observers, and takes only `name`, `front_end`, `observers`, \
            `drain_limit` and `confirm_every` beside its role.",
    keys: &[
        Key {
            name: "role",
            kind: ValueKind::OneOf(&["member", "subscriber"]),
            default: Some("\"member\""),
            reloads: false,
            about: "`member`: it agrees on the state with the other members; `subscriber`: it follows what they agree \
                    on. The keys of the other role are errors.",
        },
        Key {
            name: "name",
            kind: ValueKind::Name(64),
            default: None,
            reloads: false,
            about: "The cluster's name. Members of another one are turned away.",
        },
        Key {
            name: "id",
            kind: ValueKind::Count(1, 65_535),
            default: None,
            reloads: false,
            about: "This member's id. Ids are never used twice: one that lost its disk joins under the next.",
        },
        Key {
            name: "folder",
            kind: ValueKind::Folder,
            default: None,
            reloads: false,
            about: "Where this member keeps its log and its snapshots, on a disk that outlasts it.",
        },
        Key {
            name: "listen",
            kind: ValueKind::Address,
            default: None,
            reloads: false,
            about: "Where other members connect. They are not asked who they are beyond cluster, id and disk.",
        },
        Key {
            name: "api",
            kind: ValueKind::Address,
            default: None,
            reloads: false,
            about: "Where operators read and change what is agreed on, with `violetgate ctl` or curl. It asks nobody \
                    who they are.",
        },
        Key {
            name: "members",
            kind: ValueKind::Members,
            default: None,
            reloads: true,
            about: "Where the members are, as this one reaches them. Those that join later are known from the cluster \
                    itself.",
        },
        Key {
            name: "drain_limit",
            kind: ValueKind::Span(300, 2_000),
            default: Some("\"2s\""),
            reloads: false,
            about: "Nothing is sent on state that was last confirmed longer ago. It is at most the time in which drains \
                    are honoured, and has to be one everywhere.",
        },
        Key {
            name: "confirm_every",
            kind: ValueKind::Span(20, 1_000),
            default: Some("\"250ms\""),
            reloads: false,
            about: "How often the state is confirmed; at most a third of `drain_limit`.",
        },
        Key {
            name: "election_timeout",
            kind: ValueKind::Span(50, 10_000),
            default: Some("\"500ms\""),
            reloads: false,
            about: "Without a sign of the leader for this long, up to twice as long, a member asks for votes.",
        },
        Key {
            name: "heartbeat",
            kind: ValueKind::Span(10, 1_000),
            default: Some("\"100ms\""),
            reloads: false,
            about: "How often a leader gives a sign; at most a third of `election_timeout`.",
        },
        Key {
            name: "snapshot_every",
            kind: ValueKind::Count(10, 10_000_000),
            default: Some("10000"),
            reloads: false,
            about: "Entries of the log between two snapshots.",
        },
        Key {
            name: "subscribers_listen",
            kind: ValueKind::Address,
            default: Some("\"0.0.0.0:0\""),
            reloads: false,
            about: "Members only: where front ends that subscribe connect, which makes this member an observer; as the \
                    default says, nowhere. They are not asked who they are beyond cluster and name.",
        },
        Key {
            name: "subscribers",
            kind: ValueKind::Count(1, 20_000),
            default: Some("4000"),
            reloads: false,
            about: "Members only: the most front ends that this observer takes; more are turned away \
                    (`observer_full`). Each is one descriptor.",
        },
        Key {
            name: "front_end",
            kind: ValueKind::Name(64),
            default: None,
            reloads: false,
            about: "Subscribers only: this front end's name, unique in the fleet, by which it is drained; not a number \
                    alone, as members' ids are.",
        },
        Key {
            name: "observers",
            kind: ValueKind::Members,
            default: None,
            reloads: false,
            about: "Subscribers only: the members that serve front ends, with their `subscribers_listen`, as this one \
                    reaches them. It holds two of them at a time; with only one there is no reserve.",
        },
    ],
    roles: &[
        Role { name: "member", without: &["front_end", "observers"] },
        Role {
            name: "subscriber",
            without: &[
                "id",
                "folder",
                "listen",
                "api",
                "members",
                "election_timeout",
                "heartbeat",
                "snapshot_every",
                "subscribers_listen",
                "subscribers",
            ],
        },
    ],
};
