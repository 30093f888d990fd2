//! Simulation of a gateway's clients and engines: it generates events from a fixed seed and hashes
//! every action that the gateway returns. `digest` writes each kind of action as a fixed number, so
//! a rename in the decision module does not change the hash.

mod digest;
mod load;
pub mod scenarios;

use std::collections::BTreeMap;

use rand_chacha::rand_core::{RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;
use violetgate_policy::interface::{EngineId, ListScope, Micros, Outcome, Progress, QueryId};
use violetgate_policy::{Action, EngineCounts, Event, Gateway, Settings};

pub use digest::Digest;

pub const MS: Micros = 1_000;
pub const S: Micros = 1_000_000;

/// The parameters of one generated stream of events.
pub struct Scenario {
    pub seed: u64,
    pub engines: u32,
    pub events: u32,
    /// The mean time between arrivals is 1.25 times this, or 0.25 times this during overload.
    pub gap: Micros,
    /// Engines report the cost of a completed query.
    pub reports_cost: bool,
    /// Engines send load reports with answers and health checks.
    pub reports: bool,
    pub settings: Settings,
}

/// Counts of events and actions. A test checks with them that the scenarios reach all kinds.
#[derive(Debug, Default)]
pub struct Seen {
    pub events: u32,
    /// Number of [`Action::SetResources`].
    pub terms: u32,
    pub sends: u32,
    /// Number of sends that were not the first attempt of their query.
    pub further_sends: u32,
    pub cancels: u32,
    /// Number of [`Action::Reject`].
    pub refusals: u32,
    /// Number of [`Action::Fail`].
    pub failures: u32,
    /// Number of [`Action::SetTimer`].
    pub wakes: u32,
    /// Number of [`Action::SubscribeEngineList`].
    pub follows: u32,
    /// The largest number of avoided engines at a time.
    pub most_avoided: usize,
}

/// A scheduled step of the simulation.
enum Due {
    /// A new query arrives and the next arrival is scheduled.
    Arrive,
    /// A client whose query was rejected sends a new one.
    ClientRetry,
    End {
        query: QueryId,
        attempt: u32,
        outcome: Outcome,
    },
    Progress {
        query: QueryId,
        attempt: u32,
        progress: Progress,
    },
    ResponseStarts(QueryId),
    ClientDisconnects(QueryId),
    /// An engine fails, recovers or is checked, or the engine list, a cordon or the number of
    /// gateways changes.
    EngineEvent,
    List(ListScope),
    Timer,
}

/// The state of a query in the simulation.
struct SimulatedQuery {
    class: u32,
    deadline: Micros,
    work: Micros,
    memory_mb: f64,
    attempts: u32,
    /// The engine and the send time of the attempt in flight.
    in_flight: Option<(EngineId, Micros)>,
    granted_mb: f64,
    finished: bool,
}

/// The fault of an engine. It changes from time to time.
#[derive(Clone, Copy, PartialEq)]
enum Fault {
    None,
    Slow,
    Errs,
    Silent,
    RefusesConnections,
    Full,
    /// Does not answer queries of one class.
    DropsClass(u32),
}

/// The simulated clients and engines around one gateway.
struct Simulation {
    scenario: Scenario,
    gateway: Gateway,
    rng: ChaCha8Rng,
    now: Micros,
    due: BTreeMap<(Micros, u64), Due>,
    sequence: u64,
    next_query: QueryId,
    queries: BTreeMap<QueryId, SimulatedQuery>,
    engines: Vec<load::SimulatedEngine>,
    digest: Digest,
    seen: Seen,
}

/// Runs a scenario to its end and returns the digest and the counts.
pub fn play(scenario: Scenario) -> (u64, Seen) {
    let mut simulation = Simulation::new(scenario);
    while simulation.seen.events < simulation.scenario.events {
        simulation.step();
    }
    (simulation.digest.value(), simulation.seen)
}

impl Simulation {
    fn new(scenario: Scenario) -> Self {
        let mut simulation = Simulation {
            gateway: Gateway::new(scenario.settings.clone(), scenario.seed),
            rng: ChaCha8Rng::seed_from_u64(scenario.seed ^ 0x5eed),
            now: S,
            due: BTreeMap::new(),
            sequence: 0,
            next_query: 0,
            queries: BTreeMap::new(),
            engines: load::simulated_engines(scenario.engines),
            digest: Digest::default(),
            seen: Seen::default(),
            scenario,
        };
        simulation.schedule(0, Due::List(ListScope::Snapshot));
        simulation.schedule(1, Due::Arrive);
        simulation.schedule(50 * MS, Due::EngineEvent);
        simulation
    }

    fn schedule(&mut self, wait: Micros, due: Due) {
        self.sequence += 1;
        self.due.insert((self.now + wait, self.sequence), due);
    }

    /// Returns a random number below `end`.
    fn draw(&mut self, end: u64) -> u64 {
        self.rng.next_u64() % end.max(1)
    }

    fn one_in(&mut self, times: u64) -> bool {
        self.draw(times) == 0
    }

    /// Lets the gateway handle the next due step. In some batches up to two more steps that are due
    /// within a millisecond follow it.
    fn step(&mut self) {
        let mut events = Vec::new();
        let batch = 1 + self.draw(3);
        while let Some((&key, _)) = self.due.first_key_value() {
            if !events.is_empty() && (key.0 > self.now + MS || events.len() as u64 >= batch) {
                break;
            }
            self.now = self.now.max(key.0);
            if let Some(due) = self.due.remove(&key) {
                events.extend(self.run_due(due));
            }
        }
        self.seen.events += events.len() as u32;
        let mut actions = Vec::new();
        self.gateway.handle(self.now, &events, &mut actions);
        for action in actions {
            self.digest.add_action(self.now, &action);
            self.carry_out(action);
        }
        if self.one_in(16) {
            let EngineCounts { listed, avoided } = self.gateway.engine_counts();
            self.digest.add_numbers(&[listed as u64, avoided as u64]);
            self.seen.most_avoided = self.seen.most_avoided.max(avoided);
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::SetResources {
                query, memory_mb, ..
            } => {
                self.seen.terms += 1;
                if let Some(state) = self.queries.get_mut(&query) {
                    state.granted_mb = memory_mb;
                }
            }
            Action::Send { query, engine, .. } => self.send(query, engine),
            Action::Cancel { query, attempt } => {
                self.seen.cancels += 1;
                let wait = 100 + self.draw(5 * MS);
                let outcome = Outcome::Cancelled;
                self.schedule(
                    wait,
                    Due::End {
                        query,
                        attempt,
                        outcome,
                    },
                );
            }
            Action::Reject { query, retry_after } => {
                self.seen.refusals += 1;
                self.finish_query(query);
                // One client in three retries.
                if self.one_in(3) {
                    self.schedule(retry_after + 1, Due::ClientRetry);
                }
            }
            Action::Fail { query } => {
                self.seen.failures += 1;
                self.finish_query(query);
            }
            Action::SetTimer { at } => {
                self.seen.wakes += 1;
                self.schedule(at.saturating_sub(self.now), Due::Timer);
            }
            Action::SubscribeEngineList => {
                self.seen.follows += 1;
                self.schedule(20 * MS, Due::List(ListScope::Snapshot));
            }
        }
    }

    fn finish_query(&mut self, query: QueryId) {
        let is_done = self.queries.get_mut(&query).is_some_and(|state| {
            state.finished = true;
            state.in_flight.is_none()
        });
        if is_done {
            self.queries.remove(&query);
        }
    }

    fn run_due(&mut self, due: Due) -> Option<Event> {
        match due {
            Due::Arrive => {
                self.next_arrival();
                Some(self.arrive())
            }
            Due::ClientRetry => Some(self.arrive()),
            Due::End {
                query,
                attempt,
                outcome,
            } => self.end(query, attempt, outcome),
            Due::Progress {
                query,
                attempt,
                progress,
            } => self.is_out(query, attempt).then_some(Event::Progress {
                query,
                attempt,
                progress,
            }),
            Due::ResponseStarts(query) => {
                let state = self.queries.get(&query)?;
                (!state.finished && state.in_flight.is_some())
                    .then_some(Event::ResponseStarted { query })
            }
            Due::ClientDisconnects(query) => {
                if self.queries.get(&query)?.finished {
                    return None;
                }
                self.finish_query(query);
                Some(Event::ClientDisconnected { query })
            }
            Due::EngineEvent => Some(self.engine_event()),
            Due::List(scope) => Some(self.list(scope)),
            Due::Timer => Some(Event::TimerFired),
        }
    }

    fn is_out(&self, query: QueryId, attempt: u32) -> bool {
        self.queries
            .get(&query)
            .is_some_and(|state| state.in_flight.is_some() && state.attempts == attempt + 1)
    }
}
