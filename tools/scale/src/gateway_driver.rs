//! Drives the real decision module of one gateway with statements at a fixed rate in simulated
//! time. The oldest statement is answered when a fixed number of statements is in flight. The
//! module makes all decisions.

use std::collections::VecDeque;

use violetgate_policy::interface::{
    AttemptEnded, Cost, Engine, EngineId, EngineState, ListScope, LoadReport, Micros, NewQuery,
    Outcome, QueryId,
};
use violetgate_policy::{Action, Event, Gateway, Settings};

use crate::error::ScaleError;

/// Statements per second at one gateway: 14 million over 7,600 gateways.
pub const STATEMENTS_PER_SECOND: u64 = 1_842;
/// The time between two statements, in microseconds.
pub const STATEMENT_INTERVAL: Micros = 1_000_000 / STATEMENTS_PER_SECOND;
/// The number of zones; an engine's zone is its id modulo this number.
pub const ZONES: u32 = 5;
/// One in this many statements is of the report class; the others are lookups.
const REPORT_INTERVAL: u64 = 20;
/// The time at which the simulation starts, in microseconds.
const START: Micros = 1_000_000;
/// How long a client waits for its answer, in microseconds.
const CLIENT_TIMEOUT: Micros = 5_000_000;

/// The maximum number of statements in flight, even if the gateway's share of the engines would
/// allow more.
const MAX_IN_FLIGHT: f64 = 20.0;
/// Threads per engine core that the module allows, over all gateways.
const THREADS_PER_CORE: f64 = 2.0;
/// Cores of one engine.
const CORES: f64 = 8.0;
/// The fraction of its share of the engines' capacity that a gateway uses.
const UTILIZATION: f64 = 0.7;

/// Returns how many statements a gateway keeps in flight within its share of the engines.
#[must_use]
pub fn max_in_flight(gateways: u32, engines: u32) -> usize {
    let capacity = THREADS_PER_CORE * CORES * f64::from(engines) / f64::from(gateways);
    (UTILIZATION * capacity).clamp(1.0, MAX_IN_FLIGHT) as usize
}

/// Returns the settings of a gateway in a fleet of `gateways` gateways.
///
/// # Errors
///
/// Returns an error if the decision module refuses the settings.
pub fn settings(gateways: u32) -> Result<Settings, ScaleError> {
    let mut settings =
        violetgate_policy::wire::settings_from_json(&violetgate_fake_upstreams::settings())
            .map_err(|e| ScaleError::Settings(e.to_string()))?;
    settings.gateways = Some(gateways);
    settings.zone = Some(0);
    Ok(settings)
}

/// Returns an engine without a start time, so that it gets no slow start.
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

/// Returns `count` engines that are ready and get no slow start, with ids from 0.
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

/// A simulated gateway under load.
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
    /// Creates a gateway that knows `count` engines. The oldest statement is answered when
    /// `max_in_flight` statements are in flight.
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

    /// Sends one statement to the gateway, then answers the oldest ones until fewer than the
    /// maximum are in flight.
    pub fn send_statement(&mut self) {
        self.now += STATEMENT_INTERVAL;
        if self.timer.is_some_and(|at| at <= self.now) {
            self.timer = None;
            self.handle(Event::TimerFired);
        }
        self.last_query += 1;
        let class = u32::from(self.last_query % REPORT_INTERVAL == 0);
        let work = STATEMENT_INTERVAL * self.max_in_flight as Micros;
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
        let elapsed = (self.now - attempt.sent_at).max(STATEMENT_INTERVAL);
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

    /// Announces a full list of `count` engines.
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

    /// Returns the engines that statements were sent to so far, in order.
    #[must_use]
    pub fn sent(&self) -> &[EngineId] {
        &self.sent
    }

    /// Returns the number of statements that were refused or failed so far.
    #[must_use]
    pub fn refused(&self) -> u64 {
        self.refused
    }
}
