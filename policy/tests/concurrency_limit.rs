//! Tests of the thread limit of a gateway: its fair share among many gateways, how it grows and
//! how it shrinks.

mod common;

use std::collections::VecDeque;

use common::*;
use violetgate_policy::interface::{Class, NewQuery, Outcome, Progress};
use violetgate_policy::{Action, Event, Settings};

fn fleet_settings(gateways: u32, classes: Vec<Class>) -> Settings {
    Settings {
        gateways: Some(gateways),
        ..settings(classes, 8.0)
    }
}

/// A gateway may send one query to an engine even if its share is less than a thread. Guards
/// against many gateways that all do so and together exceed the capacity of the engines.
#[test]
fn all_gateways_together_stay_within_the_capacity_of_engines() {
    let mut gateway = TestGateway::new(
        fleet_settings(200, vec![class(10 * S)]),
        (0..50).map(engine).collect(),
    );
    // 2 x 8 cores x 50 engines / 200 gateways: this gateway's fair share is four threads.
    let in_flight = (1..=40)
        .filter(|id| sent_to(&gateway.arrive(query(*id, S)), *id).is_some())
        .count();
    assert_eq!(in_flight, 4);
}

/// The limit of a busy gateway grows beyond its fair share while answers take about as long as on
/// an unloaded engine, and shrinks again when they take longer.
#[test]
fn the_limit_of_a_busy_gateway_grows_and_shrinks_with_the_speed_of_answers() {
    let mut gateway = TestGateway::new(
        fleet_settings(200, vec![class(10 * S)]),
        (0..50).map(engine).collect(),
    );
    let (mut id, mut in_flight) = (0, VecDeque::new());
    let mut keep_full = |gateway: &mut TestGateway, elapsed, rounds| {
        for _ in 0..rounds {
            loop {
                id += 1;
                let Some(target) = sent_to(&gateway.arrive(query(id, S)), id) else {
                    break;
                };
                in_flight.push_back((id, target));
            }
            gateway.handle(Event::ClientDisconnected { query: id });
            gateway.now += 50 * MS;
            let (first, target) = in_flight
                .pop_front()
                .expect("at least one attempt should be in flight");
            let freed = gateway.end_attempt_after(first, 0, target, Outcome::Completed, elapsed);
            in_flight.extend(freed.iter().filter_map(|a| match a {
                Action::Send { query, engine, .. } => Some((*query, *engine)),
                _ => None,
            }));
        }
        in_flight.len()
    };
    let grown = keep_full(&mut gateway, S, 200);
    assert!(grown > 10, "grown to {grown}");
    let shrunk = keep_full(&mut gateway, 5 * S, 2_000);
    assert!(shrunk <= grown / 2, "shrunk from {grown} to {shrunk}");
}

/// NaN cannot arrive over the wire, but a caller of the library can pass it.
#[test]
fn a_progress_fraction_that_is_not_a_number_does_not_stop_growth() {
    let mut config = settings(vec![class(10 * S)], 8.0);
    config.gateways = Some(4);
    let mut gateway = TestGateway::new(config, vec![engine(0)]);
    let mut in_flight = VecDeque::new();
    for id in 1..=200 {
        let actions = gateway.arrive(query(id, 100 * MS));
        if sent_to(&actions, id).is_some() {
            in_flight.push_back(id);
        } else {
            gateway.handle(Event::ClientDisconnected { query: id });
            gateway.now += 10 * MS;
            let first = in_flight
                .pop_front()
                .expect("at least one attempt should be in flight");
            if id < 10 {
                gateway.report_progress(first, 0, Progress::FractionDone(f64::NAN));
            }
            gateway.end_attempt(first, 0, 0, Outcome::Completed);
        }
    }
    assert!(
        in_flight.len() > 6,
        "the fair share is four threads, {} attempts are in flight",
        in_flight.len()
    );
}

#[test]
fn one_query_of_each_class_fits_beside_one_of_many_threads() {
    let four_threads = Class {
        threads: Some(4.0),
        ..class(10 * S)
    };
    let mut config = settings(vec![class(10 * S), four_threads], 8.0);
    config.gateways = Some(11);
    let mut gateway = TestGateway::new(config, vec![engine(0)]);
    assert!(sent_to(
        &gateway.arrive(NewQuery {
            class: 1,
            ..query(1, 4 * S)
        }),
        1
    )
    .is_some());
    assert!(
        sent_to(&gateway.arrive(query(2, 100 * MS)), 2).is_some(),
        "one query of each class should be sent"
    );
    assert!(
        sent_to(&gateway.arrive(query(3, 100 * MS)), 3).is_none(),
        "the thread limit is reached"
    );
    assert!(sent_to(
        &gateway.arrive(NewQuery {
            class: 1,
            ..query(4, 4 * S)
        }),
        4
    )
    .is_none());
}

/// The engine's speed is derived from estimates of work. If queries take less work than estimated,
/// an overloaded engine looks fast, but its answers are late.
#[test]
fn limits_do_not_grow_while_answers_come_late() {
    let in_flight_with_objective = |objective| {
        let mut config = settings(
            vec![Class {
                latency_objective: Some(objective),
                ..class(10 * S)
            }],
            8.0,
        );
        config.gateways = Some(4);
        let mut gateway = TestGateway::new(config, vec![engine(0)]);
        let mut in_flight = VecDeque::new();
        let mut id = 0;
        for _ in 0..200 {
            // The engine is kept full. Each answer takes 1 s, which equals its estimate, so the
            // engine looks unloaded.
            while in_flight.len() < 30 {
                id += 1;
                if sent_to(&gateway.arrive(query(id, S)), id).is_none() {
                    gateway.handle(Event::ClientDisconnected { query: id });
                    break;
                }
                in_flight.push_back(id);
            }
            gateway.now += S;
            let first = in_flight
                .pop_front()
                .expect("at least one attempt should be in flight");
            gateway.end_attempt_after(first, 0, 0, Outcome::Completed, S);
            for id in in_flight.clone() {
                gateway.report_progress(id, 0, Progress::FractionDone(0.9));
                gateway.now += MS;
            }
        }
        in_flight.len()
    };
    let (in_time, late) = (
        in_flight_with_objective(10 * S),
        in_flight_with_objective(S / 2),
    );
    assert!(
        in_time > late,
        "attempts in flight: {in_time} if answers are in time, {late} if they are late"
    );
}
