//! Tests of how thread limits and slow start follow the number of gateways.

mod common;

use common::{class, engine, query, sent_to, settings, TestGateway, MS, S};
use violetgate_policy::interface::{Engine, Outcome, Settings};
use violetgate_policy::Event;

fn with_gateways(gateways: u32) -> Settings {
    Settings {
        gateways: Some(gateways),
        ..settings(vec![class(10 * S)], 8.0)
    }
}

/// Sends queries with increasing ids from `first` until one is not sent, and returns how many were.
fn count_sent(gateway: &mut TestGateway, first: u64) -> u64 {
    (first..first + 100)
        .take_while(|id| sent_to(&gateway.arrive(query(*id, S)), *id).is_some())
        .count() as u64
}

/// With fewer gateways the share of this one grows. With more gateways it sends nothing until its
/// use is below its new share.
#[test]
fn thread_limits_follow_the_number_of_gateways() {
    let mut gateway = TestGateway::new(with_gateways(4), vec![engine(0), engine(1)]);
    let share = count_sent(&mut gateway, 1);
    assert_eq!(
        share, 8,
        "a quarter of 2 engines with 8 cores each and 2 threads for each core"
    );
    gateway.handle(Event::FleetSize { gateways: 2 });
    assert_eq!(
        count_sent(&mut gateway, 1_000),
        7,
        "the share is now 16 threads: 8 queries were sent, 1 was queued, so 7 more are sent"
    );
    gateway.handle(Event::FleetSize { gateways: 8 });
    gateway.handle(Event::ClientDisconnected { query: 1 });
    assert_eq!(sent_to(&gateway.arrive(query(5_000, S)), 5_000), None);
    let mut fresh = TestGateway::new(with_gateways(4), vec![engine(0), engine(1)]);
    fresh.handle(Event::FleetSize { gateways: 0 });
    assert_eq!(
        count_sent(&mut fresh, 1),
        32,
        "a fleet of 0 gateways counts as 1"
    );
}

/// Two gateways are told of a change of the fleet's size at different times. As long as the number
/// is never below the actual two, the work that both send within the collapse window stays within
/// the limit of the settings.
#[test]
fn a_warming_engine_is_not_overloaded_while_the_number_of_gateways_changes() {
    let slow_start_settings = |known_gateways| Settings {
        slow_start_window: Some(15 * S),
        slow_start_initial_fraction: Some(0.3),
        collapse_load_multiple: Some(2.5),
        collapse_window: Some(S),
        ..with_gateways(known_gateways)
    };
    for (first, second) in [(2, 2), (4, 2), (2, 3)] {
        let fresh = Engine {
            started: Some(S),
            ..engine(0)
        };
        let mut both =
            [7, 8].map(|seed| TestGateway::seeded(slow_start_settings(first), vec![fresh], seed));
        let mut sends: Vec<(u64, u64)> = Vec::new();
        let mut running: Vec<(u64, usize, u64)> = Vec::new();
        let mut id = 0;
        for step in 0..400u64 {
            let now = S + step * 10 * MS;
            for (g, gateway) in both.iter_mut().enumerate() {
                gateway.now = now;
                if step == 100 + 20 * g as u64 {
                    gateway.handle(Event::FleetSize { gateways: second });
                }
                id += 1;
                if sent_to(&gateway.arrive(query(id, 200 * MS)), id).is_some() {
                    sends.push((now, 200 * MS));
                    running.push((now, g, id));
                } else {
                    gateway.handle(Event::ClientDisconnected { query: id });
                }
                for (_, _, id) in running
                    .iter()
                    .filter(|(at, owner, _)| *owner == g && at + 300 * MS == now)
                {
                    gateway.end_attempt_after(*id, 0, 0, Outcome::Completed, 300 * MS);
                }
            }
            let work: u64 = sends
                .iter()
                .filter(|(at, _)| at + S > now)
                .map(|(_, w)| w)
                .sum();
            let age = (step * 10) as f64 / 15_000.0;
            let max_work = 2.5 * 8.0 * (0.3 + 0.7 * age) * S as f64;
            assert!(
                (work as f64) <= max_work,
                "{first}, then {second} gateways: {work} us of work, at most {max_work}, at step {step}"
            );
        }
        assert!(
            sends.len() > 10,
            "the engine got only {} queries",
            sends.len()
        );
    }
}
