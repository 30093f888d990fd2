//! Tests of the hard rules, which hold whatever else is decided. Each test checks that the
//! forbidden send or answer does not happen and that the allowed one does.

mod common;

use common::*;
use violetgate_policy::interface::{
    Class, DedupGroup, Engine, EngineState, Idempotency, NewQuery, Outcome, RetryBudget,
};
use violetgate_policy::{Action, Event};

const NEVER_RAN: [Outcome; 3] = [
    Outcome::Overloaded,
    Outcome::ConnectionRefused,
    Outcome::NeverSent,
];

const MAY_HAVE_RUN: [Outcome; 4] = [
    Outcome::Error,
    Outcome::TimedOut,
    Outcome::ConnectionLost,
    Outcome::Cancelled,
];

fn draining(id: u32) -> Engine {
    Engine {
        state: EngineState::Draining,
        ..engine(id)
    }
}

#[test]
fn a_queued_query_is_answered_once_and_before_its_deadline() {
    let mut gateway = TestGateway::new(settings(vec![class(10 * S)], 8.0), vec![draining(0)]);
    let mut answers = 0;
    let mut first = 0;
    for step in 0..300 {
        gateway.now = S + step * 50 * MS;
        let actions = if step == 0 {
            gateway.arrive(query(1, 100 * MS))
        } else {
            gateway.handle(Event::TimerFired)
        };
        assert_eq!(sent_to(&actions, 1), None);
        if is_rejected(&actions, 1) || is_failed(&actions, 1) {
            answers += 1;
            first = gateway.now;
        }
    }
    assert_eq!(answers, 1);
    assert!(first <= 11 * S, "answered at {first}");
}

#[test]
fn nothing_is_sent_after_the_client_has_disconnected() {
    let mut gateway = TestGateway::new(
        settings(vec![class(10 * S)], 8.0),
        vec![engine(0), engine(1)],
    );
    let target = sent_to(&gateway.arrive(query(1, 100 * MS)), 1).expect("query was not sent");
    let actions = gateway.handle(Event::ClientDisconnected { query: 1 });
    assert!(is_cancelled(&actions, 1) && !is_rejected(&actions, 1) && !is_failed(&actions, 1));
    assert_eq!(
        sent_to(&gateway.end_attempt(1, 0, target, Outcome::Error), 1),
        None
    );
}

#[test]
fn an_attempt_that_times_out_at_the_deadline_is_answered_at_once() {
    let mut gateway = TestGateway::new(settings(vec![class(10 * S)], 8.0), vec![engine(0)]);
    gateway.arrive(query(1, 100 * MS));
    gateway.now = 11 * S;
    let actions = gateway.end_attempt(1, 0, 0, Outcome::TimedOut);
    assert!(is_rejected(&actions, 1));
}

#[test]
fn an_at_most_once_query_is_retried_only_if_it_never_ran() {
    for outcome in NEVER_RAN {
        let mut gateway = TestGateway::new(
            settings(vec![with_idempotency(Idempotency::AtMostOnce)], 8.0),
            vec![engine(0), engine(1)],
        );
        let target = sent_to(&gateway.arrive(query(1, 100 * MS)), 1).expect("query was not sent");
        let again = sent_to(&gateway.end_attempt(1, 0, target, outcome), 1);
        assert_eq!(again, Some(1 - target), "{outcome:?}");
    }
    for outcome in MAY_HAVE_RUN {
        let mut gateway = TestGateway::new(
            settings(vec![with_idempotency(Idempotency::AtMostOnce)], 8.0),
            vec![engine(0), engine(1)],
        );
        let target = sent_to(&gateway.arrive(query(1, 100 * MS)), 1).expect("query was not sent");
        let actions = gateway.end_attempt(1, 0, target, outcome);
        assert_eq!(sent_to(&actions, 1), None, "{outcome:?}");
        assert!(
            is_failed(&actions, 1) && !is_rejected(&actions, 1),
            "{outcome:?}"
        );
    }
}

#[test]
fn a_deduplicated_query_is_retried_within_its_group_and_window() {
    let zoned = |id, zone| Engine { zone, ..engine(id) };
    let restricted_class = Class {
        dedup_group: DedupGroup::Zone,
        dedup_window: Some(5 * S),
        ..with_idempotency(Idempotency::Deduplicated)
    };
    for (other_zone, wait, expect) in [(0, S, true), (1, S, false), (0, 6 * S, false)] {
        let mut gateway = TestGateway::new(
            settings(vec![restricted_class.clone()], 8.0),
            vec![zoned(0, 0)],
        );
        assert_eq!(sent_to(&gateway.arrive(query(1, 100 * MS)), 1), Some(0));
        gateway.patch_list(draining(0));
        gateway.patch_list(zoned(1, other_zone));
        gateway.now += wait;
        let actions = gateway.end_attempt(1, 0, 0, Outcome::Error);
        assert_eq!(
            sent_to(&actions, 1).is_some(),
            expect,
            "zone {other_zone}, after {wait}"
        );
        assert!(
            !is_rejected(&actions, 1),
            "a rejection would promise that a retry is harmless"
        );
    }
}

#[test]
fn two_attempts_of_a_query_are_never_in_flight() {
    let mut gateway = TestGateway::new(
        settings(vec![class(10 * S)], 8.0),
        vec![engine(0), engine(1)],
    );
    assert!(sent_to(&gateway.arrive(query(1, 100 * MS)), 1).is_some());
    for step in 1..60 {
        assert_eq!(sent_to(&gateway.advance_to(S + step * 100 * MS), 1), None);
    }
}

#[test]
fn a_draining_or_removed_engine_gets_nothing_new() {
    let mut gateway = TestGateway::new(
        settings(vec![class(10 * S)], 8.0),
        vec![engine(0), engine(1)],
    );
    gateway.patch_list(draining(0));
    for id in 1..6 {
        assert_eq!(sent_to(&gateway.arrive(query(id, 100 * MS)), id), Some(1));
    }
    gateway.handle(Event::EngineList {
        scope: violetgate_policy::interface::ListScope::Snapshot,
        engines: vec![engine(0)],
    });
    assert_eq!(
        sent_to(&gateway.arrive(query(9, 100 * MS)), 9),
        Some(0),
        "engine 0 is ready again and engine 1 is removed"
    );
}

#[test]
fn a_warming_engine_gets_no_more_than_its_share_in_any_window() {
    let mut config = settings(vec![class(10 * S)], 8.0);
    (
        config.gateways,
        config.slow_start_initial_fraction,
        config.slow_start_window,
    ) = (Some(2), Some(0.25), Some(10 * S));
    (config.collapse_load_multiple, config.collapse_window) = (Some(2.0), Some(S));
    let cold = Engine {
        started: Some(S),
        ..engine(0)
    };
    let mut gateway = TestGateway::new(config, vec![cold]);
    let mut work = 0.0;
    for id in 1..100 {
        let actions = gateway.arrive(query(id, 100 * MS));
        if sent_to(&actions, id).is_some() {
            work += 0.1;
            gateway.end_attempt(id, 0, 0, Outcome::Completed);
        }
    }
    // The engine collapses at 2 x 8 cores x 0.25 x 1 s = 4 s of work in the window. This gateway
    // is one of two, so it may send half of that.
    assert!(work > 0.0 && work <= 2.0, "sent {work} s of work");
    gateway.now = S + 11 * S;
    assert_eq!(
        sent_to(&gateway.arrive(query(200, 2 * S)), 200),
        Some(0),
        "the engine has warmed up"
    );
}

#[test]
fn queries_of_one_key_run_in_order_and_wait_while_the_key_is_held() {
    let mut config = settings(
        vec![Class {
            ordered_by_key: true,
            ..class(10 * S)
        }],
        8.0,
    );
    config.key_release_delay = Some(2 * S);
    let mut gateway = TestGateway::new(config, vec![engine(0), engine(1)]);
    let with_key = |id, key| NewQuery {
        ordering_key: Some(key),
        ..query(id, 100 * MS)
    };
    let target = sent_to(&gateway.arrive(with_key(1, 5)), 1)
        .expect("the first query of the key should be sent at once");
    assert_eq!(sent_to(&gateway.arrive(with_key(2, 5)), 2), None);
    assert!(
        sent_to(&gateway.arrive(with_key(3, 6)), 3).is_some(),
        "another key is free"
    );
    assert!(sent_to(&gateway.end_attempt(1, 0, target, Outcome::Completed), 2).is_some());
    // Query 2 is cancelled after its client disconnects, so its key is held for 2 s. Query 4 has
    // the same key and is sent after that. The end of query 2 is reported for both engines, since
    // the test does not know its engine; the gateway ignores the second report.
    gateway.arrive(with_key(4, 5));
    gateway.now += S;
    gateway.handle(Event::ClientDisconnected { query: 2 });
    let actions = gateway.end_attempt(2, 0, 0, Outcome::Cancelled);
    let actions = [actions, gateway.end_attempt(2, 0, 1, Outcome::Cancelled)].concat();
    assert_eq!(sent_to(&actions, 4), None);
    let hold_end = gateway.now + 2 * S;
    assert_eq!(sent_to(&gateway.advance_to(hold_end - MS), 4), None);
    assert!(sent_to(&gateway.advance_to(hold_end + 60 * MS), 4).is_some());
}

#[test]
fn a_class_stays_within_its_allowed_zones_even_when_they_are_down() {
    let restricted_class = Class {
        allowed_zones: Some(vec![1]),
        ..class(10 * S)
    };
    let mut gateway = TestGateway::new(
        settings(vec![restricted_class], 8.0),
        vec![
            engine(0),
            Engine {
                zone: 1,
                ..engine(1)
            },
        ],
    );
    assert_eq!(sent_to(&gateway.arrive(query(1, 100 * MS)), 1), Some(1));
    assert_eq!(
        sent_to(&gateway.end_attempt(1, 0, 1, Outcome::ConnectionRefused), 1),
        None
    );
    gateway.patch_list(Engine {
        zone: 1,
        ..draining(1)
    });
    let mut answered = false;
    for step in 1..200 {
        let actions = gateway.advance_to(S + step * 50 * MS);
        assert_eq!(sent_to(&actions, 1), None);
        answered |= is_rejected(&actions, 1);
    }
    assert!(answered);
}

#[test]
fn retries_stay_within_the_budget_at_its_edge() {
    let mut config = settings(vec![class(10 * S)], 8.0);
    config.retry_budget = Some(RetryBudget {
        min_retries: 1.0,
        retry_ratio: 0.1,
        window: 5 * S,
    });
    let mut gateway = TestGateway::new(config, (0..40).map(engine).collect());
    let mut targets = Vec::new();
    for id in 1..=10 {
        targets
            .push(sent_to(&gateway.arrive(query(id, 100 * MS)), id).expect("query was not sent"));
    }
    let mut retries = 0;
    for (i, target) in targets.iter().enumerate() {
        let actions = gateway.end_attempt(i as u64 + 1, 0, *target, Outcome::Overloaded);
        retries += actions
            .iter()
            .filter(|a| matches!(a, Action::Send { .. }))
            .count();
    }
    assert_eq!(retries, 2, "1 retry plus a tenth of 10 arrivals");
}
