//! A gateway around the real decision module: statements at a fixed rate in simulated time, each
//! answered after a fixed number of further ones. It decides nothing itself.

use std::collections::VecDeque;

use violetgate_policy::interface::{
    AttemptEnded, Cost, Engine, EngineId, EngineState, ListScope, LoadReport, Micros, NewQuery,
    Outcome, QueryId,
};
use violetgate_policy::{Action, Event, Gateway, Settings};

use crate::error::ScaleError;

/// Statements a second at one gateway: 14 million over 7,600.
pub const STATEMENTS_PER_SECOND: u64 = 1_842;
/// Time between two of them.
pub const GAP: Micros = 1_000_000 / STATEMENTS_PER_SECOND;
/// Zones; engines are distributed over them by their ids.
pub const ZONES: u32 = 5;
/// One statement in so many is a report; the others are lookups.
const REPORT_EVERY: u64 = 20;
/// Where simulated time begins.
const START: Micros = 1_000_000;
/// How long a client waits for its answer.
const CLIENT_TIMEOUT: Micros = 5_000_000;

/// Statements in flight at a time, where the gateway's part of the engines allows as many.
const MAX_IN_FLIGHT: f64 = 20.0;
/// Threads that the module allows a core, over all gateways; cores of one engine.
const THREADS_PER_CORE: f64 = 2.0;
const CORES: f64 = 8.0;
/// The fraction of its capacity that a gateway uses.
const UTILIZATION: f64 = 0.7;

/// How many statements a gateway has in flight within its part of the engines.
#[must_use]
pub fn max_in_flight(gateways: u32, engines: u32) -> usize {
    let capacity = THREADS_PER_CORE * CORES * f64::from(engines) / f64::from(gateways);
    (UTILIZATION * capacity).clamp(1.0, MAX_IN_FLIGHT) as usize
}

/// Settings of a gateway that is one of so many.
///
/// # Errors
///
/// The module refuses them.
pub fn settings(gateways: u32) -> Result<Settings, ScaleError> {
    let mut settings =
        violetgate_policy::wire::settings_from_json(&violetgate_fake_upstreams::settings())
            .map_err(|e| ScaleError::Settings(e.to_string()))?;
    settings.gateways = Some(gateways);
    settings.zone = Some(0);
    Ok(settings)
}

/// One warm engine.
#[must_use]
pub fn engine(id: EngineId, state: EngineState) -> Engine {
    Engine {
        id,
        zone: id % ZONES,
        kind: 0,
        cell: 0,
        state,
        started: None,
    }
}

/// So many warm engines.
#[must_use]
pub fn engines(count: u32) -> Vec<Engine> {
    (0..count)
        .map(|id| engine(id, EngineState::Ready))
        .collect()
}

/// An attempt in flight.
struct Attempt {
    query: QueryId,
    engine: EngineId,
    sent_at: Micros,
}

/// A gateway's decisions under load.
pub struct GatewayDriver {
    gateway: Gateway,
    now: Micros,
    timer: Option<Micros>,
    last_query: QueryId,
    in_flight: VecDeque<Attempt>,
    max_in_flight: usize,
    sent: Vec<EngineId>,
    refused: u64,
    actions: Vec<Action>,
}

impl GatewayDriver {
    /// A gateway that knows so many engines; a statement is answered once `max_in_flight` are in
    /// flight.
    #[must_use]
    pub fn new(settings: Settings, seed: u64, count: u32, max_in_flight: usize) -> Self {
        let mut driver = GatewayDriver {
            gateway: Gateway::new(settings, seed),
            now: START,
            timer: None,
            last_query: 0,
            in_flight: VecDeque::new(),
            max_in_flight: max_in_flight.max(1),
            sent: Vec::new(),
            refused: 0,
            actions: Vec::new(),
        };
        driver.update_all_engines(count);
        driver
    }

    /// One statement arrives; the oldest one in flight is answered once there are enough.
    pub fn send_statement(&mut self) {
        self.now += GAP;
        if self.timer.is_some_and(|at| at <= self.now) {
            self.timer = None;
            self.handle(Event::TimerFired);
        }
        self.last_query += 1;
        let class = u32::from(self.last_query % REPORT_EVERY == 0);
        let work = GAP * self.max_in_flight as Micros;
        let query = NewQuery {
            id: self.last_query,
            class,
            estimated_work: Some(work),
            client_timeout: CLIENT_TIMEOUT,
            ..NewQuery::default()
        };
        self.handle(Event::QueryArrived(query));
        while self.in_flight.len() >= self.max_in_flight {
            self.answer_oldest();
        }
    }

    fn answer_oldest(&mut self) {
        let Some(attempt) = self.in_flight.pop_front() else {
            return;
        };
        let elapsed = (self.now - attempt.sent_at).max(GAP);
        self.handle(Event::AttemptEnded(AttemptEnded {
            query: attempt.query,
            attempt: 0,
            engine: attempt.engine,
            outcome: Outcome::Completed,
            query_answered: true,
            elapsed,
            cost: Some(Cost {
                work: elapsed,
                memory_mb: 0.0,
            }),
            load: LoadReport::default(),
        }));
    }

    /// Announces the state of one engine.
    pub fn update_engine(&mut self, id: EngineId, state: EngineState) {
        self.update_list(ListScope::Patch, vec![engine(id, state)]);
    }

    /// Announces the full engine list.
    pub fn update_all_engines(&mut self, count: u32) {
        self.update_list(ListScope::Snapshot, engines(count));
    }

    fn update_list(&mut self, scope: ListScope, engines: Vec<Engine>) {
        self.handle(Event::EngineList { scope, engines });
    }

    fn handle(&mut self, event: Event) {
        self.actions.clear();
        self.gateway.handle(self.now, &[event], &mut self.actions);
        for action in &self.actions {
            match *action {
                Action::Send { query, engine, .. } => {
                    self.sent.push(engine);
                    self.in_flight.push_back(Attempt {
                        query,
                        engine,
                        sent_at: self.now,
                    });
                }
                Action::Reject { .. } | Action::Fail { .. } => self.refused += 1,
                Action::SetTimer { at } => self.timer = Some(at),
                Action::SetResources { .. }
                | Action::Cancel { .. }
                | Action::SubscribeEngineList => {}
            }
        }
    }

    /// Where statements were sent so far, in order.
    #[must_use]
    pub fn sent(&self) -> &[EngineId] {
        &self.sent
    }

    /// Statements that were refused or failed so far.
    #[must_use]
    pub fn refused(&self) -> u64 {
        self.refused
    }
}
