//! Tests of engines that operators cordon and uncordon.

mod common;

use common::*;
use violetgate_policy::interface::{Engine, EngineState, ListScope, Outcome};
use violetgate_policy::Event;

fn counts(gateway: &TestGateway) -> (usize, usize) {
    let counts = gateway.inner.engine_counts();
    (counts.listed, counts.avoided)
}

fn set_cordon(gateway: &mut TestGateway, engine: u32, cordon: bool) {
    gateway.handle(Event::Cordon {
        engine,
        cordoned: cordon,
    });
}

/// A change of the engine list does not end a cordon. One uncordon ends it, even after two cordons.
#[test]
fn a_cordoned_engine_gets_nothing_until_it_is_uncordoned() {
    let mut gateway = TestGateway::new(
        settings(vec![class(10 * S)], 8.0),
        vec![engine(0), engine(1)],
    );
    set_cordon(&mut gateway, 0, true);
    set_cordon(&mut gateway, 0, true);
    set_cordon(&mut gateway, 7, true); // not in the list yet
    for state in [
        EngineState::Draining,
        EngineState::Removed,
        EngineState::Ready,
    ] {
        gateway.patch_list(Engine { state, ..engine(0) });
        gateway.patch_list(Engine {
            state,
            started: Some(gateway.now),
            ..engine(7)
        });
    }
    gateway.handle(Event::EngineList {
        scope: ListScope::Snapshot,
        engines: vec![engine(0), engine(1), engine(7)],
    });
    assert_eq!(counts(&gateway), (3, 2));
    for id in 1..20 {
        assert!(matches!(
            sent_to(&gateway.arrive(query(id, 100 * MS)), id),
            Some(1) | None
        ));
    }
    set_cordon(&mut gateway, 0, false);
    assert_eq!(counts(&gateway), (3, 1));
    assert_eq!(sent_to(&gateway.arrive(query(20, 100 * MS)), 20), Some(0));
}

/// Guards against a trial of an engine that is both ejected and cordoned. The query is queued
/// after its first attempt, and must not be sent as a trial.
#[test]
fn no_trial_goes_to_a_cordoned_engine() {
    let mut gateway = TestGateway::new(settings(vec![class(10 * S)], 8.0), vec![engine(0)]);
    gateway.arrive(query(1, 100 * MS));
    set_cordon(&mut gateway, 0, true);
    gateway.end_attempt(1, 0, 0, Outcome::ConnectionRefused);
    assert_eq!(
        counts(&gateway),
        (1, 1),
        "an engine that is cordoned and ejected should be counted once"
    );
    for step in 1..40 {
        assert!(sent_to(&gateway.advance_to(S + step * 200 * MS), 1).is_none());
    }
}

/// An uncordoned engine warms up and is tried at once, even if the list reports no new start time
/// and the last health check failed. The next query goes to the engine, although others have more
/// free threads. After its first answer it is chosen like any other engine.
#[test]
fn an_uncordoned_engine_warms_up_and_is_tried_at_once() {
    let mut config = settings(vec![class(10 * S)], 8.0);
    (config.slow_start_initial_fraction, config.slow_start_window) = (Some(0.25), Some(10 * S));
    (config.collapse_load_multiple, config.collapse_window) = (Some(2.0), Some(S));
    let mut gateway = TestGateway::new(config, vec![engine(0), engine(1), engine(2)]);
    gateway.arrive(query(1, 100 * MS));
    set_cordon(&mut gateway, 0, true);
    gateway.handle(Event::HealthChecked {
        engine: 0,
        passed: false,
        load: Default::default(),
    });
    gateway.now = 20 * S;
    set_cordon(&mut gateway, 0, false);
    assert_eq!(counts(&gateway), (3, 0));
    let first = sent_to(&gateway.arrive(query(2, 100 * MS)), 2);
    assert_eq!(first, Some(0));
    assert_ne!(
        sent_to(&gateway.arrive(query(3, 100 * MS)), 3),
        Some(0),
        "the engine gets one query at a time until it has answered"
    );
    gateway.end_attempt(2, 0, 0, Outcome::Completed);
    assert_ne!(
        sent_to(&gateway.arrive(query(4, 100 * MS)), 4),
        Some(0),
        "the engine that warms up has the fewest free threads"
    );
    // With all other engines cordoned, the warming engine gets no more than its share per window.
    (1..=2).for_each(|target| set_cordon(&mut gateway, target, true));
    let work = (10..200).filter(|id| {
        let sent = sent_to(&gateway.arrive(query(*id, 100 * MS)), *id).is_some();
        gateway.end_attempt(*id, 0, 0, Outcome::Completed);
        sent
    });
    let work = work.count();
    assert!(
        (1..=20).contains(&work),
        "{work} queries of 0.1 s against 2 x 8 cores x 0.25 x 1 s / 2"
    );
}
