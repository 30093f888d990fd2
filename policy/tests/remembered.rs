//! Tests that what is remembered after queries have ended stays bounded.

mod common;

use common::*;
use violetgate_policy::interface::{QueryId, RetryBudget};

const MANY: QueryId = 200_000;

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
