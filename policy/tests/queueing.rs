//! Tests of the order of queued queries across classes and within an ordering key.

mod common;

use common::*;
use violetgate_policy::interface::{AttemptEnded, Class, Idempotency, NewQuery, Outcome};
use violetgate_policy::{Action, Event};

#[test]
fn the_oldest_head_of_all_queues_goes_first() {
    let mut gateway = TestGateway::new(
        settings(vec![class(10 * S), class(10 * S)], 1.0),
        vec![engine(0)],
    );
    gateway.arrive(query(1, S));
    gateway.arrive(NewQuery {
        class: 1,
        ..query(2, S)
    });
    gateway.arrive(NewQuery {
        class: 1,
        ..query(3, S)
    });
    gateway.arrive(query(4, S));
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
        sends(&gateway.end_attempt(1, 0, 0, Outcome::Completed)),
        [3, 4],
        "the older query should be sent first, whatever its class"
    );
}

#[test]
fn a_head_that_does_not_fit_lets_another_class_pass() {
    let two_threads = Class {
        threads: Some(2.0),
        ..class(10 * S)
    };
    let mut gateway = TestGateway::new(
        settings(vec![two_threads, class(10 * S)], 1.0),
        vec![engine(0)],
    );
    gateway.arrive(query(1, S));
    assert_eq!(
        sent_to(
            &gateway.arrive(NewQuery {
                class: 1,
                ..query(2, S)
            }),
            2
        ),
        Some(0)
    );
    gateway.arrive(NewQuery {
        class: 1,
        ..query(3, S)
    });
    gateway.arrive(query(4, S));
    gateway.arrive(NewQuery {
        class: 1,
        ..query(5, S)
    });
    // Query 1 still uses both threads. Query 3 is sent nevertheless, since no other query of its
    // class runs. Query 4 needs two threads and does not fit. Query 3 does not pass it, since query
    // 3 is older.
    let actions = gateway.end_attempt(2, 0, 0, Outcome::Completed);
    assert_eq!(
        (sent_to(&actions, 3), sent_to(&actions, 4)),
        (Some(0), None)
    );
    // Query 3 still uses one thread. Query 4 needs two and is sent, since no other query of its
    // class runs. Query 5 is not sent.
    let actions = gateway.end_attempt(1, 0, 0, Outcome::Completed);
    assert_eq!(
        (sent_to(&actions, 4), sent_to(&actions, 5)),
        (Some(0), None)
    );
}

/// No event reports the end of the hold. Guards against a query that waits until the next event.
#[test]
fn a_query_whose_key_is_held_is_sent_when_the_hold_ends() {
    let deduplicated = Idempotency::Deduplicated;
    let ordered = Class {
        ordered_by_key: true,
        idempotency: deduplicated,
        dedup_window: Some(12 * S),
        ..class(10 * S)
    };
    let mut config = settings(vec![ordered], 8.0);
    config.key_release_delay = Some(300 * MS);
    let mut gateway = TestGateway::new(config, vec![engine(0), engine(1)]);
    let with_key = |id| NewQuery {
        ordering_key: Some(5),
        ..query(id, 500 * MS)
    };
    let at = sent_to(&gateway.arrive(with_key(1)), 1).expect("query was not sent");
    assert!(is_cancelled(
        &gateway.handle(Event::ClientDisconnected { query: 1 }),
        1
    ));
    gateway.handle(Event::AttemptEnded(AttemptEnded {
        query: 1,
        attempt: 0,
        engine: at,
        outcome: Outcome::Cancelled,
        query_answered: true,
        elapsed: 100 * MS,
        cost: None,
        load: Default::default(),
    }));
    gateway.now += 100 * MS;
    assert!(
        sent_to(&gateway.arrive(with_key(2)), 2).is_none(),
        "the key is held"
    );
    assert!(
        sent_to(&gateway.advance_to(S + 299 * MS), 2).is_none(),
        "the key is still held"
    );
    assert!(
        sent_to(&gateway.advance_to(S + 300 * MS), 2).is_some(),
        "the hold has ended"
    );
}
