//! Digests of the decisions on generated streams of events. They cover all actions in order, with
//! their times, and samples of the engine counts. As long as the simulation and the scenarios stay
//! the same, a digest changes only if an action, its time or an engine count changes.

mod trace;

use std::sync::OnceLock;

/// The digest of each scenario of `trace::scenarios`, which also explains the names.
const DIGESTS: [(&str, u64); 12] = [
    ("8 engines, all told", 0x9877_9986_2ee7_4b22),
    ("8 engines, 3 gateways, overload", 0x64ce_1aff_3301_6a80),
    ("8 engines, bare", 0x5b2d_a9cf_69d6_09d8),
    ("8 engines, nothing known", 0xa067_aa8d_866f_a4cd),
    ("8 engines, no notes, no costs", 0x89a5_5e04_69cf_a42c),
    ("80 engines, all told", 0x1796_0c8b_f02d_2bbe),
    ("80 engines, no costs, grants", 0xc556_479d_71aa_0cc6),
    ("80 engines, thin parts", 0x397c_ab32_e1ea_549e),
    ("80 engines, thin parts, untold", 0x8624_ccc9_f5e0_a0bb),
    ("300 engines, sampled", 0x2216_9d6d_3d5c_25b3),
    ("300 engines, sampled, untold", 0x2277_46d9_fe43_80b0),
    ("300 engines, all looked at", 0x650b_db53_e3e2_50dd),
];

/// Runs all scenarios once for all tests.
fn played() -> &'static [(&'static str, u64, trace::Seen)] {
    static PLAYED: OnceLock<Vec<(&'static str, u64, trace::Seen)>> = OnceLock::new();
    PLAYED.get_or_init(|| {
        let play = |(name, scenario)| {
            let (digest, seen) = trace::play(scenario);
            (name, digest, seen)
        };
        trace::scenarios::all().into_iter().map(play).collect()
    })
}

#[test]
fn actions_over_generated_events_equal_the_stored_digests() {
    for (name, digest, seen) in played() {
        println!("(\"{name}\", {digest:#018x}), // {seen:?}");
    }
    let digests: Vec<_> = played()
        .iter()
        .map(|(name, digest, _)| (*name, *digest))
        .collect();
    assert_eq!(digests, DIGESTS);
}

#[test]
fn generated_events_reach_every_kind_of_action() {
    let total = |count: fn(&trace::Seen) -> u32| {
        played().iter().map(|(_, _, seen)| count(seen)).sum::<u32>()
    };
    assert!(total(|seen| seen.events) >= 100_000);
    assert!(total(|seen| seen.terms) > 5_000);
    assert!(total(|seen| seen.further_sends) > 2_000);
    assert!(total(|seen| seen.cancels) > 200);
    assert!(total(|seen| seen.refusals) > 2_000);
    assert!(total(|seen| seen.failures) > 100);
    assert!(total(|seen| seen.wakes) > 2_000);
    assert!(total(|seen| seen.follows) > 20);
    let avoided = played()
        .iter()
        .filter(|(_, _, seen)| seen.most_avoided > 2)
        .count();
    assert!(avoided > played().len() / 2);
}
