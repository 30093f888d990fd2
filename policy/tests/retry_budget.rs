//! Tests of queries that wait for the retry budget and of those queued behind them.

mod common;

use std::collections::{BTreeMap, VecDeque};

use common::*;
use violetgate_policy::interface::{EngineId, Outcome, QueryId, RetryBudget};
use violetgate_policy::Action;

/// A gateway with two threads whose budget allows one retry in 5 s. Query 1 has used it and waits
/// to be sent a third time.
fn gateway_with_spent_budget() -> TestGateway {
    let mut config = settings(vec![class(10 * S)], 1.0);
    config.retry_budget = Some(RetryBudget {
        min_retries: 1.0,
        retry_ratio: 0.0,
        window: 5 * S,
    });
    let mut gateway = TestGateway::new(config, vec![engine(0)]);
    assert_eq!(sent_to(&gateway.arrive(query(1, 100 * MS)), 1), Some(0));
    assert_eq!(
        sent_to(&gateway.end_attempt(1, 0, 0, Outcome::NeverSent), 1),
        Some(0),
        "the budget should allow one retry"
    );
    assert_eq!(
        sent_to(&gateway.end_attempt(1, 1, 0, Outcome::NeverSent), 1),
        None,
        "the budget should allow no second retry"
    );
    gateway
}

fn arrive_short_query(gateway: &mut TestGateway, id: QueryId) -> Vec<Action> {
    gateway.arrive(query(id, 100 * MS))
}

#[test]
fn a_query_without_retry_budget_does_not_block_first_attempts() {
    let mut gateway = gateway_with_spent_budget();
    for id in 2..=3 {
        assert_eq!(
            sent_to(&arrive_short_query(&mut gateway, id), id),
            Some(0),
            "query {id}: the engine has a free thread"
        );
    }
    // Both threads are in use. The next two queries wait, and each is sent when one before it
    // completes.
    for id in 4..=5 {
        assert_eq!(sent_to(&arrive_short_query(&mut gateway, id), id), None);
        assert_eq!(
            sent_to(&gateway.end_attempt(id - 2, 0, 0, Outcome::Completed), id),
            Some(0),
            "query {id}"
        );
    }
}

#[test]
fn the_oldest_retry_comes_first_once_there_is_budget() {
    let mut gateway = gateway_with_spent_budget();
    arrive_short_query(&mut gateway, 2);
    arrive_short_query(&mut gateway, 3);
    assert_eq!(sent_to(&arrive_short_query(&mut gateway, 4), 4), None);
    gateway.now += 6 * S;
    let actions = gateway.end_attempt(2, 0, 0, Outcome::Completed);
    assert_eq!(
        (sent_to(&actions, 1), sent_to(&actions, 4)),
        (Some(0), None),
        "query 1 is the oldest"
    );
}

/// The attempts in flight: the number of attempts of each query, and their engines, oldest first.
#[derive(Default)]
struct InFlight {
    attempts: BTreeMap<QueryId, u32>,
    out: VecDeque<(QueryId, EngineId)>,
}

impl InFlight {
    fn record_sends(&mut self, actions: &[Action]) {
        for action in actions {
            if let Action::Send { query, engine, .. } = action {
                *self.attempts.entry(*query).or_default() += 1;
                self.out.push_back((*query, *engine));
            }
        }
    }

    fn end_oldest(&mut self, gateway: &mut TestGateway, outcome: Outcome) -> bool {
        let Some((id, engine)) = self.out.pop_front() else {
            return false;
        };
        let actions = gateway.end_attempt_after(id, self.attempts[&id] - 1, engine, outcome, MS);
        self.record_sends(&actions);
        true
    }
}

/// In the closed loop each completed query is followed by a new one.
#[test]
fn a_closed_loop_goes_on_while_some_of_its_queries_wait_for_budget() {
    let mut config = settings(vec![class(10 * S)], 8.0);
    config.retry_budget = Some(RetryBudget {
        min_retries: 3.0,
        retry_ratio: 0.1,
        window: 5 * S,
    });
    let mut gateway = TestGateway::new(config, (0..4).map(engine).collect());
    let mut out = InFlight::default();
    for id in 1..=100 {
        out.record_sends(&arrive_short_query(&mut gateway, id));
    }
    // No first attempt reaches its engine. These are more queries than the budget allows to retry.
    for _ in 0..out.out.len() {
        out.end_oldest(&mut gateway, Outcome::NeverSent);
    }
    let mut answered = 0;
    while answered < 1000 && out.end_oldest(&mut gateway, Outcome::Completed) {
        answered += 1;
        gateway.now += MS;
        out.record_sends(&arrive_short_query(&mut gateway, 100 + answered));
    }
    assert_eq!(
        answered, 1000,
        "no attempt is in flight although the engines are free"
    );
}
