//! Tests of memory grants, which are derived from estimates, reported needs and spills.

mod common;

use common::*;
use violetgate_policy::interface::{AttemptEnded, Cost, NewQuery, Outcome, Progress};
use violetgate_policy::{Action, Event, Settings};

fn grant(actions: &[Action], id: u64) -> Option<f64> {
    actions.iter().find_map(|a| match a {
        Action::SetResources {
            query, memory_mb, ..
        } if *query == id => Some(*memory_mb),
        _ => None,
    })
}

fn settings_with_grants() -> Settings {
    let mut config = Settings {
        memory_grants: true,
        ..settings(vec![class(10 * S)], 8.0)
    };
    config.engine_kinds[0].memory_mb = Some(100_000.0);
    config
}

#[test]
fn grants_follow_reported_needs_when_estimates_scatter() {
    let mut config = settings(vec![class(10 * S)], 8.0);
    config.memory_grants = true;
    config.engine_kinds[0].memory_mb = Some(100_000.0);
    let mut gateway = TestGateway::new(config, vec![engine(0)]);
    let request = |gateway: &mut TestGateway, id, memory_mb| {
        let actions = gateway.arrive(NewQuery {
            estimated_memory_mb: Some(memory_mb),
            ..query(id, 50 * MS)
        });
        gateway.now += 50 * MS;
        let cost = Cost {
            work: 50 * MS,
            memory_mb: 100.0,
        };
        gateway.handle(Event::AttemptEnded(AttemptEnded {
            query: id,
            attempt: 0,
            engine: 0,
            outcome: Outcome::Completed,
            query_answered: true,
            elapsed: 50 * MS,
            cost: Some(cost),
            load: Default::default(),
        }));
        actions.iter().find_map(|a| match a {
            Action::SetResources { memory_mb, .. } => Some(*memory_mb),
            _ => None,
        })
    };
    for id in 1..=300 {
        request(&mut gateway, id, if id % 2 == 0 { 30.0 } else { 300.0 });
    }
    for (id, estimate) in [(301, 30.0), (302, 300.0)] {
        let granted = request(&mut gateway, id, estimate).expect("the query should get a grant");
        assert!(
            (90.0..130.0).contains(&granted),
            "granted {granted} on an estimate of {estimate}"
        );
    }
}

#[test]
fn grants_follow_spills_when_needs_are_not_reported() {
    let mut gateway = TestGateway::new(settings_with_grants(), vec![engine(0), engine(1)]);
    let request = |gateway: &mut TestGateway, id, need: f64| {
        let actions = gateway.arrive(NewQuery {
            estimated_memory_mb: Some(100.0),
            ..query(id, 50 * MS)
        });
        let (granted, target) = (
            grant(&actions, id).expect("the query should get a grant"),
            sent_to(&actions, id).expect("query was not sent"),
        );
        let moves = granted < need
            && is_cancelled(
                &gateway.report_progress(id, 0, Progress::Spilling(need - granted)),
                id,
            );
        gateway.now += 50 * MS;
        let actions = gateway.end_attempt_after(id, 0, target, Outcome::Cancelled, 5 * MS);
        gateway.handle(Event::ClientDisconnected { query: id });
        (granted, moves.then(|| grant(&actions, id)).flatten())
    };
    let (first, again) = request(&mut gateway, 1, 250.0);
    assert_eq!(first, 125.0);
    assert_eq!(
        again,
        Some(250.0),
        "sent again with the memory that it needs"
    );
    for id in 2..30 {
        request(&mut gateway, id, 250.0);
    }
    let (later, _) = request(&mut gateway, 30, 250.0);
    assert!(
        later > 200.0,
        "the grant is only {later} MB after 29 queries that need 250 MB"
    );
    // Grants shrink again while queries complete without spilling.
    for id in 100..200 {
        let actions = gateway.arrive(NewQuery {
            estimated_memory_mb: Some(100.0),
            ..query(id, 50 * MS)
        });
        let target = sent_to(&actions, id).expect("query was not sent");
        gateway.end_attempt_after(id, 0, target, Outcome::Completed, 50 * MS);
    }
    assert!(request(&mut gateway, 300, 50.0).0 < 125.0);
}
