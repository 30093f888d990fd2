//! Tests that what is remembered after queries have ended stays bounded.

mod common;

use common::*;
use violetgate_policy::interface::{Class, NewQuery, Outcome, QueryId, RetryBudget};

const MANY: QueryId = 200_000;
/// How long an ordering key is held after an attempt that may still run.
const KEY_RELEASE_DELAY: u64 = S;

/// Without engines every query is rejected or waits, and none is sent. The history of arrivals was
/// only shortened when one was sent, and grew without end.
#[test]
fn the_history_of_arrivals_is_bounded_while_nothing_is_sent() {
    let mut config = settings(vec![class(10 * S)], 1.0);
    config.retry_budget = Some(RetryBudget {
        min_retries: 3.0,
        retry_ratio: 0.1,
        window: 5 * S,
    });
    let mut gateway = TestGateway::new(config, Vec::new());
    for id in 1..=MANY {
        gateway.now += 100;
        gateway.arrive(query(id, MS));
        gateway.handle(violetgate_policy::Event::ClientDisconnected { query: id });
    }
    let remembered = gateway.inner.remembered_counts().history;
    assert!(
        remembered <= 70_000,
        "{remembered} arrivals are remembered after {} s without a send",
        MANY / 10_000
    );
}

/// A key whose last attempt may still run is held for a while. The record of its order was removed
/// only if another query used the same key later.
#[test]
fn ordering_keys_are_forgotten_once_they_are_released() {
    let mut config = settings(
        vec![Class {
            ordered_by_key: true,
            ..class(10 * S)
        }],
        64.0,
    );
    config.key_release_delay = Some(KEY_RELEASE_DELAY);
    config.max_attempts = Some(1);
    let mut gateway = TestGateway::new(config, vec![engine(0)]);
    for id in 1..=1_000 {
        gateway.now += 10 * MS;
        let ordered = NewQuery {
            ordering_key: Some(id),
            ..query(id, MS)
        };
        assert_eq!(sent_to(&gateway.arrive(ordered), id), Some(0));
        gateway.end_attempt(id, 0, 0, Outcome::TimedOut);
        gateway.handle(violetgate_policy::Event::ClientDisconnected { query: id });
    }
    let remembered = gateway.inner.remembered_counts().ordering_keys;
    assert!(
        remembered <= 110,
        "{remembered} ordering keys are remembered, with 100 new ones in the time of a hold"
    );
    gateway.now += 2 * KEY_RELEASE_DELAY;
    gateway.arrive(query(2_000, MS));
    assert_eq!(gateway.inner.remembered_counts().ordering_keys, 0);
}
