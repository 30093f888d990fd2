//! Many gateways before one cold engine, in injected time: what each decides alone, summed. It must never decide anything.

use violetgate_policy::interface::{
    AttemptEnded, Class, Cost, Engine, EngineId, EngineKind, EngineState, ListScope, LoadReport,
    Micros, NewQuery, Outcome, QueryId,
};
use violetgate_policy::{Action, Event, Gateway, Settings};

const S: Micros = 1_000_000;
/// The time that the settings name, in which a cold engine must not get too much.
pub const FALL: Micros = 2 * S;
/// A fresh engine is warm after this.
const COLD: Micros = 14 * S;
/// The work of a query.
const WORK: Micros = 200_000;

/// What an engine of so many cores bears in a span that begins `age` after its start, in queries.
#[must_use]
pub fn bears(cores: f64, age: Micros) -> f64 {
    let warm = 2.0 * cores * FALL as f64 / WORK as f64;
    warm * (0.3 + 0.7 * (age as f64 / COLD as f64).min(1.0).powi(2))
}

fn settings(gateways: u32, cores: f64) -> Settings {
    let class = Class {
        deadline: Some(10 * S),
        latency_objective: Some(10 * S),
        late_weight_fraction: Some(1.0),
        ..Class::default()
    };
    Settings {
        gateways: Some(gateways),
        classes: vec![class],
        engine_kinds: vec![EngineKind {
            cores: Some(cores),
            memory_mb: None,
        }],
        can_cancel: true,
        max_attempts: Some(4),
        progress_period: Some(S),
        answer_grace: Some(20_000),
        slow_start_initial_fraction: Some(0.3),
        slow_start_window: Some(COLD),
        collapse_load_multiple: Some(2.0),
        collapse_window: Some(FALL),
        ..Settings::default()
    }
}

fn engine(id: EngineId, state: EngineState, started: Option<Micros>) -> Engine {
    Engine {
        id,
        zone: 0,
        kind: 0,
        cell: 0,
        state,
        started,
    }
}

fn ask(id: QueryId) -> Event {
    Event::QueryArrived(NewQuery {
        id,
        estimated_work: Some(WORK),
        client_timeout: 10 * S,
        ..NewQuery::default()
    })
}

fn done(query: QueryId, engine: EngineId, elapsed: Micros) -> Event {
    let cost = Some(Cost {
        work: WORK,
        memory_mb: 0.0,
    });
    let (outcome, load) = (Outcome::Completed, LoadReport::default());
    Event::AttemptEnded(AttemptEnded {
        query,
        attempt: 0,
        engine,
        outcome,
        query_answered: true,
        elapsed,
        cost,
        load,
    })
}

/// The queries that so many gateways, each with one at hand all the time, send to one cold engine in its first eight
/// seconds: when each was sent, counted from the engine's start, in order.
#[must_use]
pub fn sent_by(gateways: u32, cores: f64, seed: u64) -> Vec<Micros> {
    let list = |scope, engine| Event::EngineList {
        scope,
        engines: vec![engine],
    };
    let mut sends = Vec::new();
    for g in 0..u64::from(gateways) {
        let mut gateway = Gateway::new(settings(gateways, cores), seed * 100_003 + g * 7_919);
        // One answer of a warm engine, which then drains, tells what queries cost.
        let first = [
            list(ListScope::Snapshot, engine(1, EngineState::Ready, None)),
            ask(1_000_000),
            done(1_000_000, 1, WORK),
            list(ListScope::Patch, engine(1, EngineState::Draining, None)),
            list(ListScope::Patch, engine(0, EngineState::Ready, Some(S))),
        ];
        gateway.handle(S, &first, &mut Vec::new());
        for step in 0..200 {
            let (now, mut id) = (S + step * 40_000, step * 100 + 1);
            // As many as it lets go at once: what a gateway may send it sends as soon as it may.
            loop {
                let mut actions = Vec::new();
                gateway.handle(now, &[ask(id)], &mut actions);
                if !actions
                    .iter()
                    .any(|a| matches!(a, Action::Send { query, engine: 0, .. } if *query == id))
                {
                    gateway.handle(
                        now,
                        &[Event::ClientDisconnected { query: id }],
                        &mut Vec::new(),
                    );
                    break;
                }
                sends.push(now - S);
                gateway.handle(now, &[done(id, 0, 10_000)], &mut Vec::new());
                id += 1;
            }
        }
    }
    sends.sort_unstable();
    sends
}

/// The largest share, over all spans, of what came in one in what the engine bears in it with what is put down to chance:
/// beyond a budget of N queries, twice the root of N and two more.
#[must_use]
pub fn largest_share(sends: &[Micros], cores: f64) -> f64 {
    let share = |(i, from): (usize, &Micros)| {
        let in_span = sends
            .iter()
            .skip(i)
            .take_while(|t| **t < from + FALL)
            .count() as f64;
        let n = bears(cores, *from);
        in_span / (n + 2.0 * n.sqrt() + 2.0)
    };
    sends.iter().enumerate().map(share).fold(0.0, f64::max)
}
