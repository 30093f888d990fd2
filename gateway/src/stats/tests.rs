//! Tests of the counters in the metrics text.

use super::*;

/// The samples of a text, without its HELP and TYPE lines.
fn samples(text: &str) -> Vec<String> {
    text.lines()
        .filter(|line| !line.starts_with('#'))
        .map(str::to_owned)
        .collect()
}

#[test]
fn every_class_is_shown_from_the_start_and_every_ending_counts_once() {
    let stats = Stats::new(["a", "b"].into_iter());
    stats.count_attempt();
    let abandoned = stats.start_request(0);
    for ending in [
        RequestEnding::Served,
        RequestEnding::Served,
        RequestEnding::Rejected,
        RequestEnding::Failed,
    ] {
        stats.start_request(1).finish(ending);
    }
    let expected = [
        "svc_passed_total{category=\"a\"} 0",
        "svc_passed_total{category=\"b\"} 2",
        "svc_dropped_total{category=\"a\"} 0",
        "svc_dropped_total{category=\"b\"} 1",
        "svc_bad_gateway_total{category=\"a\"} 0",
        "svc_bad_gateway_total{category=\"b\"} 1",
        "svc_upstream_tries_total 1",
        "svc_in_progress 1",
        "svc_known_engines 7",
        "svc_skipped_engines 2",
    ];
    let engines = EngineCounts {
        listed: 7,
        avoided: 2,
    };
    assert_eq!(samples(&stats.render(engines)), expected);
    drop(abandoned);
    let text = stats.render(EngineCounts {
        listed: 0,
        avoided: 0,
    });
    assert!(text.contains("\nsvc_in_progress 0\n"));
}
