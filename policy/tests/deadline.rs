//! Tests that queries are given up before their deadline or objective.

mod common;

use common::*;
use violetgate_policy::interface::{
    Class, DedupGroup, Engine, EngineState, Idempotency, NewQuery, Outcome, Progress,
};
use violetgate_policy::{Event, Settings};

/// A class whose late answers have no weight.
fn zero_late_weight() -> Class {
    Class {
        latency_objective: Some(2 * S),
        late_weight_fraction: Some(0.0),
        ..class(10 * S)
    }
}

fn deduplicated() -> Settings {
    let deduplicated_class = Class {
        idempotency: Idempotency::Deduplicated,
        dedup_group: DedupGroup::All,
        dedup_window: Some(15 * S),
        ..class(25 * S)
    };
    settings(vec![deduplicated_class], 8.0)
}

#[test]
fn a_queued_query_is_answered_by_its_deadline_when_its_expected_run_shrinks() {
    let mut gateway = TestGateway::new(settings(vec![class(10 * S)], 1.0), vec![engine(0)]);
    for id in 1..=2 {
        gateway.arrive(query(id, 9 * S));
    }
    // Query 3 is queued and must be answered by its deadline, also if its expected run becomes
    // shorter before it is given up. A queued query is given up before its deadline by its expected
    // run or by half its client timeout, whichever is shorter. Here half the timeout is shorter.
    // No attempt ends, so the expected run stays 4 s and does not shrink in this test.
    gateway.arrive(NewQuery {
        client_timeout: 2 * S + 3 * MS,
        ..query(3, 4 * S)
    });
    let (mut answered, mut id) = (None, 100);
    for step in 1..2_300 {
        gateway.now = S + step * MS;
        let mut actions = gateway.handle(Event::TimerFired);
        if step % 10 == 0 && id < 130 {
            actions.extend(gateway.arrive(query(id, 9 * S)));
            actions.extend(gateway.handle(Event::ClientDisconnected { query: id }));
            id += 1;
        }
        if is_rejected(&actions, 3) {
            answered.get_or_insert(gateway.now);
        }
    }
    assert!(answered.expect("query 3 should be answered") <= S + 2 * S + 3 * MS);
}

/// The objective counts from the client's first request. Once there is a free thread for every
/// query, a late retry is served.
#[test]
fn a_client_retry_past_its_objective_is_rejected_while_others_wait() {
    let mut gateway = TestGateway::new(settings(vec![zero_late_weight()], 1.0), vec![engine(0)]);
    gateway.now += 60 * S;
    let client_retry = |id, client_timeout| NewQuery {
        is_client_retry: true,
        client_timeout,
        ..query(id, 100 * MS)
    };
    // Two queries run and one is queued.
    let out: Vec<_> = (1..=3)
        .filter(|id| sent_to(&gateway.arrive(query(*id, 100 * MS)), *id).is_some())
        .collect();
    assert_eq!(out, [1, 2]);
    assert!(
        is_rejected(&gateway.arrive(client_retry(10, 7 * S)), 10),
        "its objective passed a second ago"
    );
    assert!(
        !is_rejected(&gateway.arrive(client_retry(11, 9 * S)), 11),
        "its objective is a second away"
    );
    assert!(
        !is_rejected(&gateway.arrive(query(12, 100 * MS)), 12),
        "the objective of a query that is no client retry starts now"
    );
    // Once no query waits and threads are free, a late retry is served at once.
    gateway.handle(Event::ClientDisconnected { query: 3 });
    gateway.handle(Event::ClientDisconnected { query: 11 });
    gateway.handle(Event::ClientDisconnected { query: 12 });
    out.iter().for_each(|id| {
        gateway.end_attempt(*id, 0, 0, Outcome::Completed);
    });
    assert!(sent_to(&gateway.arrive(client_retry(20, 7 * S)), 20).is_some());
}

#[test]
fn an_attempt_that_can_only_be_late_is_given_up_while_others_wait() {
    let given_up_after_half_its_objective = |others_queued: bool, fraction| {
        let mut gateway = TestGateway::new(
            settings(vec![zero_late_weight()], 1.0),
            vec![engine(0), engine(1)],
        );
        let last = if others_queued { 5 } else { 4 };
        (1..=last).for_each(|id| {
            gateway.arrive(query(id, 500 * MS));
        });
        gateway.now += S;
        let actions = gateway.report_progress(1, 0, Progress::FractionDone(fraction));
        assert!(
            is_cancelled(&actions, 1) || !is_rejected(&actions, 1),
            "the attempt of a rejected query should be cancelled"
        );
        is_rejected(&actions, 1)
    };
    assert!(
        given_up_after_half_its_objective(true, 0.1),
        "the run would take 10 s, the objective is 2 s, and other queries are queued"
    );
    assert!(
        !given_up_after_half_its_objective(true, 0.6),
        "the answer will be in time"
    );
    assert!(
        !given_up_after_half_its_objective(false, 0.1),
        "no other query is queued"
    );
}

#[test]
fn a_query_that_waits_for_memory_past_its_objective_is_given_up_while_others_wait() {
    let given_up_at_objective = |others_queued: bool| {
        let mut config = settings(vec![zero_late_weight()], 1.0);
        config.max_attempts = Some(1);
        config.progress_period = Some(10 * S);
        let mut gateway = TestGateway::new(config, vec![engine(0), engine(1)]);
        (1..=if others_queued { 5 } else { 1 }).for_each(|id| {
            gateway.arrive(query(id, 500 * MS));
        });
        gateway.report_progress(1, 0, Progress::WaitingForMemory);
        let mut at = gateway.now;
        while !is_rejected(&gateway.advance_to(at), 1) && at < 9 * S {
            at += 100 * MS;
        }
        at < 4 * S
    };
    assert!(
        given_up_at_objective(true),
        "other queries are queued, so the query should be given up"
    );
    assert!(
        !given_up_at_objective(false),
        "no other query is queued, so the query may wait"
    );
}

/// After the window no engine would discard a duplicate, and the query may have run, so it cannot
/// be sent again. Guards against holding it until its deadline.
#[test]
fn a_deduplicated_query_is_answered_once_its_window_is_over() {
    let mut gateway = TestGateway::new(deduplicated(), vec![engine(0)]);
    let target = sent_to(
        &gateway.arrive(NewQuery {
            client_timeout: 25 * S,
            ..query(1, 2 * S)
        }),
        1,
    )
    .expect("query was not sent");
    gateway.patch_list(Engine {
        state: EngineState::Draining,
        ..engine(0)
    });
    gateway.now += S;
    assert_eq!(
        sent_to(
            &gateway.end_attempt(1, 0, target, Outcome::ConnectionLost),
            1
        ),
        None
    );
    let answered = (2..260)
        .find(|step| is_rejected(&gateway.advance_to(S + step * 100 * MS), 1))
        .expect("the query should be answered")
        * 100
        * MS;
    assert!(
        (14 * S..=15_200 * MS).contains(&answered),
        "the query was answered after {answered} us"
    );
}
