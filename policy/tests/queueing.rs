//! The order of queued queries: across classes, and within an ordering key.

mod common;

use common::*;
use violetgate_policy::interface::{AttemptEnded, Class, Idempotency, NewQuery, Outcome};
use violetgate_policy::{Action, Event};

#[test]
fn the_oldest_head_of_all_queues_goes_first() {
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

/// No event reports the end of the hold.
#[test]
fn a_query_whose_key_is_held_is_sent_when_the_hold_ends() {
    let effect = Idempotency::Deduplicated;
    let keyed = Class {
        ordered_by_key: true,
        idempotency: effect,
        dedup_window: Some(12 * S),
        ..class(10 * S)
    };
    let mut s = settings(vec![keyed], 8.0);
    s.key_release_delay = Some(300 * MS);
    let mut b = Bench::new(s, vec![engine(0), engine(1)]);
    let load = |id| NewQuery {
        ordering_key: Some(5),
        ..query(id, 500 * MS)
    };
    let at = sent(&b.ask(load(1)), 1).expect("sent at once");
    assert!(cancelled(
        &b.event(Event::ClientDisconnected { query: 1 }),
        1
    ));
    b.event(Event::AttemptEnded(AttemptEnded {
        query: 1,
        attempt: 0,
        engine: at,
        outcome: Outcome::Cancelled,
        query_answered: true,
        elapsed: 100 * MS,
        cost: None,
        load: Default::default(),
    }));
    b.now += 100 * MS;
    assert!(sent(&b.ask(load(2)), 2).is_none(), "the key rests");
    assert!(sent(&b.at(S + 299 * MS), 2).is_none(), "and still does");
    assert!(sent(&b.at(S + 300 * MS), 2).is_some(), "its rest is over");
}
