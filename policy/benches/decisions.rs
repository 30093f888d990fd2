//! What a statement and a patch of the engine list cost the decisions, by the number of engines:
//! `cargo bench`.

use std::collections::VecDeque;
use std::hint::black_box;

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use violetgate_policy::interface::{
    AttemptEnded, Class, Cost, Engine, EngineId, EngineKind, EngineState, ListScope, LoadReport,
    Micros, NewQuery, Outcome, QueryId, RetryBudget,
};
use violetgate_policy::{Action, Event, Gateway, Settings};

const SECOND: Micros = 1_000_000;
/// Statements that a gateway of a large fleet gets in a second.
const STATEMENTS_PER_SECOND: u64 = 1_842;
/// Statements that are out at a time.
const OUT: usize = 20;
/// What a statement costs an engine.
const WORK: Micros = 10_000;

/// A gateway with statements out, on injected time.
struct Loop {
    gateway: Gateway,
    now: Micros,
    next: QueryId,
    out: VecDeque<(QueryId, EngineId)>,
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

impl Loop {
    fn new(engines: u32, gateways: u32) -> Self {
        let mut gateway = Gateway::new(settings(gateways), 7);
        let list = Event::EngineList {
            scope: ListScope::Snapshot,
            engines: (0..engines).map(engine).collect(),
        };
        gateway.handle(SECOND, &[list], &mut Vec::new());
        let mut all = Loop {
            gateway,
            now: SECOND,
            next: 0,
            out: VecDeque::new(),
            actions: Vec::new(),
        };
        // As it is after some seconds of the same traffic.
        (0..5 * STATEMENTS_PER_SECOND).for_each(|_| all.statement());
        all
    }

    /// One statement arrives; where so many are out, the oldest ends.
    fn statement(&mut self) {
        self.now += SECOND / STATEMENTS_PER_SECOND;
        self.next += 1;
        let request = NewQuery {
            id: self.next,
            estimated_work: Some(WORK),
            client_timeout: 10 * SECOND,
            ..NewQuery::default()
        };
        self.handle(Event::QueryArrived(request));
        if self.out.len() >= OUT {
            if let Some((query, engine)) = self.out.pop_front() {
                self.handle(Event::AttemptEnded(AttemptEnded {
                    query,
                    attempt: 0,
                    engine,
                    outcome: Outcome::Completed,
                    query_answered: true,
                    elapsed: WORK,
                    cost: Some(Cost {
                        work: WORK,
                        memory_mb: 1.0,
                    }),
                    load: LoadReport::default(),
                }));
            }
        }
    }

    fn patch(&mut self, id: EngineId) {
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
        self.out.extend(sent);
    }
}

fn decisions(criterion: &mut Criterion) {
    for gateways in [300, 7_600] {
        let mut group = criterion.benchmark_group(format!("{gateways} gateways"));
        for engines in [80, 300, 1_000, 4_000, 12_000] {
            group.bench_function(BenchmarkId::new("statement", engines), |b| {
                let mut all = Loop::new(engines, gateways);
                b.iter(|| all.statement());
            });
            group.bench_function(BenchmarkId::new("patch", engines), |b| {
                let mut all = Loop::new(engines, gateways);
                let mut id = 0;
                b.iter(|| {
                    id = (id + 1) % engines;
                    all.now += SECOND / STATEMENTS_PER_SECOND;
                    all.patch(id);
                });
            });
        }
    }
}

criterion_group!(benches, decisions);
criterion_main!(benches);
