//! Tests of the dispatcher against a recording upstream side, without sockets.
#![allow(
    clippy::unwrap_used,
    clippy::indexing_slicing,
    reason = "a failed step fails the test"
)]

mod attempts;
mod clients;
mod fence;
mod keys;

use std::net::SocketAddr;

use violetgate_policy::interface::{
    Class, Engine, EngineKind, EngineLocation, EngineState, Idempotency, Micros, NewQuery, Outcome,
    PossibleRun,
};

use super::*;
use crate::exchange::{
    Attempt, AttemptEnd, AttemptEvents as _, CancelOutcome, Exchange, Request, RequestIdInUse,
};
use crate::request_memory::RequestMemory;

/// A fake upstream side that records its calls and ends no attempt by itself. It is also the fence.
#[derive(Default)]
struct RecordingEngines {
    calls: RefCell<Vec<String>>,
    is_fence_closed: Cell<bool>,
    /// Whether attempts still wait for their connection, so that `recall_unsent` succeeds.
    awaits_connection: Cell<bool>,
    /// `begin_by` of each attempt, in the order in which they were sent.
    begin_by: RefCell<Vec<Micros>>,
}

impl RecordingEngines {
    fn record(&self, call: String) {
        self.calls.borrow_mut().push(call);
    }

    /// Returns the recorded calls that start with `prefix`.
    fn calls(&self, prefix: &str) -> Vec<String> {
        let calls = self.calls.borrow();
        calls
            .iter()
            .filter(|call| call.starts_with(prefix))
            .cloned()
            .collect()
    }

    fn last_call(&self) -> String {
        self.calls.borrow().last().unwrap().clone()
    }
}

impl Fence for RecordingEngines {
    fn is_open(&self) -> bool {
        !self.is_fence_closed.get()
    }
}

impl UpstreamEngines for RecordingEngines {
    fn send(&self, attempt: Attempt) {
        self.begin_by.borrow_mut().push(attempt.begin_by);
        let grant = match attempt.memory_grant_mb {
            0 => String::new(),
            grant => format!(" with {grant}"),
        };
        let (query, number, engine) = (attempt.exchange.id(), attempt.number, attempt.engine);
        self.record(format!("send {query}.{number} to {engine}{grant}"));
    }

    fn cancel(&self, query: QueryId) -> CancelOutcome {
        self.record(format!("cancel {query}"));
        CancelOutcome::MayHaveRun
    }

    fn recall_unsent(&self, query: QueryId) -> bool {
        self.record(format!("recall {query}"));
        self.awaits_connection.get()
    }

    fn set_priority(&self, query: QueryId, priority: u8) {
        self.record(format!("priority {query} {priority}"));
    }

    fn set_cordoned(&self, engine: EngineId, cordoned: bool) {
        self.record(format!("cordon {engine} {cordoned}"));
    }

    fn update_list(&self, _: ListScope, engines: &[ListedEngine]) {
        self.record(format!("list {}", engines.len()));
    }
}

fn dispatch(engines: u32) -> (Rc<Dispatch>, Rc<RecordingEngines>) {
    dispatch_with(engines, Class::default(), Settings::default())
}

/// The memory budget of a dispatcher: less than a thousand requests may be remembered.
const MEMORY_BYTES: usize = 100_000;

fn dispatch_with(
    engines: u32,
    class: Class,
    settings: Settings,
) -> (Rc<Dispatch>, Rc<RecordingEngines>) {
    let class = Class {
        deadline: Some(60_000_000),
        latency_objective: Some(60_000_000),
        priority_weight: Some(1.0),
        ..class
    };
    let settings = Settings {
        gateways: Some(1),
        classes: vec![class],
        engine_kinds: vec![EngineKind {
            cores: Some(8.0),
            memory_mb: None,
        }],
        can_cancel: true,
        max_attempts: Some(5),
        ..settings
    };
    let upstream = Rc::new(RecordingEngines::default());
    let fence: Rc<dyn Fence> = Rc::<RecordingEngines>::clone(&upstream);
    let engine_pool: Rc<dyn UpstreamEngines> = Rc::<RecordingEngines>::clone(&upstream);
    let memory = MemoryBudget::new(MEMORY_BYTES);
    let dispatch = Dispatch::new(
        Clock::start(),
        settings,
        7,
        engine_pool,
        &memory,
        Some(fence),
    );
    let addr = SocketAddr::from(([127, 0, 0, 1], 1));
    let listed = |id| ListedEngine {
        engine: Engine {
            id,
            zone: 0,
            kind: 0,
            cell: 0,
            state: EngineState::Ready,
            started: None,
        },
        addr,
    };
    let list: Vec<_> = (0..engines).map(listed).collect();
    dispatch.update_engines(ListScope::Snapshot, &list);
    (dispatch, upstream)
}

fn request(dispatch: &Dispatch, id: QueryId, client_timeout: Micros) -> Request {
    Request {
        query: NewQuery {
            id,
            client_timeout,
            ..NewQuery::default()
        },
        received: dispatch.now(),
        id_text: "".into(),
        class: "".into(),
        idempotency_key: None,
        statement: Rc::default(),
        memory: RequestMemory::default(),
    }
}

fn submit(dispatch: &Dispatch, id: QueryId, client_timeout: Micros) -> Rc<Exchange> {
    let exchange = Exchange::new(request(dispatch, id, client_timeout));
    assert_eq!(dispatch.submit(&exchange), Ok(()));
    exchange
}

fn end(query: QueryId, number: u32, outcome: Outcome) -> AttemptEnd {
    AttemptEnd::without_result(query, number, outcome)
}

fn answer(exchange: &Exchange) -> Option<Answer> {
    async_io::block_on(futures_lite::future::poll_once(exchange.answer()))
}

fn has_no_open_request(dispatch: &Dispatch) -> bool {
    dispatch.open.borrow().is_empty()
}
