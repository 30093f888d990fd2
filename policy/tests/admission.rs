//! Tests whether arriving queries are sent, queued or rejected, with hand-computed expectations.

mod common;

use common::*;
use violetgate_policy::interface::{Class, Engine, EngineState, NewQuery, Outcome, Progress};
use violetgate_policy::{Action, Event};

/// A gateway whose only engine is full. One core has two threads, which two queries occupy. Each
/// further query of 1 s adds 0.5 s to the predicted wait.
fn full_gateway() -> TestGateway {
    let mut gateway = TestGateway::new(settings(vec![class(10 * S)], 1.0), vec![engine(0)]);
    for id in 1..=2 {
        assert_eq!(sent_to(&gateway.arrive(query(id, S)), id), Some(0));
    }
    gateway
}

/// A class whose late answers have no weight.
fn zero_late_weight() -> Class {
    Class {
        latency_objective: Some(2 * S),
        late_weight_fraction: Some(0.0),
        ..class(10 * S)
    }
}

#[test]
fn queries_are_queued_up_to_the_threshold_and_rejected_beyond_it() {
    let mut gateway = full_gateway();
    let mut rejections = Vec::new();
    for id in 3..60 {
        let actions = gateway.arrive(query(id, S));
        assert_eq!(sent_to(&actions, id), None);
        if let Some(Action::Reject { retry_after, .. }) = actions.first() {
            rejections.push((id, *retry_after));
        }
    }
    // The threshold is the deadline of 10 s minus the run of 1 s. A wait of 9 s takes 18 queued
    // queries. The probability of rejection rises gradually around it, hence the range.
    let (first, retry_after) = rejections[0];
    assert!((12..=32).contains(&first), "first rejected: {first}");
    let queued = (first - 3) as f64;
    assert!(
        (retry_after as f64 / 1e6 - queued / 2.0).abs() < 0.6,
        "retry after {retry_after} with {queued} queued"
    );
    assert!(rejections.len() >= 25);
}

#[test]
fn an_immediate_client_retry_is_rejected_again() {
    let mut gateway = full_gateway();
    let mut id = 3;
    while !is_rejected(&gateway.arrive(query(id, S)), id) {
        id += 1;
    }
    for again in 1..50 {
        let id = id + again;
        assert!(is_rejected(
            &gateway.arrive(NewQuery {
                is_client_retry: true,
                ..query(id, S)
            }),
            id
        ));
    }
}

#[test]
fn draining_engines_do_not_count_in_the_predicted_wait() {
    let draining = |id| Engine {
        state: EngineState::Draining,
        ..engine(id)
    };
    let admitted = |drained: u32| {
        let mut gateway = TestGateway::new(
            settings(vec![class(2 * S)], 1.0),
            (0..6).map(engine).collect(),
        );
        (0..drained).for_each(|id| {
            gateway.patch_list(draining(id));
        });
        (1..200)
            .filter(|id| {
                !is_rejected(
                    &gateway.arrive(NewQuery {
                        client_timeout: 2 * S,
                        ..query(*id, S)
                    }),
                    *id,
                )
            })
            .count()
    };
    let (all, left) = (admitted(0), admitted(3));
    assert!(
        left * 3 < all * 2,
        "admitted {all} with all engines, {left} while half of them drain"
    );
}

/// Engines on which a query waits for memory get no queries for a while. The predicted wait is too
/// short if it counts their threads during that time.
#[test]
fn engines_that_back_off_do_not_count_in_the_predicted_wait() {
    let admitted = |waiting: u64, pause| {
        let mut config = settings(vec![class(2 * S)], 1.0);
        config.max_attempts = Some(1);
        let mut gateway = TestGateway::new(config, (0..6).map(engine).collect());
        (1..=6).for_each(|id| {
            gateway.arrive(NewQuery {
                client_timeout: 9 * S,
                ..query(id, S)
            });
        });
        (1..=waiting).for_each(|id| {
            gateway.report_progress(id, 0, Progress::WaitingForMemory);
        });
        gateway.now += pause;
        (10..200)
            .filter(|id| {
                !is_rejected(
                    &gateway.arrive(NewQuery {
                        client_timeout: 2 * S,
                        ..query(*id, S)
                    }),
                    *id,
                )
            })
            .count()
    };
    let (all, left) = (admitted(0, 0), admitted(4, 0));
    assert!(
        left * 3 < all * 2,
        "admitted {all} with all engines, {left} while four of them back off"
    );
    assert!(
        admitted(4, 1_300 * MS) * 3 > all * 2,
        "the engines should be used again"
    );
}

/// An answer that the gateway handles late, after a stall, is not late if it arrived in time.
/// Guards against rejecting queries of the class because of the gateway's own stall.
#[test]
fn answers_count_as_late_by_when_they_came() {
    let admitted = |elapsed| {
        let mut gateway = TestGateway::new(
            settings(
                vec![Class {
                    latency_objective: Some(S),
                    ..class(10 * S)
                }],
                1.0,
            ),
            vec![engine(0)],
        );
        for id in 1..=20 {
            gateway.arrive(query(id, 500 * MS));
            gateway.now += 3 * S;
            gateway.end_attempt_after(id, 0, 0, Outcome::Completed, elapsed);
            gateway.handle(Event::ClientDisconnected { query: id });
        }
        (100..200)
            .filter(|id| !is_rejected(&gateway.arrive(query(*id, 500 * MS)), *id))
            .count()
    };
    let (came_in_time, came_late) = (admitted(500 * MS), admitted(3 * S));
    assert!(
        came_in_time > 2 * came_late,
        "admitted {came_in_time}, {came_late} if the engine was late"
    );
}

/// Guards against a retry-after that is computed from the short queue alone: no thread becomes
/// free before a running query ends.
#[test]
fn retry_after_is_at_least_a_run_while_engines_are_full() {
    let mut gateway = TestGateway::new(
        settings(vec![zero_late_weight()], 1.0),
        vec![engine(0), engine(1)],
    );
    (1..=5).for_each(|id| {
        gateway.arrive(query(id, 500 * MS));
    });
    gateway.now += S;
    let after = gateway
        .report_progress(1, 0, Progress::FractionDone(0.1))
        .into_iter()
        .find_map(|a| match a {
            Action::Reject {
                query: 1,
                retry_after,
            } => Some(retry_after),
            _ => None,
        });
    assert!(
        after >= Some(400 * MS),
        "retry-after should be about a run, although the one queued query waits less: {after:?}"
    );
}
