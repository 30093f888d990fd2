//! A rough embedding on simulated time: it draws events from a fixed seed, plays the engines'
//! part, and digests every action that the gateway returns. The digest is made over numbers that
//! this file writes, so that it does not depend on any name of the module.

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

/// One drawn stream of events.
pub struct Scenario {
    pub seed: u64,
    pub engines: u32,
    pub events: u32,
    /// Mean time between arrivals.
    pub gap: Micros,
    /// Engines report what an answer cost.
    pub reports_cost: bool,
    /// Load reports come with answers and probes.
    pub reports: bool,
    pub settings: Settings,
}

/// How often each thing was seen, so that a test can check that the deep paths are reached.
#[derive(Debug, Default)]
pub struct Seen {
    pub events: u32,
    pub terms: u32,
    pub sends: u32,
    pub further_sends: u32,
    pub cancels: u32,
    pub refusals: u32,
    pub failures: u32,
    pub wakes: u32,
    pub follows: u32,
    pub most_avoided: usize,
}

/// What is due to happen.
enum Due {
    /// A new query; the next one follows.
    Arrive,
    /// A query of a client that was refused.
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
    Streams(QueryId),
    ClientDisconnects(QueryId),
    EngineFault,
    List(ListScope),
    Timer,
}

/// What the embedding knows of a query.
struct KnownQuery {
    class: u32,
    deadline: Micros,
    work: Micros,
    memory_mb: f64,
    attempts: u32,
    /// The attempt that is out: its engine and when it was sent.
    out: Option<(EngineId, Micros)>,
    granted_mb: f64,
    finished: bool,
}

/// How an engine fares; drawn anew from time to time.
#[derive(Clone, Copy, PartialEq)]
enum Fault {
    None,
    Slow,
    Errs,
    Silent,
    RefusesConnections,
    Full,
    /// Silent under one class only.
    DropsClass(u32),
}

/// The embedding.
struct World {
    scenario: Scenario,
    gateway: Gateway,
    rng: ChaCha8Rng,
    now: Micros,
    due: BTreeMap<(Micros, u64), Due>,
    sequence: u64,
    next_query: QueryId,
    known: BTreeMap<QueryId, KnownQuery>,
    engines: Vec<load::Machine>,
    digest: Digest,
    seen: Seen,
}

/// Plays a scenario to its end.
pub fn play(scenario: Scenario) -> (u64, Seen) {
    let mut world = World::new(scenario);
    while world.seen.events < world.scenario.events {
        world.step();
    }
    (world.digest.value(), world.seen)
}

impl World {
    fn new(scenario: Scenario) -> Self {
        let mut world = World {
            gateway: Gateway::new(scenario.settings.clone(), scenario.seed),
            rng: ChaCha8Rng::seed_from_u64(scenario.seed ^ 0x5eed),
            now: S,
            due: BTreeMap::new(),
            sequence: 0,
            next_query: 0,
            known: BTreeMap::new(),
            engines: load::machines(scenario.engines),
            digest: Digest::default(),
            seen: Seen::default(),
            scenario,
        };
        world.later(0, Due::List(ListScope::Snapshot));
        world.later(1, Due::Arrive);
        world.later(50 * MS, Due::EngineFault);
        world
    }

    fn later(&mut self, wait: Micros, due: Due) {
        self.sequence += 1;
        self.due.insert((self.now + wait, self.sequence), due);
    }

    /// A number below `end`.
    fn draw(&mut self, end: u64) -> u64 {
        self.rng.next_u64() % end.max(1)
    }

    fn one_in(&mut self, times: u64) -> bool {
        self.draw(times) == 0
    }

    /// Takes what is due next, at times with what comes right after it, and lets the gateway
    /// handle it.
    fn step(&mut self) {
        let mut events = Vec::new();
        let batch = 1 + self.draw(3);
        while let Some((&key, _)) = self.due.first_key_value() {
            if !events.is_empty() && (key.0 > self.now + MS || events.len() as u64 >= batch) {
                break;
            }
            self.now = self.now.max(key.0);
            if let Some(due) = self.due.remove(&key) {
                events.extend(self.happen(due));
            }
        }
        self.seen.events += events.len() as u32;
        let mut actions = Vec::new();
        self.gateway.handle(self.now, &events, &mut actions);
        for action in actions {
            self.digest.action(self.now, &action);
            self.carry_out(action);
        }
        if self.one_in(16) {
            let EngineCounts { listed, avoided } = self.gateway.engine_counts();
            self.digest.words(&[listed as u64, avoided as u64]);
            self.seen.most_avoided = self.seen.most_avoided.max(avoided);
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::SetResources {
                query, memory_mb, ..
            } => {
                self.seen.terms += 1;
                if let Some(known) = self.known.get_mut(&query) {
                    known.granted_mb = memory_mb;
                }
            }
            Action::Send { query, engine, .. } => self.send(query, engine),
            Action::Cancel { query, attempt } => {
                self.seen.cancels += 1;
                let wait = 100 + self.draw(5 * MS);
                let outcome = Outcome::Cancelled;
                self.later(
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
                self.answered(query);
                // Some clients come back.
                if self.one_in(3) {
                    self.later(retry_after + 1, Due::ClientRetry);
                }
            }
            Action::Fail { query } => {
                self.seen.failures += 1;
                self.answered(query);
            }
            Action::SetTimer { at } => {
                self.seen.wakes += 1;
                self.later(at.saturating_sub(self.now), Due::Timer);
            }
            Action::SubscribeEngineList => {
                self.seen.follows += 1;
                self.later(20 * MS, Due::List(ListScope::Snapshot));
            }
        }
    }

    fn answered(&mut self, query: QueryId) {
        let gone = self.known.get_mut(&query).is_some_and(|known| {
            known.finished = true;
            known.out.is_none()
        });
        if gone {
            self.known.remove(&query);
        }
    }

    fn happen(&mut self, due: Due) -> Option<Event> {
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
            Due::Streams(query) => {
                let known = self.known.get(&query)?;
                (!known.finished && known.out.is_some()).then_some(Event::ResponseStarted { query })
            }
            Due::ClientDisconnects(query) => {
                if self.known.get(&query)?.finished {
                    return None;
                }
                self.answered(query);
                Some(Event::ClientDisconnected { query })
            }
            Due::EngineFault => Some(self.disturb()),
            Due::List(scope) => Some(self.list(scope)),
            Due::Timer => Some(Event::TimerFired),
        }
    }

    fn is_out(&self, query: QueryId, attempt: u32) -> bool {
        self.known
            .get(&query)
            .is_some_and(|known| known.out.is_some() && known.attempts == attempt + 1)
    }
}
