//! Tests of unusual input, of stalls, and that equal seeds give equal actions.

mod common;

use std::collections::BTreeSet;

use common::*;
use violetgate_policy::interface::{AttemptEnded, ListScope, NewQuery, Outcome, Progress};
use violetgate_policy::{Event, Gateway};

#[test]
fn the_same_events_and_seed_give_the_same_actions() {
    let play = |seed| {
        let mut g = Gateway::new(settings(vec![class(S)], 2.0), seed);
        let mut out = Vec::new();
        let list = Event::EngineList {
            scope: ListScope::Snapshot,
            engines: (0..5).map(engine).collect(),
        };
        g.handle(S, &[list], &mut out);
        for id in 1..200 {
            g.handle(
                S + id * MS,
                &[Event::QueryArrived(query(id, 300 * MS))],
                &mut out,
            );
        }
        out
    };
    assert_eq!(play(1), play(1));
    assert_ne!(
        play(1),
        play(2),
        "another seed should give other random choices"
    );
}

#[test]
fn odd_but_legal_input_is_handled() {
    let mut config = settings(vec![], 0.0);
    config.gateways = Some(0);
    config.progress_period = None;
    let mut gateway = TestGateway::new(config, vec![]);
    let odd = NewQuery {
        id: 1,
        class: 99,
        estimated_work: Some(0),
        client_timeout: 0,
        ..NewQuery::default()
    };
    let actions = gateway.arrive(odd);
    assert!(
        is_rejected(&actions, 1),
        "the query has no time left: {actions:?}"
    );
    gateway.end_attempt(77, 3, 9, Outcome::Completed);
    gateway.report_progress(77, 0, Progress::FractionDone(f64::NAN));
    gateway.patch_list(engine(3));
    assert_eq!(sent_to(&gateway.arrive(query(2, u64::MAX / 4)), 2), Some(3));
    gateway.handle(Event::EngineList {
        scope: ListScope::Snapshot,
        engines: vec![],
    });
    assert!(!is_rejected(
        &gateway.end_attempt(2, 0, 3, Outcome::Completed),
        2
    ));
}

/// After a stall the gateway gets the events of several seconds in one batch. In that batch it
/// rejects the queries that have no time left and sends the others. The engines answered in time,
/// so none is ejected.
#[test]
fn a_batch_after_a_stall_is_answered_at_once_and_blames_no_engine() {
    let mut gateway = TestGateway::new(
        settings(vec![class(10 * S)], 8.0),
        vec![engine(0), engine(1)],
    );
    let targets: Vec<_> = (1..=4)
        .map(|id| sent_to(&gateway.arrive(query(id, 100 * MS)), id).expect("query was not sent"))
        .collect();
    gateway.now += 5 * S;
    let mut events: Vec<_> = (10..30)
        .map(|id| {
            Event::QueryArrived(NewQuery {
                client_timeout: (id % 2) * 5 * S,
                ..query(id, 100 * MS)
            })
        })
        .collect();
    events.extend((1..=4).zip(&targets).map(|(query, engine)| {
        Event::AttemptEnded(AttemptEnded {
            query,
            attempt: 0,
            engine: *engine,
            outcome: Outcome::Completed,
            query_answered: true,
            elapsed: 100 * MS,
            cost: None,
            load: Default::default(),
        })
    }));
    let mut actions = Vec::new();
    gateway.inner.handle(gateway.now, &events, &mut actions);
    for id in 10..30 {
        assert_eq!(is_rejected(&actions, id), id % 2 == 0, "query {id}");
        assert_eq!(sent_to(&actions, id).is_some(), id % 2 == 1, "query {id}");
    }
    let engines: BTreeSet<_> = (10..30).filter_map(|id| sent_to(&actions, id)).collect();
    assert_eq!(engines.len(), 2, "both engines should still be used");
}
