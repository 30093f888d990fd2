//! Tests of which engine a query is sent to.

mod common;

use common::*;
use violetgate_policy::interface::{Class, Engine, EngineKind, NewQuery, Outcome, Progress};
use violetgate_policy::{Event, Settings};

fn fleet_settings(gateways: u32, classes: Vec<Class>) -> Settings {
    Settings {
        gateways: Some(gateways),
        ..settings(classes, 8.0)
    }
}

#[test]
fn the_engine_with_most_free_threads_is_chosen() {
    let mut gateway = TestGateway::new(
        settings(vec![class(10 * S)], 8.0),
        vec![engine(0), engine(1), engine(2)],
    );
    let mut at: Vec<_> = (1..=3)
        .map(|id| sent_to(&gateway.arrive(query(id, S)), id).expect("query was not sent"))
        .collect();
    at.sort_unstable();
    assert_eq!(at, [0, 1, 2]);
}

/// The engine's threads of lower priority yield to a short query, so the query is not queued
/// behind them.
#[test]
fn short_queries_do_not_wait_for_long_ones_of_lower_priority() {
    let is_queued = |priorities| {
        let long = Class {
            threads: Some(4.0),
            ..class(10 * S)
        };
        let mut config = settings(vec![class(10 * S), long], 2.0);
        config.priorities = priorities;
        let mut gateway = TestGateway::new(config, vec![engine(0)]);
        for id in 1..=30 {
            let actions = gateway.arrive(query(id, 100 * MS));
            gateway.end_attempt(id, 0, 0, Outcome::Completed);
            assert!(sent_to(&actions, id).is_some());
        }
        let long = |id| NewQuery {
            class: 1,
            ..query(id, 8 * S)
        };
        assert!(sent_to(&gateway.arrive(long(100)), 100).is_some());
        assert!(
            sent_to(&gateway.arrive(long(101)), 101).is_none(),
            "the engine should have no free threads for another long query"
        );
        assert!(sent_to(&gateway.arrive(query(102, 100 * MS)), 102).is_some());
        sent_to(&gateway.arrive(query(103, 100 * MS)), 103).is_none()
    };
    assert!(is_queued(false) && !is_queued(true));
}

/// A gateway with few queries uses an engine too rarely to judge it. The headroom that it last saw
/// there decides between otherwise equal engines, and loses its effect with time.
#[test]
fn slow_engines_are_avoided_until_their_headroom_has_faded() {
    let mut gateway = TestGateway::new(
        fleet_settings(200, vec![class(10 * S)]),
        (0..10).map(engine).collect(),
    );
    let slow = sent_to(&gateway.arrive(query(1, S)), 1).expect("query was not sent");
    gateway.now += S;
    gateway.report_progress(1, 0, Progress::FractionDone(0.2));
    gateway.handle(Event::ClientDisconnected { query: 1 });
    gateway.end_attempt(1, 0, slow, Outcome::Cancelled);
    let sends_to_slow_engine = |gateway: &mut TestGateway, ids: std::ops::Range<u64>| {
        ids.filter(|id| {
            let target =
                sent_to(&gateway.arrive(query(*id, 10 * MS)), *id).expect("query was not sent");
            gateway.now += 10 * MS;
            gateway.end_attempt_after(*id, 0, target, Outcome::Completed, 10 * MS);
            target == slow
        })
        .count()
    };
    assert_eq!(sends_to_slow_engine(&mut gateway, 2..102), 0);
    gateway.now += 10 * S;
    assert!(
        sends_to_slow_engine(&mut gateway, 102..202) > 0,
        "the headroom that was observed should no longer count"
    );
}

#[test]
fn an_engine_whose_limit_has_grown_does_not_attract_all_queries() {
    let mut config = settings(vec![class(10 * S)], 8.0);
    config.gateways = Some(3);
    let mut gateway = TestGateway::new(config, vec![engine(0)]);
    let mut id = 0;
    let mut serve = |gateway: &mut TestGateway, n: usize| {
        let out: Vec<_> = (0..n)
            .filter_map(|_| {
                id += 1;
                let chosen = sent_to(&gateway.arrive(query(id, 100 * MS)), id);
                if chosen.is_none() {
                    gateway.handle(Event::ClientDisconnected { query: id });
                }
                Some((id, chosen?))
            })
            .collect();
        gateway.now += 100 * MS;
        out.iter().for_each(|(id, target)| {
            drop(gateway.end_attempt(*id, 0, *target, Outcome::Completed))
        });
        out.into_iter()
            .map(|(_, target)| target)
            .collect::<Vec<_>>()
    };
    (0..30).for_each(|_| drop(serve(&mut gateway, 16)));
    assert!(
        serve(&mut gateway, 30).len() > 10,
        "the thread limit should have grown"
    );
    (1..4).for_each(|target| drop(gateway.patch_list(engine(target))));
    let places = serve(&mut gateway, 16);
    assert!(
        (0..4).all(|target| places.iter().filter(|p| **p == target).count() == 4),
        "{places:?}"
    );
}

/// With limits below one thread, the larger kind always has the most free threads. Guards against
/// sending all queries there.
#[test]
fn small_engines_get_their_share_from_many_gateways() {
    let mut config = Settings {
        gateways: Some(60),
        ..settings(vec![class(10 * S)], 8.0)
    };
    config.engine_kinds.push(EngineKind {
        cores: Some(16.0),
        memory_mb: None,
    });
    let mut gateway = TestGateway::new(
        config,
        (0..8)
            .map(|id| Engine {
                kind: id % 2,
                ..engine(id)
            })
            .collect(),
    );
    let small = (1..=600).filter(|id| {
        let target =
            sent_to(&gateway.arrive(query(*id, 50 * MS)), *id).expect("query was not sent");
        gateway.now += 50 * MS;
        gateway.end_attempt_after(*id, 0, target, Outcome::Completed, 50 * MS);
        target % 2 == 0
    });
    let small = small.count();
    assert!(
        (120..=280).contains(&small),
        "engines with a third of the cores got {small} of 600 queries"
    );
}
