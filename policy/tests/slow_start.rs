//! Tests of engines that warm up.

mod common;

use common::*;
use violetgate_policy::interface::{
    AttemptEnded, Cost, Engine, EngineId, EngineState, ListScope, Micros, Outcome, QueryId,
};
use violetgate_policy::{Event, Gateway, Settings};

const GATEWAYS: u32 = 200;
const COLLAPSE_WINDOW: Micros = 2 * S;

/// Whether engines report the cost of queries.
#[derive(Clone, Copy, PartialEq)]
enum Costs {
    Reported,
    Unknown,
}

/// Totals of what all gateways sent to a warming engine.
struct SentToWarming {
    /// Number of queries in the first two collapse windows.
    early: usize,
    /// For each collapse window that starts at a send, the number of queries sent in the window
    /// divided by the engine's limit at its start. This is the largest of these ratios.
    largest_ratio: f64,
}

fn completed(query: QueryId, engine: EngineId, elapsed: Micros, costs: Costs) -> Event {
    let cost = Cost {
        work: 200 * MS,
        memory_mb: 0.0,
    };
    Event::AttemptEnded(AttemptEnded {
        query,
        attempt: 0,
        engine,
        outcome: Outcome::Completed,
        query_answered: true,
        elapsed,
        cost: (costs == Costs::Reported).then_some(cost),
        load: Default::default(),
    })
}

/// Returns the times at which one gateway sends queries to warming engine 0. Before that, engine 1
/// answers one query, with its cost if costs are reported, and then drains.
fn send_times(number: u64, config: &Settings, costs: Costs) -> Vec<Micros> {
    let list = |scope, engines| Event::EngineList { scope, engines };
    let warming = Engine {
        started: Some(S),
        ..engine(0)
    };
    let draining = Engine {
        state: EngineState::Draining,
        ..engine(1)
    };
    let first = [
        list(ListScope::Snapshot, vec![engine(1)]),
        Event::QueryArrived(query(1_000_000, 200 * MS)),
        completed(1_000_000, 1, 200 * MS, costs),
        list(ListScope::Patch, vec![warming, draining]),
    ];
    let mut gateway = Gateway::new(config.clone(), number * 7919);
    let mut actions = Vec::new();
    gateway.handle(S, &first, &mut actions);
    // One gateway in ten has a query every 50 ms, the others have one every second.
    let gap = if number % 10 == 0 { 50 * MS } else { S };
    let mut sends = Vec::new();
    for step in 0..10 * S / gap {
        let (now, id) = (S + step * gap, step + 1);
        actions.clear();
        let arrives = Event::QueryArrived(query(id, 200 * MS));
        gateway.handle(now, &[arrives], &mut actions);
        let ends = if sent_to(&actions, id) == Some(0) {
            sends.push(now);
            completed(id, 0, 10 * MS, costs)
        } else {
            Event::ClientDisconnected { query: id }
        };
        gateway.handle(now, &[ends], &mut actions);
    }
    sends
}

/// Counts what independent gateways with unequal traffic send to one warming engine.
fn sent_to_warming_engine(costs: Costs) -> SentToWarming {
    let config = Settings {
        gateways: Some(GATEWAYS),
        slow_start_initial_fraction: Some(0.3),
        slow_start_window: Some(14 * S),
        collapse_load_multiple: Some(2.0),
        collapse_window: Some(COLLAPSE_WINDOW),
        ..settings(vec![class(10 * S)], 8.0)
    };
    let gateways = 0..u64::from(GATEWAYS);
    let mut sends: Vec<_> = gateways
        .flat_map(|number| send_times(number, &config, costs))
        .collect();
    sends.sort_unstable();
    // The limit is 2 x 8 cores x 2 s, which is 160 queries of 0.2 s when warm and 48 at the start.
    let limit = |at: Micros| 160.0 * (0.3 + 0.7 * ((at - S) as f64 / 14e6).powi(2));
    let in_window = |from: Micros| {
        let window = from..from + COLLAPSE_WINDOW;
        sends.iter().filter(|at| window.contains(at)).count()
    };
    let ratios = sends.iter().map(|at| in_window(*at) as f64 / limit(*at));
    let early_end = S + 2 * COLLAPSE_WINDOW;
    SentToWarming {
        early: sends.iter().filter(|at| **at < early_end).count(),
        largest_ratio: ratios.fold(0.0, f64::max),
    }
}

/// The share of each gateway is less than a query. The warming engine gets some queries
/// nevertheless, more if costs are reported, and in no window more than its limit.
#[test]
fn a_warming_engine_gets_queries_from_many_gateways_and_never_too_many() {
    let unknown = sent_to_warming_engine(Costs::Unknown);
    let reported = sent_to_warming_engine(Costs::Reported);
    let (early, early_reported) = (unknown.early, reported.early);
    assert!(
        early >= 5 && early_reported >= 45,
        "sent early: {early}, {early_reported} if costs are reported"
    );
    let largest = unknown.largest_ratio.max(reported.largest_ratio);
    assert!(
        largest <= 1.0,
        "the largest ratio of queries to the limit in any window is {largest}"
    );
}

/// A warming engine has as many threads as a warm one, but they are slower. Its thread limit
/// therefore falls less than its capacity.
#[test]
fn the_limit_of_a_warming_engine_follows_the_square_root_of_its_capacity() {
    let mut config = settings(vec![class(10 * S)], 8.0);
    (config.slow_start_initial_fraction, config.slow_start_window) = (Some(0.25), Some(10 * S));
    let mut gateway = TestGateway::new(
        config,
        vec![Engine {
            started: Some(S),
            ..engine(0)
        }],
    );
    let out = (1..30)
        .filter(|id| sent_to(&gateway.arrive(query(*id, 100 * MS)), *id).is_some())
        .count();
    assert_eq!(
        out, 8,
        "at a quarter of its capacity the engine gets half of its 16 threads, the square root"
    );
}
