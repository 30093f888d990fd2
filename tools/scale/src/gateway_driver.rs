//! A small embedding around the real decision module: statements at a fixed rate on injected time, each answered after
//! a fixed number of further ones. It decides nothing.

use std::collections::VecDeque;

use violetgate_policy::interface::{
    AttemptEnded, Cost, Engine, EngineId, EngineState, ListScope, LoadReport, Micros, NewQuery,
    Outcome, QueryId,
};
use violetgate_policy::{Action, Event, Gateway, Settings};

use crate::error::ScaleError;

/// Statements a second at one front end: 14 million over 7,600.
pub const STATEMENTS_PER_SECOND: u64 = 1_842;
/// Time between two of them.
pub const GAP: Micros = 1_000_000 / STATEMENTS_PER_SECOND;
/// Zones that engines stand in, in turn.
pub const ZONES: u32 = 5;
/// One statement in so many is a report; the others are look-ups.
const REPORT_EVERY: u64 = 20;
/// Where injected time begins.
const START: Micros = 1_000_000;
/// How long a client waits for its answer.
const TIME_LEFT: Micros = 5_000_000;

/// Statements that are out at a time, where the front end's part of the engines allows as many.
const MOST_OUT: f64 = 20.0;
/// The module bears this many threads a core in all; cores of one engine.
const THREADS_PER_CORE: f64 = 2.0;
const CORES: f64 = 8.0;
/// The part of its room that a front end uses.
const ROOM_USED: f64 = 0.7;

/// How many statements a front end has out within its part of the engines.
#[must_use]
pub fn most_out(gateways: u32, engines: u32) -> usize {
    let room = THREADS_PER_CORE * CORES * f64::from(engines) / f64::from(gateways);
    (ROOM_USED * room).clamp(1.0, MOST_OUT) as usize
}

/// Settings of a front end that is one of so many.
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

/// An attempt that has not been answered.
struct Attempt {
    query: QueryId,
    engine: EngineId,
    sent: Micros,
}

/// A front end's decisions under load.
pub struct Driver {
    gateway: Gateway,
    now: Micros,
    wake: Option<Micros>,
    next: QueryId,
    out: VecDeque<Attempt>,
    most_out: usize,
    sent: Vec<EngineId>,
    refused: u64,
    actions: Vec<Action>,
}

impl Driver {
    /// A front end that knows so many engines; a statement is answered once `most_out` are out.
    #[must_use]
    pub fn new(settings: Settings, seed: u64, count: u32, most_out: usize) -> Self {
        let mut driver = Driver {
            gateway: Gateway::new(settings, seed),
            now: START,
            wake: None,
            next: 0,
            out: VecDeque::new(),
            most_out: most_out.max(1),
            sent: Vec::new(),
            refused: 0,
            actions: Vec::new(),
        };
        driver.whole_list(count);
        driver
    }

    /// One statement arrives; the oldest one out is answered once there are enough.
    pub fn statement(&mut self) {
        self.now += GAP;
        if self.wake.is_some_and(|at| at <= self.now) {
            self.wake = None;
            self.handle(Event::TimerFired);
        }
        self.next += 1;
        let class = u32::from(self.next % REPORT_EVERY == 0);
        let work = GAP * self.most_out as Micros;
        let query = NewQuery {
            id: self.next,
            class,
            estimated_work: Some(work),
            client_timeout: TIME_LEFT,
            ..NewQuery::default()
        };
        self.handle(Event::QueryArrived(query));
        while self.out.len() >= self.most_out {
            self.answer_oldest();
        }
    }

    fn answer_oldest(&mut self) {
        let Some(attempt) = self.out.pop_front() else {
            return;
        };
        let elapsed = (self.now - attempt.sent).max(GAP);
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

    /// News of one engine.
    pub fn patch(&mut self, id: EngineId, state: EngineState) {
        self.list(ListScope::Patch, vec![engine(id, state)]);
    }

    /// The whole list.
    pub fn whole_list(&mut self, count: u32) {
        self.list(ListScope::Snapshot, engines(count));
    }

    fn list(&mut self, scope: ListScope, engines: Vec<Engine>) {
        self.handle(Event::EngineList { scope, engines });
    }

    fn handle(&mut self, event: Event) {
        self.actions.clear();
        self.gateway.handle(self.now, &[event], &mut self.actions);
        for action in &self.actions {
            match *action {
                Action::Send { query, engine, .. } => {
                    self.sent.push(engine);
                    self.out.push_back(Attempt {
                        query,
                        engine,
                        sent: self.now,
                    });
                }
                Action::Reject { .. } | Action::Fail { .. } => self.refused += 1,
                Action::SetTimer { at } => self.wake = Some(at),
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
