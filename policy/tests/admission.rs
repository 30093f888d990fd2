//! The design's ordinary path on numbers worked by hand.

mod common;

use common::*;
use violetgate_policy::interface::{Class, ListScope, NewQuery, Outcome};
use violetgate_policy::{Action, Event, Gateway};

/// One core, one gateway: two threads. Two queries fill it, each further one of 1 s adds half a second of wait.
fn full() -> Bench {
    let mut b = Bench::new(settings(vec![class(10 * S)], 1.0), vec![engine(0)]);
    for id in 1..=2 {
        assert_eq!(sent(&b.ask(query(id, S)), id), Some(0));
    }
    b
}

#[test]
fn queries_are_held_up_to_t_and_refused_beyond_it() {
    let mut b = full();
    let mut refusals = Vec::new();
    for id in 3..60 {
        let actions = b.ask(query(id, S));
        assert_eq!(sent(&actions, id), None);
        if let Some(Action::Reject { retry_after, .. }) = actions.first() {
            refusals.push((id, *retry_after));
        }
    }
    // T is 10 s less the run of 1 s; a wait of 9 s is 18 held queries. The slope spans some either way.
    let (first, retry_after) = refusals[0];
    assert!((12..=32).contains(&first), "first refused: {first}");
    let held = (first - 3) as f64;
    assert!(
        (retry_after as f64 / 1e6 - held / 2.0).abs() < 0.6,
        "retry after {retry_after} with {held} held"
    );
    assert!(refusals.len() >= 25);
}

#[test]
fn asking_again_at_once_meets_the_same_coin() {
    let mut b = full();
    let mut id = 3;
    while !refused(&b.ask(query(id, S)), id) {
        id += 1;
    }
    for again in 1..50 {
        let id = id + again;
        assert!(refused(
            &b.ask(NewQuery {
                is_client_retry: true,
                ..query(id, S)
            }),
            id
        ));
    }
}

#[test]
fn the_oldest_head_over_all_queues_goes_first() {
    let mut b = Bench::new(
        settings(vec![class(10 * S), class(10 * S)], 1.0),
        vec![engine(0)],
    );
    b.ask(query(1, S));
    b.ask(NewQuery {
        class: 1,
        ..query(2, S)
    });
    b.ask(NewQuery {
        class: 1,
        ..query(3, S)
    });
    b.ask(query(4, S));
    let sends = |actions: &[Action]| -> Vec<u64> {
        actions
            .iter()
            .filter_map(|a| {
                if let Action::Send { query, .. } = a {
                    Some(*query)
                } else {
                    None
                }
            })
            .collect()
    };
    assert_eq!(
        sends(&b.end(1, 0, 0, Outcome::Completed)),
        [3, 4],
        "the older first, whatever its class"
    );
}

#[test]
fn a_head_that_does_not_fit_lets_another_class_pass() {
    let wide = Class {
        threads: Some(2.0),
        ..class(10 * S)
    };
    let mut b = Bench::new(settings(vec![wide, class(10 * S)], 1.0), vec![engine(0)]);
    b.ask(query(1, S));
    assert_eq!(
        sent(
            &b.ask(NewQuery {
                class: 1,
                ..query(2, S)
            }),
            2
        ),
        Some(0)
    );
    b.ask(NewQuery {
        class: 1,
        ..query(3, S)
    });
    b.ask(query(4, S));
    b.ask(NewQuery {
        class: 1,
        ..query(5, S)
    });
    // One wide query runs; another finds two threads too few, the younger narrow one does not.
    let actions = b.end(2, 0, 0, Outcome::Completed);
    assert_eq!((sent(&actions, 3), sent(&actions, 4)), (Some(0), None));
    let actions = b.end(1, 0, 0, Outcome::Completed);
    assert_eq!((sent(&actions, 4), sent(&actions, 5)), (Some(0), None));
}

#[test]
fn the_engine_with_most_free_threads_is_chosen() {
    let mut b = Bench::new(
        settings(vec![class(10 * S)], 8.0),
        vec![engine(0), engine(1), engine(2)],
    );
    let mut at: Vec<_> = (1..=3)
        .map(|id| sent(&b.ask(query(id, S)), id).expect("there is room"))
        .collect();
    at.sort_unstable();
    assert_eq!(at, [0, 1, 2]);
}

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
    assert_ne!(play(1), play(2), "ties and coins come from the seed");
}

#[test]
fn odd_but_legal_input_is_taken_calmly() {
    let mut s = settings(vec![], 0.0);
    s.gateways = Some(0);
    s.progress_period = None;
    let mut b = Bench::new(s, vec![]);
    let odd = NewQuery {
        id: 1,
        class: 99,
        estimated_work: Some(0),
        time_left: 0,
        ..NewQuery::default()
    };
    let actions = b.ask(odd);
    assert!(
        refused(&actions, 1),
        "its time is already over: {actions:?}"
    );
    b.end(77, 3, 9, Outcome::Completed);
    b.note(
        77,
        0,
        violetgate_policy::interface::Progress::FractionDone(f64::NAN),
    );
    b.patch(engine(3));
    assert_eq!(sent(&b.ask(query(2, u64::MAX / 4)), 2), Some(3));
    b.event(Event::EngineList {
        scope: ListScope::Snapshot,
        engines: vec![],
    });
    assert!(!refused(&b.end(2, 0, 3, Outcome::Completed), 2));
}
