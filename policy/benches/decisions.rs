//! Measures the time that the decisions take for one statement, and for one patch of the engine
//! list, for several numbers of engines. Run it with `cargo bench`.

use std::collections::VecDeque;
use std::hint::black_box;

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use violetgate_policy::interface::{
    AttemptEnded, Class, Cost, Engine, EngineId, EngineKind, EngineState, ListScope, LoadReport,
    Micros, NewQuery, Outcome, QueryId, RetryBudget,
};
use violetgate_policy::{Action, Event, Gateway, Settings};

const SECOND: Micros = 1_000_000;
/// The rate at which a gateway of a large fleet receives statements.
const STATEMENTS_PER_SECOND: u64 = 1_842;
/// The number of statements that have an attempt out at the same time.
const MAX_ATTEMPTS_OUT: usize = 20;
/// The work of one statement on an engine.
const STATEMENT_WORK: Micros = 10_000;

/// A gateway under constant load, on simulated time.
struct LoadedGateway {
    gateway: Gateway,
    now: Micros,
    last_query: QueryId,
    attempts_out: VecDeque<(QueryId, EngineId)>,
    actions: Vec<Action>,
}

fn engine(id: EngineId) -> Engine {
    Engine {
        id,
        zone: id % 10,
        kind: 0,
        cell: 0,
        state: EngineState::Ready,
        started: None,
    }
}

fn settings(gateways: u32) -> Settings {
    let class = Class {
        deadline: Some(10 * SECOND),
        latency_objective: Some(SECOND),
        late_weight_fraction: Some(0.5),
        threads: Some(1.0),
        ..Class::default()
    };
    Settings {
        gateways: Some(gateways),
        zone: Some(3),
        classes: vec![class],
        engine_kinds: vec![EngineKind {
            cores: Some(64.0),
            memory_mb: None,
        }],
        can_cancel: true,
        max_attempts: Some(5),
        retry_budget: Some(RetryBudget {
            min_retries: 3.0,
            retry_ratio: 0.1,
            window: 5 * SECOND,
        }),
        ..Settings::default()
    }
}

impl LoadedGateway {
    fn new(engines: u32, gateways: u32) -> Self {
        let mut gateway = Gateway::new(settings(gateways), 7);
        let list = Event::EngineList {
            scope: ListScope::Snapshot,
            engines: (0..engines).map(engine).collect(),
        };
        gateway.handle(SECOND, &[list], &mut Vec::new());
        let mut loaded = LoadedGateway {
            gateway,
            now: SECOND,
            last_query: 0,
            attempts_out: VecDeque::new(),
            actions: Vec::new(),
        };
        // Five seconds of traffic fill the window of the retry budget.
        (0..5 * STATEMENTS_PER_SECOND).for_each(|_| loaded.handle_statement());
        loaded
    }

    /// Handles the arrival of one statement. If the maximum number of attempts is then out, also
    /// handles the end of the oldest attempt.
    fn handle_statement(&mut self) {
        self.now += SECOND / STATEMENTS_PER_SECOND;
        self.last_query += 1;
        let request = NewQuery {
            id: self.last_query,
            estimated_work: Some(STATEMENT_WORK),
            client_timeout: 10 * SECOND,
            ..NewQuery::default()
        };
        self.handle(Event::QueryArrived(request));
        if self.attempts_out.len() >= MAX_ATTEMPTS_OUT {
            if let Some((query, engine)) = self.attempts_out.pop_front() {
                self.handle(Event::AttemptEnded(AttemptEnded {
                    query,
                    attempt: 0,
                    engine,
                    outcome: Outcome::Completed,
                    query_answered: true,
                    elapsed: STATEMENT_WORK,
                    cost: Some(Cost {
                        work: STATEMENT_WORK,
                        memory_mb: 1.0,
                    }),
                    load: LoadReport::default(),
                }));
            }
        }
    }

    /// Handles a patch of the engine list in which one engine has a new start time.
    fn handle_patch(&mut self, id: EngineId) {
        let started = Some(self.now);
        let engines = vec![Engine {
            started,
            ..engine(id)
        }];
        self.handle(Event::EngineList {
            scope: ListScope::Patch,
            engines,
        });
    }

    fn handle(&mut self, event: Event) {
        self.actions.clear();
        self.gateway
            .handle(self.now, black_box(&[event]), &mut self.actions);
        let sent = self.actions.iter().filter_map(|action| match action {
            Action::Send { query, engine, .. } => Some((*query, *engine)),
            _ => None,
        });
        self.attempts_out.extend(sent);
    }
}

fn decisions(criterion: &mut Criterion) {
    for gateways in [300, 7_600] {
        let mut group = criterion.benchmark_group(format!("{gateways} gateways"));
        for engines in [80, 300, 1_000, 4_000, 12_000] {
            group.bench_function(BenchmarkId::new("statement", engines), |b| {
                let mut loaded = LoadedGateway::new(engines, gateways);
                b.iter(|| loaded.handle_statement());
            });
            group.bench_function(BenchmarkId::new("patch", engines), |b| {
                let mut loaded = LoadedGateway::new(engines, gateways);
                let mut id = 0;
                b.iter(|| {
                    id = (id + 1) % engines;
                    loaded.now += SECOND / STATEMENTS_PER_SECOND;
                    loaded.handle_patch(id);
                });
            });
        }
    }
}

criterion_group!(benches, decisions);
criterion_main!(benches);
