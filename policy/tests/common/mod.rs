//! Test support: a gateway with a manual clock, builders of events, and functions that search
//! actions.
#![allow(
    dead_code,
    reason = "each test file that shares this module uses a part of it"
)]

use violetgate_policy::interface::{
    AttemptEnded, Class, Engine, EngineId, EngineKind, EngineState, Idempotency, ListScope, Micros,
    NewQuery, Outcome, Progress, QueryId,
};
use violetgate_policy::{Action, Event, Gateway, Settings};

pub const MS: Micros = 1_000;
pub const S: Micros = 1_000_000;

pub fn class(deadline: Micros) -> Class {
    Class {
        deadline: Some(deadline),
        latency_objective: Some(deadline),
        late_weight_fraction: Some(1.0),
        ..Class::default()
    }
}

pub fn with_idempotency(idempotency: Idempotency) -> Class {
    Class {
        idempotency,
        ..class(10 * S)
    }
}

pub fn settings(classes: Vec<Class>, cores: f64) -> Settings {
    Settings {
        gateways: Some(1),
        classes,
        engine_kinds: vec![EngineKind {
            cores: Some(cores),
            memory_mb: None,
        }],
        can_cancel: true,
        max_attempts: Some(4),
        max_retry_after: Some(60 * S),
        progress_period: Some(S),
        answer_grace: Some(20 * MS),
        ..Settings::default()
    }
}

pub fn engine(id: EngineId) -> Engine {
    Engine {
        id,
        zone: 0,
        kind: 0,
        cell: 0,
        state: EngineState::Ready,
        started: None,
    }
}

pub struct TestGateway {
    pub inner: Gateway,
    pub now: Micros,
}

impl TestGateway {
    pub fn new(settings: Settings, engines: Vec<Engine>) -> Self {
        Self::seeded(settings, engines, 7)
    }

    pub fn seeded(settings: Settings, engines: Vec<Engine>, seed: u64) -> Self {
        let mut gateway = TestGateway {
            inner: Gateway::new(settings, seed),
            now: S,
        };
        gateway.handle(Event::EngineList {
            scope: ListScope::Snapshot,
            engines,
        });
        gateway
    }

    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.inner.handle(self.now, &[event], &mut actions);
        actions.retain(|a| !matches!(a, Action::SetTimer { .. }));
        actions
    }

    pub fn advance_to(&mut self, now: Micros) -> Vec<Action> {
        self.now = now;
        self.handle(Event::TimerFired)
    }

    pub fn patch_list(&mut self, engine: Engine) -> Vec<Action> {
        self.handle(Event::EngineList {
            scope: ListScope::Patch,
            engines: vec![engine],
        })
    }

    pub fn arrive(&mut self, query: NewQuery) -> Vec<Action> {
        self.handle(Event::QueryArrived(query))
    }

    pub fn end_attempt(
        &mut self,
        query: QueryId,
        attempt: u32,
        engine: EngineId,
        outcome: Outcome,
    ) -> Vec<Action> {
        self.end_attempt_after(query, attempt, engine, outcome, 100 * MS)
    }

    pub fn end_attempt_after(
        &mut self,
        query: QueryId,
        attempt: u32,
        engine: EngineId,
        outcome: Outcome,
        elapsed: Micros,
    ) -> Vec<Action> {
        let is_answered = outcome == Outcome::Completed;
        let end = AttemptEnded {
            query,
            attempt,
            engine,
            outcome,
            query_answered: is_answered,
            elapsed,
            cost: None,
            load: Default::default(),
        };
        self.handle(Event::AttemptEnded(end))
    }

    pub fn report_progress(
        &mut self,
        query: QueryId,
        attempt: u32,
        progress: Progress,
    ) -> Vec<Action> {
        self.handle(Event::Progress {
            query,
            attempt,
            progress,
        })
    }
}

pub fn query(id: QueryId, work: Micros) -> NewQuery {
    NewQuery {
        id,
        estimated_work: Some(work),
        client_timeout: 10 * S,
        ..NewQuery::default()
    }
}

/// Returns the engine that the query was sent to, or `None` if it was not sent.
pub fn sent_to(actions: &[Action], id: QueryId) -> Option<EngineId> {
    actions.iter().find_map(|a| match a {
        Action::Send { query, engine, .. } if *query == id => Some(*engine),
        _ => None,
    })
}

pub fn is_rejected(actions: &[Action], id: QueryId) -> bool {
    actions
        .iter()
        .any(|a| matches!(a, Action::Reject { query, .. } if *query == id))
}

pub fn is_failed(actions: &[Action], id: QueryId) -> bool {
    actions
        .iter()
        .any(|a| matches!(a, Action::Fail { query } if *query == id))
}

pub fn is_cancelled(actions: &[Action], id: QueryId) -> bool {
    actions
        .iter()
        .any(|a| matches!(a, Action::Cancel { query, .. } if *query == id))
}
