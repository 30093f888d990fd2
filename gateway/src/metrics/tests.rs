//! Tests of the catalog's rules for names, and of the exact bytes of the text format.

use std::collections::HashSet;

use super::catalog::{cluster, event_bus, fleet, memory, requests, rest};
use super::text::{Label, MetricsText};
use super::{Metric, MetricKind, Unit};

/// Every metric of the catalog.
const CATALOG: &[Metric] = &[
    requests::REQUESTS_SERVED,
    requests::REQUESTS_REJECTED,
    requests::REQUESTS_FAILED,
    requests::ATTEMPTS,
    requests::REQUESTS_IN_PROGRESS,
    requests::ENGINES_LISTED,
    requests::ENGINES_AVOIDED,
    memory::LIMIT_BYTES,
    memory::CHARGED_BYTES,
    memory::CHARGES_REJECTED,
    memory::CONNECTIONS_RECLAIMED,
    rest::RESULTS,
    rest::RESULTS_BYTES,
    rest::RESULTS_FULL,
    rest::PAGES,
    rest::PAGES_EXPIRED,
    rest::TOKENS_UNKNOWN,
    rest::KEYS,
    rest::KEYS_JOINED,
    rest::KEYS_REPLAYED,
    event_bus::SENT_BYTES,
    event_bus::RECEIVED_BYTES,
    cluster::REVISION,
    cluster::MAY_ROUTE,
    cluster::FENCED,
    cluster::IS_LEADER,
    cluster::TERM,
    cluster::COMMIT_INDEX,
    cluster::APPLIED_INDEX,
    cluster::VOTERS,
    cluster::MESSAGES_DROPPED,
    cluster::MESSAGES_SENT,
    cluster::MESSAGES_RECEIVED,
    cluster::SUBSCRIBERS,
    cluster::OBSERVERS,
    cluster::OBSERVERS_SILENT,
    cluster::GATEWAYS_SERVING,
    cluster::GATEWAYS_NOT_SERVING,
    cluster::REVISION_IN_FORCE,
    cluster::PROPAGATION_TIME,
    cluster::GATEWAYS_BEHIND,
    cluster::SENT_BYTES,
    cluster::RECEIVED_BYTES,
    cluster::WATCHED_OBSERVER,
    cluster::STANDBY_OBSERVER,
    cluster::SUBSCRIPTION_REJECTED,
    fleet::SIZE,
    fleet::IS_RECOVERING_FROM_PAUSE,
    fleet::DATAGRAMS_REJECTED,
    fleet::DATAGRAMS_UNSENT,
    fleet::SENT_BYTES,
    fleet::RECEIVED_BYTES,
    fleet::MEMBER_STATE_AGE,
    fleet::LINK_CUT_AGE,
];

/// The source texts of the catalog's files, to detect a declaration that [`CATALOG`] lacks.
const CATALOG_SOURCES: &[&str] = &[
    include_str!("catalog/requests.rs"),
    include_str!("catalog/memory.rs"),
    include_str!("catalog/rest.rs"),
    include_str!("catalog/event_bus.rs"),
    include_str!("catalog/cluster.rs"),
    include_str!("catalog/fleet.rs"),
];

const PREFIX: &str = "svc_";
const COUNTER_SUFFIX: &str = "_total";

#[test]
fn the_list_of_these_tests_has_every_declaration_of_the_catalog() {
    let declarations = CATALOG_SOURCES
        .iter()
        .map(|source| source.matches(": Metric = ").count())
        .sum::<usize>();
    assert_eq!(declarations, CATALOG.len());
}

#[test]
fn names_are_unique() {
    let mut names = HashSet::new();
    for metric in CATALOG {
        assert!(
            names.insert(metric.name),
            "{} is declared twice",
            metric.name
        );
    }
}

#[test]
fn names_have_the_prefix_and_only_lower_case_letters_and_underscores() {
    for Metric { name, .. } in CATALOG {
        assert!(name.starts_with(PREFIX), "{name}");
        let is_plain = |byte: u8| byte.is_ascii_lowercase() || byte == b'_';
        assert!(name.bytes().all(is_plain), "{name}");
    }
}

#[test]
fn exactly_the_counters_end_in_total() {
    for Metric { name, kind, .. } in CATALOG {
        let is_counter = *kind == MetricKind::Counter;
        assert_eq!(name.ends_with(COUNTER_SUFFIX), is_counter, "{name}");
    }
}

#[test]
fn units_in_names_are_the_declared_ones() {
    for Metric { name, unit, .. } in CATALOG {
        let name = name.strip_suffix(COUNTER_SUFFIX).unwrap_or(name);
        for (suffix, named_unit) in [
            ("_bytes", Unit::Bytes),
            ("_seconds", Unit::Seconds),
            ("_ms", Unit::Milliseconds),
        ] {
            assert_eq!(name.ends_with(suffix), *unit == named_unit, "{name}");
        }
    }
}

#[test]
fn each_help_text_is_one_sentence_on_one_line() {
    for Metric { name, help, .. } in CATALOG {
        assert!(help.ends_with('.') && !help.contains('\n'), "{name}");
    }
}

const EXAMPLE_COUNTER: Metric = Metric {
    name: "svc_example_total",
    kind: MetricKind::Counter,
    unit: Unit::Requests,
    help: "An example.",
};

const EXAMPLE_GAUGE: Metric = Metric {
    name: "svc_example",
    kind: MetricKind::Gauge,
    unit: Unit::Requests,
    help: "Another one.",
};

#[test]
fn a_value_without_labels_has_its_help_and_type() {
    let mut text = MetricsText::new();
    text.write_value(&EXAMPLE_COUNTER, 3);
    text.write_value(&EXAMPLE_GAUGE, 0);
    let expected = "# HELP svc_example_total An example.\n# TYPE svc_example_total counter\n\
                    svc_example_total 3\n\
                    # HELP svc_example Another one.\n# TYPE svc_example gauge\n\
                    svc_example 0\n";
    assert_eq!(text.into_string(), expected);
}

#[test]
fn samples_by_one_label_follow_one_help_and_type() {
    let mut text = MetricsText::new();
    let samples = [("a", 1), ("b", 2)].into_iter();
    text.write_by_label(&EXAMPLE_COUNTER, "category", samples);
    let expected = "# HELP svc_example_total An example.\n# TYPE svc_example_total counter\n\
                    svc_example_total{category=\"a\"} 1\n\
                    svc_example_total{category=\"b\"} 2\n";
    assert_eq!(text.into_string(), expected);
}

#[test]
fn a_metric_by_label_without_samples_has_its_help_and_type_alone() {
    let mut text = MetricsText::new();
    text.write_by_label(&EXAMPLE_GAUGE, "code", std::iter::empty());
    let expected = "# HELP svc_example Another one.\n# TYPE svc_example gauge\n";
    assert_eq!(text.into_string(), expected);
}

#[test]
fn a_sample_alone_has_its_labels_in_order_and_no_help() {
    let mut text = MetricsText::new();
    let labels = [("member", "m1"), ("state", "alive")];
    let labels = labels.map(|(name, value)| Label { name, value });
    text.write_sample(&EXAMPLE_GAUGE, &labels, 7);
    let expected = "svc_example{member=\"m1\",state=\"alive\"} 7\n";
    assert_eq!(text.into_string(), expected);
}
