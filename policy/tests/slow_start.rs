//! Engines that warm up.

mod common;

use common::*;
use violetgate_policy::interface::{
    AttemptEnded, Class, Cost, Engine, EngineState, ListScope, Outcome,
};
use violetgate_policy::{Event, Gateway, Settings};

fn many(gateways: u32, classes: Vec<Class>) -> Settings {
    Settings {
        gateways: Some(gateways),
        ..settings(classes, 8.0)
    }
}

/// What 200 independent gateways with unequal traffic and a query always at hand send to one cold engine: how many
/// queries in its first two spans, and the largest share in any of what it then bears.
fn sent_to_a_cold_engine(told: bool) -> (usize, f64) {
    let (gateways, fall) = (200, 2 * S);
    let mut s = many(gateways, vec![class(10 * S)]);
    (
        s.slow_start_initial_fraction,
        s.slow_start_window,
        s.collapse_load_multiple,
        s.collapse_window,
    ) = (Some(0.3), Some(14 * S), Some(2.0), Some(fall));
    let cold = Engine {
        started: Some(S),
        ..engine(0)
    };
    let drains = Engine {
        state: EngineState::Draining,
        ..engine(1)
    };
    let done = |query, engine, elapsed| {
        Event::AttemptEnded(AttemptEnded {
            query,
            attempt: 0,
            engine,
            outcome: Outcome::Completed,
            query_answered: true,
            elapsed,
            cost: told.then_some(Cost {
                work: 200 * MS,
                memory_mb: 0.0,
            }),
            load: Default::default(),
        })
    };
    let list = |scope, engines| Event::EngineList { scope, engines };
    let mut sends = Vec::new();
    for g in 0..u64::from(gateways) {
        let mut gateway = Gateway::new(s.clone(), g * 7919);
        let mut actions = Vec::new();
        // One answer of a warm engine, which then drains, tells what queries cost, if anything does.
        let first = [
            list(ListScope::Snapshot, vec![engine(1)]),
            Event::QueryArrived(query(1_000_000, 200 * MS)),
            done(1_000_000, 1, 200 * MS),
            list(ListScope::Patch, vec![cold, drains]),
        ];
        gateway.handle(S, &first, &mut actions);
        // One in ten has a query every 50 ms, the others every second.
        let pace = if g % 10 == 0 { 50 * MS } else { S };
        for step in 0..10 * S / pace {
            let (now, id) = (S + step * pace, step + 1);
            actions.clear();
            gateway.handle(
                now,
                &[Event::QueryArrived(query(id, 200 * MS))],
                &mut actions,
            );
            if sent(&actions, id) == Some(0) {
                sends.push(now);
                gateway.handle(now, &[done(id, 0, 10 * MS)], &mut actions);
            } else {
                gateway.handle(
                    now,
                    &[Event::ClientDisconnected { query: id }],
                    &mut actions,
                );
            }
        }
    }
    sends.sort_unstable();
    // 2 x 8 cores for 2 s make 160 queries of 0.2 s when warm, 48 at the start.
    let bears = |t: u64| 160.0 * (0.3 + 0.7 * ((t - S) as f64 / 14e6).powi(2));
    let in_span = |t: &u64| sends.iter().filter(|u| (*t..t + fall).contains(u)).count();
    let most = sends
        .iter()
        .map(|t| in_span(t) as f64 / bears(*t))
        .fold(0.0, f64::max);
    (sends.iter().filter(|t| **t < S + 2 * fall).count(), most)
}

/// Where the part of each gateway is less than a query, a warming engine still gets some, more
/// where costs are reported, and in no window more than it bears.
#[test]
fn a_warming_engine_gets_queries_from_many_gateways_and_never_too_many() {
    let ((untold, most_untold), (told, most_told)) =
        (sent_to_a_cold_engine(false), sent_to_a_cold_engine(true));
    assert!(
        untold >= 5 && told >= 45,
        "sent early: {untold}, {told} where costs are told"
    );
    assert!(
        most_untold.max(most_told) <= 1.0,
        "most in a span: {most_untold}, {most_told}"
    );
}

/// Its threads are slow, but as many.
#[test]
fn the_limit_of_a_warming_engine_shrinks_with_the_root_of_its_warmth() {
    let mut s = settings(vec![class(10 * S)], 8.0);
    (s.slow_start_initial_fraction, s.slow_start_window) = (Some(0.25), Some(10 * S));
    let mut b = Bench::new(
        s,
        vec![Engine {
            started: Some(S),
            ..engine(0)
        }],
    );
    let out = (1..30)
        .filter(|id| sent(&b.ask(query(*id, 100 * MS)), *id).is_some())
        .count();
    assert_eq!(out, 8, "half of 16 threads at a quarter of the warmth");
}
