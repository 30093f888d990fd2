//! Tests with thousands of engines: placement examines a few of them for each query, and still
//! finds those that the query needs.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::*;
use violetgate_policy::interface::{
    Class, Engine, EngineId, EngineState, ListScope, NewQuery, Outcome, RetryBudget,
};
use violetgate_policy::{Event, Settings};

const ENGINES: u32 = 4_000;

const ZONES: u32 = 10;

fn in_zone(id: EngineId) -> Engine {
    Engine {
        zone: id % ZONES,
        ..engine(id)
    }
}

fn fleet_settings(classes: Vec<Class>) -> Settings {
    let budget = RetryBudget {
        min_retries: 3.0,
        retry_ratio: 0.1,
        window: 5 * S,
    };
    Settings {
        gateways: Some(7_600),
        zone: Some(3),
        retry_budget: Some(budget),
        ..settings(classes, 8.0)
    }
}

fn gateway_with_all_engines(classes: Vec<Class>, seed: u64) -> TestGateway {
    TestGateway::seeded(
        fleet_settings(classes),
        (0..ENGINES).map(in_zone).collect(),
        seed,
    )
}

/// Sends `count` queries one after the other, each answered after `interval`, and returns their
/// engines.
fn send_sequentially(
    gateway: &mut TestGateway,
    from: u64,
    count: u64,
    interval: u64,
    make_query: impl Fn(u64) -> NewQuery,
) -> Vec<EngineId> {
    let mut targets = Vec::new();
    for id in from..from + count {
        let Some(target) = sent_to(&gateway.arrive(make_query(id)), id) else {
            continue;
        };
        targets.push(target);
        gateway.now += interval;
        gateway.end_attempt(id, 0, target, Outcome::Completed);
    }
    targets
}

#[test]
fn a_gateway_with_few_queries_uses_few_of_thousands_of_engines() {
    let mut gateway = gateway_with_all_engines(vec![class(10 * S)], 1);
    let targets = send_sequentially(&mut gateway, 1, 300, 100 * MS, |id| query(id, 50 * MS));
    let used: BTreeSet<_> = targets.iter().collect();
    assert!(
        targets.len() == 300 && used.len() <= 30,
        "{} engines were used for {} queries",
        used.len(),
        targets.len()
    );
    assert!(
        targets.iter().all(|target| target % ZONES == 3),
        "all queries should go to engines in its own zone"
    );
}

#[test]
fn engines_of_other_zones_serve_when_a_zone_is_lost() {
    let mut gateway = gateway_with_all_engines(vec![class(10 * S)], 2);
    let removed = (0..ENGINES).filter(|target| target % ZONES == 3);
    let engines = removed
        .map(|target| Engine {
            state: EngineState::Removed,
            ..in_zone(target)
        })
        .collect();
    gateway.handle(Event::EngineList {
        scope: ListScope::Patch,
        engines,
    });
    let targets = send_sequentially(&mut gateway, 1, 100, 10 * MS, |id| query(id, 10 * MS));
    assert!(targets.len() == 100 && targets.iter().all(|target| target % ZONES != 3));
}

#[test]
fn a_snapshot_of_other_engines_is_used_at_once() {
    let mut gateway = gateway_with_all_engines(vec![class(10 * S)], 3);
    send_sequentially(&mut gateway, 1, 50, 10 * MS, |id| query(id, 10 * MS));
    let engines = (ENGINES..2 * ENGINES).map(in_zone).collect();
    gateway.handle(Event::EngineList {
        scope: ListScope::Snapshot,
        engines,
    });
    let targets = send_sequentially(&mut gateway, 100, 50, 10 * MS, |id| query(id, 10 * MS));
    assert!(targets.len() == 50 && targets.iter().all(|target| *target >= ENGINES));
}

#[test]
fn the_only_usable_engine_is_found_among_thousands_of_cordoned_ones() {
    let mut gateway = gateway_with_all_engines(vec![class(10 * S)], 4);
    let is_usable = |target: &EngineId| *target == 1_234;
    for target in (0..ENGINES).filter(|target| !is_usable(target)) {
        gateway.handle(Event::Cordon {
            engine: target,
            cordoned: true,
        });
    }
    gateway.now += S;
    let targets = send_sequentially(&mut gateway, 1, 20, 100 * MS, |id| query(id, 10 * MS));
    assert!(
        targets.len() == 20 && targets.iter().all(is_usable),
        "{} of 20 queries were sent",
        targets.len()
    );
}

#[test]
fn a_class_bound_to_a_far_zone_finds_its_engines() {
    let zone_bound = Class {
        allowed_zones: Some(vec![7]),
        ..class(10 * S)
    };
    let mut gateway = gateway_with_all_engines(vec![class(10 * S), zone_bound], 5);
    let targets = send_sequentially(&mut gateway, 1, 50, 100 * MS, |id| NewQuery {
        class: 1,
        ..query(id, 10 * MS)
    });
    assert!(
        targets.len() == 50 && targets.iter().all(|target| target % ZONES == 7),
        "{} of 50 queries were sent",
        targets.len()
    );
}

/// Sends queries from each gateway to its subset of 1,200 engines. Returns the connections as
/// pairs of gateway and engine, and the maximum and the mean number of queries to an engine.
fn measure_spread(gateways: impl Iterator<Item = u64>) -> (BTreeSet<(u64, EngineId)>, f64, f64) {
    let mut load: BTreeMap<EngineId, u32> = (0..1_200).map(|target| (target, 0)).collect();
    let mut connections = BTreeSet::new();
    for number in gateways {
        // The query rate is measured over the budget's window. A short one makes it known soon.
        let retry_budget = Some(RetryBudget {
            min_retries: 3.0,
            retry_ratio: 0.1,
            window: S / 4,
        });
        let config = Settings {
            gateways: Some(760),
            zone: None,
            retry_budget,
            ..fleet_settings(vec![class(10 * S)])
        };
        let mut gateway =
            TestGateway::seeded(config, (0..1_200).map(engine).collect(), number * 7919 + 3);
        // The first 500 queries let the subset grow to the size that the rate needs.
        send_sequentially(&mut gateway, 1, 500, MS / 2, |id| query(id, MS));
        for target in send_sequentially(&mut gateway, 2_000, 500, MS / 2, |id| query(id, MS)) {
            *load.entry(target).or_default() += 1;
            connections.insert((number, target));
        }
    }
    let mean = f64::from(load.values().sum::<u32>()) / load.len() as f64;
    (
        connections,
        f64::from(load.values().copied().max().unwrap_or(0)),
        mean,
    )
}

/// The ratio of gateways to engines is that of a fleet of ten times the size. When a tenth of the
/// gateways is replaced, only their connections move.
#[test]
fn subsets_spread_evenly_over_many_engines() {
    let (before, most, mean) = measure_spread(0..760);
    assert!(
        most < 1.5 * mean,
        "{most} at the busiest, {mean} on average"
    );
    let (after, most, mean) = measure_spread(76..836);
    assert!(
        most < 1.5 * mean,
        "{most} at the busiest, {mean} on average, after a tenth was replaced"
    );
    let kept = before.intersection(&after).count() as f64;
    assert!(
        kept >= 0.85 * before.len() as f64,
        "{kept} of {} connections were kept",
        before.len()
    );
}
