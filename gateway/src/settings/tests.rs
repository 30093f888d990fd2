//! Tests that the tables, the types, the docs page and the sample file agree, and that every error
//! is reported with its line and key.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use super::schema::{ValueKind, BLOCKS};
use super::*;

/// All errors of a file are reported at once, each with its line and key, and an unknown name with
/// a similar known one.
#[test]
fn all_errors_are_reported_at_once() {
    let text = "lgo {\n}\nlog {\n  format = \"xml\"\n  lines_wating = 5\n  lines_waiting = 1.5\n}\nx = 1\n";
    let reported: Vec<_> = parse(text)
        .unwrap_err()
        .iter()
        .map(ToString::to_string)
        .collect();
    let expected = [
        "1: lgo: no such block; did you mean `log`?",
        "4: log.format: has to be \"text\" or \"json\"",
        "5: log.lines_wating: no such key; did you mean `lines_waiting`?",
        "6: log.lines_waiting: has to be a whole number from 16 to 1000000",
        "8: x: no such block",
    ];
    assert_eq!(reported, expected);
    assert_eq!(parse("log {").unwrap_err().len(), 1);
}

/// Conflicts between valid keys are reported with a line and key. Shared settings replace an
/// instance's own, and keys that can't be shared are errors.
#[test]
fn conflicting_keys_and_shared_settings_are_checked() {
    let file = |extra: &str| {
        format!(
            "cluster {{\n name = \"w\"\n id = 2\n folder = \"f\"\n listen = \"127.0.0.1:1\"\n \
             api = \"127.0.0.1:2\"\n members = {{ \"2\" = \"127.0.0.1:1\" }}\n{extra}\n}}\n"
        )
    };
    assert_eq!(
        parse(&file("")).unwrap().cluster.unwrap().addresses().len(),
        1
    );
    for (extra, expected) in [
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
        assert_eq!(
            parse(&file(extra))
                .unwrap_err()
                .first()
                .unwrap()
                .to_string(),
            expected
        );
    }
    let members = file("").replace("\"2\" =", "two =");
    assert!(parse(&members)
        .unwrap_err()
        .first()
        .unwrap()
        .text
        .starts_with("has to be members by id"));
    let own = Settings {
        rest: Some(Rest::default()),
        ..Settings::default()
    };
    let shared = SharedSettings::parse("rest {\n results = 5\n}\n").unwrap();
    assert_eq!(shared.applied_over(&own).rest.unwrap().results, 5);
    assert_eq!(shared.applied_over(&Settings::default()).rest, None);
    let errors =
        SharedSettings::parse("rest {\n results = 0\n listen = \"127.0.0.1:1\"\n}\n").unwrap_err();
    assert_eq!(
        errors.iter().map(|error| error.line).collect::<Vec<_>>(),
        [2, 3]
    );
}

/// Returns a file with every block, and every key that an instance of this cluster role takes.
fn whole_file(cluster_role: &str) -> String {
    let mut file = String::new();
    for block in BLOCKS {
        file += &format!("{} {{\n", block.name);
        let role = block.role(Some(cluster_role));
        for key in block
            .keys
            .iter()
            .filter(|key| role.is_none_or(|role| role.allows_key(key.name)))
        {
            let default = key.default.unwrap_or(match key.kind {
                ValueKind::Address => "\"127.0.0.1:1\"",
                ValueKind::Count(..) => "1",
                ValueKind::Members => "{ \"1\" = \"127.0.0.1:1\" }",
                ValueKind::Addresses(_) => "[\"127.0.0.1:1\"]",
                _ => "\"x\"",
            });
            let default = match key.name {
                "role" => &format!("\"{cluster_role}\""),
                // `api` and `listen` of one instance can't be the same address.
                "api" => "\"127.0.0.1:2\"",
                _ => default,
            };
            file += &format!("  {} = {default}\n", key.name);
        }
        file += "}\n";
    }
    file
}

/// The tables and the types have the same keys and defaults, for every role in a cluster.
#[test]
fn tables_and_types_agree() {
    for (name, role) in [
        ("member", ClusterRole::Member),
        ("subscriber", ClusterRole::Subscriber),
    ] {
        let file = whole_file(name);
        let parsed = serde_json::to_value(parse(&file).unwrap()).unwrap();
        for (name, block) in parsed.as_object().unwrap() {
            let table = BLOCKS.iter().find(|b| b.name == name).unwrap();
            let keys: Vec<_> = block
                .as_object()
                .unwrap()
                .keys()
                .map(String::as_str)
                .collect();
            let mut known: Vec<_> = table.keys.iter().map(|k| k.name).collect();
            known.sort_unstable();
            assert_eq!(keys, known, "{name}");
        }
        let api = if role == ClusterRole::Member { 2 } else { 1 };
        let defaults = Settings {
            rest: Some(Rest::default()),
            cluster: Some(Cluster {
                role,
                api: ([127, 0, 0, 1], api).into(),
                ..Cluster::default()
            }),
            fleet: Some(Fleet::default()),
            ..Settings::default()
        };
        let defaults = serde_json::to_value(defaults).unwrap();
        for (name, block) in defaults
            .as_object()
            .unwrap()
            .iter()
            .filter(|(_, b)| !b.is_null())
        {
            assert_eq!(parsed.get(name), Some(block), "{name}");
        }
    }
}

/// Returns the messages of all errors of a text.
fn errors(text: &str) -> Vec<String> {
    let errors = parse(text).unwrap_err();
    errors.iter().map(ToString::to_string).collect()
}

/// Returns a subscriber's settings with `extra` lines.
fn subscriber(extra: &str) -> String {
    format!(
        "cluster {{\n role = \"subscriber\"\n name = \"w\"\n front_end = \"fe-17\"\n \
         observers = {{ \"6\" = \"127.0.0.1:7206\" }}\n{extra}\n}}\n"
    )
}

/// Returns a member's settings with `extra` lines.
fn member(extra: &str) -> String {
    format!(
        "cluster {{\n name = \"w\"\n id = 2\n folder = \"f\"\n listen = \"127.0.0.1:1\"\n \
         api = \"127.0.0.1:2\"\n members = {{ \"2\" = \"127.0.0.1:1\" }}\n{extra}\n}}\n"
    )
}

/// Keys that only members take are reported as errors with their lines, and so are missing keys of
/// a subscriber.
#[test]
fn a_subscriber_takes_its_own_keys_only() {
    let given = parse(&subscriber("drain_limit = \"1s\""))
        .unwrap()
        .cluster
        .unwrap();
    assert_eq!(
        (given.role, given.observer_addresses().len()),
        (ClusterRole::Subscriber, 1)
    );
    for (extra, expected) in [
        ("id = 2", "6: cluster.id: is no key of a subscriber: take it out, or correct `role`"),
        ("folder = \"f\"", "6: cluster.folder: is no key of a subscriber: take it out, or correct `role`"),
        (
            "subscribers_listen = \"127.0.0.1:1\"",
            "6: cluster.subscribers_listen: is no key of a subscriber: take it out, or correct `role`",
        ),
        ("drain_limit = \"500ms\"", "1: cluster.confirm_every: has to be a third of `drain_limit` at most"),
    ] {
        assert_eq!(errors(&subscriber(extra)), [expected]);
    }
    assert_eq!(
        errors(&subscriber("").replace("fe-17", "17")),
        ["4: cluster.front_end: has to hold more than digits: numbers are members' ids"]
    );
    assert_eq!(
        errors(&subscriber("").replace("subscriber", "observer"))
            .first()
            .unwrap(),
        "1: cluster.api: is missing in this block"
    );
    let text = "cluster {\n role = \"subscriber\"\n name = \"w\"\n}\n";
    assert_eq!(
        errors(text),
        [
            "1: cluster.front_end: is missing in this block",
            "1: cluster.observers: is missing in this block"
        ]
    );
}

#[test]
fn a_member_takes_its_own_keys_only() {
    let observer = parse(&member(
        "subscribers_listen = \"127.0.0.1:3\"\nsubscribers = 5",
    ))
    .unwrap();
    assert_eq!(
        observer
            .cluster
            .unwrap()
            .subscribers_listen()
            .unwrap()
            .port(),
        3
    );
    for (extra, expected) in [
        (
            "subscribers_listen = \"127.0.0.1:2\"",
            "8: cluster.subscribers_listen: is where members or operators connect",
        ),
        (
            "subscribers = 0",
            "8: cluster.subscribers: has to be a whole number from 1 to 20000",
        ),
        (
            "front_end = \"fe-17\"",
            "8: cluster.front_end: is no key of a member: take it out, or correct `role`",
        ),
    ] {
        assert_eq!(errors(&member(extra)), [expected]);
    }
}

/// The docs page contains the reference, and the sample file is valid and shows every key.
#[test]
fn the_page_and_the_sample_are_current() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let page = std::fs::read_to_string(root.join("docs/configuration.md")).unwrap();
    assert!(
        page.contains(&reference()),
        "docs/configuration.md is out of date: copy the output of `violetgate reference` into it"
    );
    let sample = std::fs::read_to_string(root.join("deploy/violetgate.hcl")).unwrap();
    parse(&sample).unwrap();
    for block in BLOCKS {
        assert!(
            sample.contains(&format!("\n{} {{", block.name)),
            "{}",
            block.name
        );
        for key in block.keys {
            assert!(
                sample.contains(&format!("  {} = ", key.name)),
                "{}.{}",
                block.name,
                key.name
            );
        }
    }
}

/// Errors in the `fleet` block, and conflicts between its keys, are reported with a line and key.
#[test]
fn a_fleet_is_checked_as_a_whole() {
    let file = |listen: &str, extra: &str| {
        let seeds = if extra.starts_with("seeds") {
            ""
        } else {
            " seeds = [\"127.0.0.1:1\"]"
        };
        format!("fleet {{\n name = \"w\"\n member = \"a\"\n listen = \"{listen}\"\n{seeds}\n{extra}\n}}\n")
    };
    assert_eq!(
        parse(&file("127.0.0.1:1", ""))
            .unwrap()
            .fleet
            .unwrap()
            .seeds
            .len(),
        1
    );
    let all = "0.0.0.0:1";
    let one = "127.0.0.1:1";
    for (listen, extra, expected) in [
        (all, "", "1: fleet.address: or `listen` has to say where others reach this one, not every address"),
        (
            one,
            "reply_within = \"400ms\"",
            "6: fleet.reply_within: has to be a third of `probe_every` at most",
        ),
        (
            one,
            "settle = \"5s\"",
            "6: fleet.settle: has to be twice `suspect_for` at least: views differ for so long",
        ),
        (one, "seeds = 7", "6: fleet.seeds: has to be 1 to 15 addresses, such as [\"10.0.0.1:7500\"]"),
    ] {
        assert_eq!(parse(&file(listen, extra)).unwrap_err().first().unwrap().to_string(), expected);
    }
}
