//! Simulates many gateways in front of one engine that is warming up, and sums the queries that
//! they send to it.
//!
//! The sum has to stay within the engine's capacity. All decisions come from
//! [`violetgate_policy::Gateway`], with one independent instance for each gateway.

use violetgate_policy::interface::{
    AttemptEnded, Class, Cost, Engine, EngineId, EngineKind, EngineState, ListScope, LoadReport,
    Micros, NewQuery, Outcome, QueryId,
};
use violetgate_policy::{Action, Event, Gateway, Settings};

const SECOND: Micros = 1_000_000;
/// The window, in microseconds, in which an engine that is warming up must not get more queries
/// than its capacity.
pub const COLLAPSE_WINDOW: Micros = 2 * SECOND;
/// The time after its start at which an engine has its full capacity.
const WARM_UP: Micros = 14 * SECOND;
/// The fraction of its full capacity that an engine has at its start.
const INITIAL_FRACTION: f64 = 0.3;
/// The load, as a multiple of an engine's cores, above which the engine fails if the load lasts for
/// a whole [`COLLAPSE_WINDOW`].
const COLLAPSE_LOAD_MULTIPLE: f64 = 2.0;
/// The engine time that a query uses.
const QUERY_WORK: Micros = 200_000;
/// The duration of a query at the engine that is warming up.
const QUERY_TIME: Micros = 10_000;
const QUERY_TIMEOUT: Micros = 10 * SECOND;

/// The engine from which a gateway learns the cost of queries.
const WARM_ENGINE: EngineId = 1;
/// The engine that warms up.
const STARTING_ENGINE: EngineId = 0;
/// The query from which a gateway learns the cost of queries.
const FIRST_QUERY: QueryId = 1_000_000;

/// The number of steps of a run, which together last eight seconds.
const STEPS: u64 = 200;
const STEP: Micros = 40_000;
/// The distance between the first query ids of two successive steps.
const IDS_PER_STEP: u64 = 100;

/// Returns the capacity, in queries, of an engine with `cores` cores in a [`COLLAPSE_WINDOW`] that
/// begins `age` microseconds after the engine's start.
#[must_use]
pub fn capacity_in_window(cores: f64, age: Micros) -> f64 {
    let full = COLLAPSE_LOAD_MULTIPLE * cores * COLLAPSE_WINDOW as f64 / QUERY_WORK as f64;
    let progress = (age as f64 / WARM_UP as f64).min(1.0).powi(2);
    full * (INITIAL_FRACTION + (1.0 - INITIAL_FRACTION) * progress)
}

fn settings(gateways: u32, cores: f64) -> Settings {
    let class = Class {
        deadline: Some(QUERY_TIMEOUT),
        latency_objective: Some(QUERY_TIMEOUT),
        late_weight_fraction: Some(1.0),
        ..Class::default()
    };
    let kind = EngineKind {
        cores: Some(cores),
        memory_mb: None,
    };
    Settings {
        gateways: Some(gateways),
        classes: vec![class],
        engine_kinds: vec![kind],
        can_cancel: true,
        max_attempts: Some(4),
        progress_period: Some(SECOND),
        answer_grace: Some(20_000),
        slow_start_initial_fraction: Some(INITIAL_FRACTION),
        slow_start_window: Some(WARM_UP),
        collapse_load_multiple: Some(COLLAPSE_LOAD_MULTIPLE),
        collapse_window: Some(COLLAPSE_WINDOW),
        ..Settings::default()
    }
}

fn engine_list(
    scope: ListScope,
    id: EngineId,
    state: EngineState,
    started: Option<Micros>,
) -> Event {
    let engine = Engine {
        id,
        zone: 0,
        kind: 0,
        cell: 0,
        state,
        started,
    };
    Event::EngineList {
        scope,
        engines: vec![engine],
    }
}

fn query_arrived(id: QueryId) -> Event {
    Event::QueryArrived(NewQuery {
        id,
        estimated_work: Some(QUERY_WORK),
        client_timeout: QUERY_TIMEOUT,
        ..NewQuery::default()
    })
}

fn attempt_completed(query: QueryId, engine: EngineId, elapsed: Micros) -> Event {
    let cost = Cost {
        work: QUERY_WORK,
        memory_mb: 0.0,
    };
    Event::AttemptEnded(AttemptEnded {
        query,
        attempt: 0,
        engine,
        outcome: Outcome::Completed,
        query_answered: true,
        elapsed,
        cost: Some(cost),
        load: LoadReport::default(),
    })
}

/// Returns when queries are sent to the engine that is warming up, in ascending microseconds after
/// its start, over its first eight seconds. Each of the gateways always has a query ready to send.
#[must_use]
pub fn send_times(gateways: u32, cores: f64, seed: u64) -> Vec<Micros> {
    let mut sends = Vec::new();
    for number in 0..u64::from(gateways) {
        let gateway_seed = seed * 100_003 + number * 7_919;
        let mut gateway = Gateway::new(settings(gateways, cores), gateway_seed);
        introduce_engines(&mut gateway);
        for step in 0..STEPS {
            let now = SECOND + step * STEP;
            let sent = send_all(&mut gateway, now, step * IDS_PER_STEP + 1);
            sends.extend(std::iter::repeat_n(now - SECOND, sent));
        }
    }
    sends.sort_unstable();
    sends
}

/// Lets a gateway learn the cost of queries from one answer of a warm engine. Then that engine
/// drains and another engine starts.
fn introduce_engines(gateway: &mut Gateway) {
    let events = [
        engine_list(ListScope::Snapshot, WARM_ENGINE, EngineState::Ready, None),
        query_arrived(FIRST_QUERY),
        attempt_completed(FIRST_QUERY, WARM_ENGINE, QUERY_WORK),
        engine_list(ListScope::Patch, WARM_ENGINE, EngineState::Draining, None),
        engine_list(
            ListScope::Patch,
            STARTING_ENGINE,
            EngineState::Ready,
            Some(SECOND),
        ),
    ];
    gateway.handle(SECOND, &events, &mut Vec::new());
}

/// Offers queries to a gateway until it does not send one immediately. Returns how many it sent.
fn send_all(gateway: &mut Gateway, now: Micros, first_id: QueryId) -> usize {
    let mut sent = 0;
    for id in first_id.. {
        let mut actions = Vec::new();
        gateway.handle(now, &[query_arrived(id)], &mut actions);
        if !actions.iter().any(|action| sends_query(action, id)) {
            let disconnected = Event::ClientDisconnected { query: id };
            gateway.handle(now, &[disconnected], &mut Vec::new());
            break;
        }
        sent += 1;
        let completed = attempt_completed(id, STARTING_ENGINE, QUERY_TIME);
        gateway.handle(now, &[completed], &mut Vec::new());
    }
    sent
}

fn sends_query(action: &Action, id: QueryId) -> bool {
    matches!(action, Action::Send { query, engine: STARTING_ENGINE, .. } if *query == id)
}

/// Returns the largest ratio, over all windows, of the queries sent in a window to the engine's
/// capacity in it. The capacity of N queries is raised by `2 * sqrt(N) + 2`, which allows for
/// random variation of the sum.
#[must_use]
pub fn largest_fraction_of_capacity(sends: &[Micros], cores: f64) -> f64 {
    let fraction = |(index, from): (usize, &Micros)| {
        let window = sends.iter().skip(index);
        let sent = window
            .take_while(|at| **at < from + COLLAPSE_WINDOW)
            .count() as f64;
        let capacity = capacity_in_window(cores, *from);
        sent / (capacity + 2.0 * capacity.sqrt() + 2.0)
    };
    sends.iter().enumerate().map(fraction).fold(0.0, f64::max)
}
