//! Engines that operators cordon and uncordon.

mod common;

use common::*;
use violetgate_policy::interface::{Engine, EngineState, ListScope, Outcome};
use violetgate_policy::Event;

fn counts(b: &Bench) -> (usize, usize) {
    let counts = b.gateway.engine_counts();
    (counts.listed, counts.avoided)
}

fn call(b: &mut Bench, engine: u32, out: bool) {
    b.event(Event::Cordon {
        engine,
        cordoned: out,
    });
}

/// Whatever the list says, and however often; one uncordon is enough for two cordons.
#[test]
fn a_cordoned_engine_gets_nothing_until_it_is_uncordoned() {
    let mut b = Bench::new(
        settings(vec![class(10 * S)], 8.0),
        vec![engine(0), engine(1)],
    );
    call(&mut b, 0, true);
    call(&mut b, 0, true);
    call(&mut b, 7, true); // before the list has it
    for state in [EngineState::Draining, EngineState::Gone, EngineState::Ready] {
        b.patch(Engine { state, ..engine(0) });
        b.patch(Engine {
            state,
            started: Some(b.now),
            ..engine(7)
        });
    }
    b.event(Event::EngineList {
        scope: ListScope::Snapshot,
        engines: vec![engine(0), engine(1), engine(7)],
    });
    assert_eq!(counts(&b), (3, 2));
    for id in 1..20 {
        assert!(matches!(
            sent(&b.ask(query(id, 100 * MS)), id),
            Some(1) | None
        ));
    }
    call(&mut b, 0, false);
    assert_eq!(counts(&b), (3, 1));
    assert_eq!(sent(&b.ask(query(20, 100 * MS)), 20), Some(0));
}

/// The trial of an ejected engine is a send like any other, and so is that of a queued query.
#[test]
fn no_trial_goes_to_a_cordoned_engine() {
    let mut b = Bench::new(settings(vec![class(10 * S)], 8.0), vec![engine(0)]);
    b.ask(query(1, 100 * MS));
    call(&mut b, 0, true);
    b.end(1, 0, 0, Outcome::ConnectionRefused);
    assert_eq!(counts(&b), (1, 1), "called out and ejected counts once");
    for step in 1..40 {
        assert!(sent(&b.at(S + step * 200 * MS), 1).is_none());
    }
}

/// Even if the list gives no new start, and whatever its health was. It is tried at once, though
/// others have more free threads; after that it is one of many.
#[test]
fn an_uncordoned_engine_warms_up_and_is_tried_at_once() {
    let mut s = settings(vec![class(10 * S)], 8.0);
    (s.slow_start_initial_fraction, s.slow_start_window) = (Some(0.25), Some(10 * S));
    (s.collapse_load_multiple, s.collapse_window) = (Some(2.0), Some(S));
    let mut b = Bench::new(s, vec![engine(0), engine(1), engine(2)]);
    b.ask(query(1, 100 * MS));
    call(&mut b, 0, true);
    b.event(Event::HealthChecked {
        engine: 0,
        passed: false,
        load: Default::default(),
    });
    b.now = 20 * S;
    call(&mut b, 0, false);
    assert_eq!(counts(&b), (3, 0));
    let first = sent(&b.ask(query(2, 100 * MS)), 2);
    assert_eq!(first, Some(0));
    assert_ne!(
        sent(&b.ask(query(3, 100 * MS)), 3),
        Some(0),
        "one at a time until it has answered"
    );
    b.end(2, 0, 0, Outcome::Completed);
    assert_ne!(
        sent(&b.ask(query(4, 100 * MS)), 4),
        Some(0),
        "it is the least free"
    );
    // With nowhere else to go, no more than its part goes to the cold one in a span.
    (1..=2).for_each(|e| call(&mut b, e, true));
    let work = (10..200).filter(|id| {
        let went = sent(&b.ask(query(*id, 100 * MS)), *id).is_some();
        b.end(*id, 0, 0, Outcome::Completed);
        went
    });
    let work = work.count();
    assert!(
        (1..=20).contains(&work),
        "{work} queries of 0.1 s against 2 x 8 cores x 0.25 x 1 s / 2"
    );
}
