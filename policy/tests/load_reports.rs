//! Tests of how load reports change the thread limits of a gateway.

mod common;

use std::collections::VecDeque;

use common::*;
use violetgate_policy::interface::{AttemptEnded, Class, Cost, LoadReport, Outcome};
use violetgate_policy::{Action, Event, Settings};

/// Returns the mean number of threads that one gateway of many uses over 60 s. Queries of four
/// threads are always queued and each takes 2 s. `busy` is the disk utilisation in load reports.
fn mean_threads(busy: f64) -> f64 {
    let four_threads = Class {
        threads: Some(4.0),
        ..class(10 * S)
    };
    let mut config = Settings {
        gateways: Some(160),
        reports_utilisation: true,
        ..settings(vec![four_threads], 8.0)
    };
    config.progress_period = None;
    let mut gateway = TestGateway::new(config, (0..20).map(engine).collect());
    let mut in_flight = VecDeque::new();
    let (mut id, mut mean_threads_in_use) = (0, 0.0);
    for step in 0..600 {
        gateway.now = S + step * 100 * MS;
        id += 1;
        let mut actions = gateway.arrive(query(id, 8 * S));
        if in_flight
            .front()
            .is_some_and(|(_, _, at)| gateway.now >= at + 2 * S)
        {
            let (query, engine, _) = in_flight
                .pop_front()
                .expect("at least one attempt should be in flight");
            let mut more = Vec::new();
            let end = AttemptEnded {
                query,
                attempt: 0,
                engine,
                outcome: Outcome::Completed,
                query_answered: true,
                elapsed: 2 * S,
                cost: Some(Cost {
                    work: 8 * S,
                    memory_mb: 0.0,
                }),
                load: LoadReport {
                    cpu_utilisation: Some(0.3),
                    disk_utilisation: Some(busy),
                    ..LoadReport::default()
                },
            };
            gateway
                .inner
                .handle(gateway.now, &[Event::AttemptEnded(end)], &mut more);
            actions.extend(more);
        }
        in_flight.extend(actions.iter().filter_map(|a| match a {
            Action::Send { query, engine, .. } => Some((*query, *engine, gateway.now)),
            _ => None,
        }));
        mean_threads_in_use += 4.0 * in_flight.len() as f64 / 600.0;
    }
    mean_threads_in_use
}

/// One query of each class may be sent even if it exceeds the gateway's share. Guards against doing
/// so all the time while engines report that they are busy.
#[test]
fn threads_stay_within_the_fair_share_on_average_while_disks_are_busy() {
    // 2 x 8 cores x 20 engines / 160 gateways: this gateway's fair share is two threads.
    let (while_busy, idle) = (mean_threads(0.95), mean_threads(0.3));
    assert!(
        (0.5..=2.6).contains(&while_busy),
        "{while_busy} threads while disks are busy"
    );
    assert!(idle > 3.5, "{idle} threads while disks are idle");
}

/// Guards against a report with a counter in place of a fraction, NaN or a negative number that
/// affects the average for good.
#[test]
fn one_report_out_of_range_does_not_stop_growth() {
    let grown = |first: f64| {
        let mut config = Settings {
            reports_utilisation: true,
            ..settings(vec![class(10 * S)], 8.0)
        };
        (config.gateways, config.progress_period) = (Some(160), None);
        let mut gateway = TestGateway::new(config, (0..20).map(engine).collect());
        let health_check = |u| Event::HealthChecked {
            engine: 0,
            passed: true,
            load: LoadReport {
                cpu_utilisation: Some(u),
                ..LoadReport::default()
            },
        };
        gateway.handle(health_check(first));
        let (mut id, mut in_flight) = (0, VecDeque::new());
        for _ in 0..200 {
            gateway.handle(health_check(0.2));
            loop {
                id += 1;
                let Some(target) = sent_to(&gateway.arrive(query(id, S)), id) else {
                    break;
                };
                in_flight.push_back((id, target));
            }
            gateway.handle(Event::ClientDisconnected { query: id });
            gateway.now += 50 * MS;
            let (query, engine) = in_flight
                .pop_front()
                .expect("at least one attempt should be in flight");
            gateway.end_attempt_after(query, 0, engine, Outcome::Completed, S);
        }
        in_flight.len()
    };
    for first in [1e12, f64::NAN, -1.0] {
        assert!(
            grown(first) > 8,
            "{} in flight after a first report of {first}",
            grown(first)
        );
    }
}

#[test]
fn the_limit_of_a_busy_gateway_grows_while_reports_say_idle() {
    let in_flight_with = |busy: f64| {
        let mut config = Settings {
            gateways: Some(160),
            reports_utilisation: true,
            ..settings(vec![class(10 * S)], 8.0)
        };
        config.progress_period = None;
        let mut gateway = TestGateway::new(config, (0..20).map(engine).collect());
        let (mut id, mut in_flight) = (0, VecDeque::new());
        for _ in 0..200 {
            loop {
                id += 1;
                let Some(target) = sent_to(&gateway.arrive(query(id, S)), id) else {
                    break;
                };
                in_flight.push_back((id, target));
            }
            gateway.handle(Event::ClientDisconnected { query: id });
            gateway.now += 50 * MS;
            let (query, engine) = in_flight
                .pop_front()
                .expect("at least one attempt should be in flight");
            // Each query takes 1.65 s for 1 s of work, as if it spilled: 0.6 of its unloaded speed.
            let end = AttemptEnded {
                query,
                attempt: 0,
                engine,
                outcome: Outcome::Completed,
                query_answered: true,
                elapsed: 1_650 * MS,
                cost: Some(Cost {
                    work: S,
                    memory_mb: 0.0,
                }),
                load: LoadReport {
                    cpu_utilisation: Some(busy),
                    ..LoadReport::default()
                },
            };
            gateway.handle(Event::AttemptEnded(end));
        }
        in_flight.len()
    };
    let (idle, busy) = (in_flight_with(0.3), in_flight_with(0.9));
    assert!(
        idle > 8 && busy <= 2,
        "{idle} in flight while reports say idle, {busy} while they say busy"
    );
}
