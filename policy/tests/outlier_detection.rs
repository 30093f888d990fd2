//! Tests of which faults eject an engine, which do not, and how an engine returns to use.

mod common;

use std::collections::BTreeSet;

use common::*;
use violetgate_policy::interface::{Class, NewQuery, Outcome, Progress};
use violetgate_policy::{Event, Settings};

/// A deployment without progress reports. Its only class is for queries of 2 s of work on two
/// threads, with a latency objective of 1.5 s plus 2.5 times the run.
fn without_progress_reports() -> Settings {
    let two_thread_class = Class {
        latency_objective: Some(1_500 * MS),
        objective_stretch: Some(2.5),
        threads: Some(2.0),
        late_weight_fraction: Some(0.5),
        ..class(25 * S)
    };
    Settings {
        progress_period: None,
        ..settings(vec![two_thread_class], 8.0)
    }
}

fn two_thread_query(id: u64) -> NewQuery {
    NewQuery {
        client_timeout: 25 * S,
        ..query(id, 2 * S)
    }
}

/// An engine sends a single report when a query waits for memory, and no progress while it waits.
/// Guards against ejecting the engine because it sends no progress afterwards.
#[test]
fn silence_of_a_query_that_waits_for_memory_ejects_no_engine() {
    let mut config = settings(vec![class(10 * S)], 8.0);
    config.max_attempts = Some(1);
    let mut gateway = TestGateway::new(config, (0..4).map(engine).collect());
    let waiting_engine = sent_to(&gateway.arrive(query(1, S)), 1).expect("query was not sent");
    gateway.report_progress(1, 0, Progress::WaitingForMemory);
    for step in 1..=30 {
        let actions = gateway.advance_to(S + step * 100 * MS);
        assert!(
            !is_cancelled(&actions, 1),
            "the attempt is queued at the engine and should not be cancelled"
        );
    }
    let used = (2..20).filter_map(|id| sent_to(&gateway.arrive(query(id, 10 * MS)), id));
    assert!(
        used.filter(|target| *target == waiting_engine).count() > 1,
        "the engine should not be ejected"
    );
}

/// If connections to most engines break, the cause is probably shared, and the engines stay in use.
/// A single failing engine stays ejected.
#[test]
fn ejection_is_ignored_while_most_engines_are_ejected() {
    let engines_used_with = |failing_engines: u32| {
        let mut gateway = TestGateway::new(
            settings(vec![class(10 * S)], 8.0),
            (0..6).map(engine).collect(),
        );
        for id in 1..=30 {
            let target = sent_to(&gateway.arrive(query(id, 100 * MS)), id)
                .expect("an engine should serve the query");
            gateway.now += 10 * MS;
            let outcome = if target < failing_engines {
                Outcome::ConnectionLost
            } else {
                Outcome::Completed
            };
            gateway.end_attempt(id, 0, target, outcome);
            gateway.handle(Event::ClientDisconnected { query: id });
        }
        let used = (100..160).filter_map(|id| sent_to(&gateway.arrive(query(id, 100 * MS)), id));
        used.collect::<BTreeSet<_>>()
    };
    assert!(
        !engines_used_with(1).contains(&0),
        "a single failing engine should stay ejected"
    );
    assert!(
        engines_used_with(5).len() >= 4,
        "ejection should be ignored if most engines fail"
    );
}

#[test]
fn queries_that_fail_on_every_engine_eject_none() {
    let mut gateway = TestGateway::new(
        settings(vec![class(10 * S)], 8.0),
        vec![engine(0), engine(1), engine(2)],
    );
    for id in 1..=30 {
        let first = sent_to(&gateway.arrive(query(id, 100 * MS)), id).expect("query was not sent");
        let second = sent_to(&gateway.end_attempt(id, 0, first, Outcome::Error), id)
            .expect("the query should be retried on another engine");
        assert!(first != second);
        let actions = gateway.end_attempt(id, 1, second, Outcome::Error);
        assert!(
            is_rejected(&actions, id) && sent_to(&actions, id).is_none(),
            "the query should be rejected after its second error"
        );
        gateway.now += 10 * MS;
    }
    let engines_used: BTreeSet<_> = (101..=103)
        .filter_map(|id| sent_to(&gateway.arrive(query(id, 100 * MS)), id))
        .collect();
    assert_eq!(engines_used.len(), 3, "all engines are still in use");
}

#[test]
fn an_engine_that_fails_queries_that_others_serve_is_ejected() {
    let mut gateway = TestGateway::new(
        settings(vec![class(10 * S)], 8.0),
        vec![engine(0), engine(1), engine(2)],
    );
    let mut errors = 0;
    for id in 1..=60 {
        let Some(first) = sent_to(&gateway.arrive(query(id, 100 * MS)), id) else {
            continue;
        };
        gateway.now += 10 * MS;
        if first == 0 {
            errors += 1;
            let second = sent_to(&gateway.end_attempt(id, 0, first, Outcome::Error), id)
                .expect("the query should be retried on another engine");
            gateway.end_attempt(id, 1, second, Outcome::Completed);
        } else {
            gateway.end_attempt(id, 0, first, Outcome::Completed);
        }
    }
    assert!(
        (2..=8).contains(&errors),
        "engine 0 answered {errors} queries with an error"
    );
}

/// Guards against ejecting an engine for all classes when it loses the queries of one of them.
#[test]
fn a_class_avoids_engines_that_lose_its_queries() {
    let mut config = settings(vec![class(10 * S), class(10 * S)], 8.0);
    config.progress_period = None;
    let mut gateway = TestGateway::new(config, (0..4).map(engine).collect());
    let (mut lost, mut others) = (0, 0);
    for id in 1..=200 {
        let class_index = u32::from(id % 2 == 0);
        let actions = gateway.arrive(NewQuery {
            class: class_index,
            ..query(id, 100 * MS)
        });
        let engine = sent_to(&actions, id).expect("query was not sent");
        gateway.now += 50 * MS;
        if class_index == 0 && engine < 2 {
            lost += 1;
            gateway.now += 50 * MS;
            // Meanwhile the engine answers queries of the other class.
            let others = 1_000 * id..1_000 * id + 12;
            let request = |other| {
                let at = sent_to(
                    &gateway.arrive(NewQuery {
                        class: 1,
                        ..query(other, 100 * MS)
                    }),
                    other,
                );
                (other, at.expect("query was not sent"))
            };
            let out: Vec<_> = others.map(request).collect();
            assert!(out.iter().any(|(_, at)| *at == engine));
            gateway.now += 100 * MS;
            out.iter().for_each(|(other, at)| {
                drop(gateway.end_attempt(*other, 0, *at, Outcome::Completed))
            });
            let actions = gateway.advance_to(gateway.now + 2 * S);
            let next = sent_to(&gateway.end_attempt(id, 0, engine, Outcome::Cancelled), id);
            assert!(
                is_cancelled(&actions, id) && next.is_some_and(|target| target != engine),
                "the query should be sent to another engine"
            );
            gateway.handle(Event::ClientDisconnected { query: id });
            gateway.end_attempt(
                id,
                1,
                next.expect("the query should be sent again"),
                Outcome::Cancelled,
            );
        } else {
            others += u32::from(class_index == 1 && engine < 2);
            gateway.end_attempt(id, 0, engine, Outcome::Completed);
        }
    }
    assert!(lost < 25, "{lost} queries of class 0 were lost");
    assert!(
        others > 25,
        "only {others} queries of class 1 were sent to engines 0 and 1"
    );
}

/// One lost connection does not show that an engine is down. An engine that is down also refuses
/// the next connection.
#[test]
fn one_lost_connection_ejects_no_engine() {
    let sent_to_first = |outcome| {
        let mut gateway = TestGateway::new(
            settings(vec![class(10 * S)], 8.0),
            vec![engine(0), engine(1)],
        );
        let first = sent_to(&gateway.arrive(query(1, 100 * MS)), 1).expect("query was not sent");
        gateway.end_attempt(1, 0, first, outcome);
        (2..=9)
            .filter_map(|id| sent_to(&gateway.arrive(query(id, 100 * MS)), id))
            .filter(|target| *target == first)
            .count()
    };
    assert!(sent_to_first(Outcome::ConnectionLost) >= 3);
    assert_eq!(sent_to_first(Outcome::ConnectionRefused), 0);
}

/// A fault may end at any time, and the engine's capacity is unused until the next trial. Guards
/// against intervals that grow without limit. The interval doubles once, from one control period
/// of 1 s to two. The check allows 3 s.
#[test]
fn an_ejected_engine_is_tried_at_least_every_two_periods() {
    let mut gateway = TestGateway::new(
        settings(vec![class(10 * S)], 8.0),
        vec![engine(0), engine(1), engine(2)],
    );
    let mut tried = Vec::new();
    for step in 0..400 {
        gateway.now = S + step * 100 * MS;
        let id = 1 + step;
        let Some(target) = sent_to(&gateway.arrive(query(id, 100 * MS)), id) else {
            continue;
        };
        if target != 0 {
            gateway.end_attempt(id, 0, target, Outcome::Completed);
            continue;
        }
        tried.push(gateway.now);
        let again = sent_to(
            &gateway.end_attempt(id, 0, 0, Outcome::ConnectionRefused),
            id,
        );
        again
            .into_iter()
            .for_each(|target| drop(gateway.end_attempt(id, 1, target, Outcome::Completed)));
    }
    let gaps: Vec<_> = tried.windows(2).map(|w| w[1] - w[0]).collect();
    assert!(
        gaps.len() > 10 && gaps.iter().all(|g| *g <= 3 * S),
        "{gaps:?}"
    );
}

/// A gateway with little traffic and no progress reports learns of a fault only from attempts that
/// are not answered. Guards against ejecting engines for a rate of these that is usual for the
/// class.
#[test]
fn silence_that_is_usual_for_a_class_ejects_no_engine() {
    let mut gateway = TestGateway::new(without_progress_reports(), (0..8).map(engine).collect());
    let mut id = 0;
    let mut request = |gateway: &mut TestGateway, answered: bool| {
        id += 1;
        let target = sent_to(&gateway.arrive(two_thread_query(id)), id)?;
        let step = if answered { S } else { 8 * S };
        gateway.advance_to(gateway.now + step);
        let outcome = if answered {
            Outcome::Completed
        } else {
            Outcome::Cancelled
        };
        gateway.end_attempt_after(id, 0, target, outcome, step);
        gateway.handle(Event::ClientDisconnected { query: id });
        Some(target)
    };
    // One query in six is not answered, on every engine.
    for i in 0..120 {
        request(&mut gateway, i % 6 != 0);
    }
    let mut sends = [0; 8];
    for id in 1_000..1_030 {
        sends[sent_to(&gateway.arrive(two_thread_query(id)), id).expect("query was not sent")
            as usize] += 1;
    }
    let in_use = sends.iter().filter(|n| **n > 1).count();
    assert!(
        in_use >= 7,
        "only {in_use} of 8 engines got more than one query: {sends:?}"
    );
}
