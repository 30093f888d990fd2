//! The interface of the decision module: settings and events go in, actions come out.
//!
//! The embedding is the program that owns the gateway. It reports events and carries out actions.
//! All times are integer microseconds on one clock that never goes backwards. A setting that the
//! operator omits is `None`; the rule that uses the setting defines what happens then.
//!
//! ```
//! use violetgate_policy::interface::{
//!     Class, Engine, EngineKind, EngineState, ListScope, NewQuery,
//! };
//! use violetgate_policy::{Action, Event, Gateway, Settings};
//!
//! let settings = Settings {
//!     gateways: Some(1),
//!     classes: vec![Class { deadline: Some(6_000_000), ..Class::default() }],
//!     engine_kinds: vec![EngineKind { cores: Some(8.0), memory_mb: None }],
//!     ..Settings::default()
//! };
//! let mut gateway = Gateway::new(settings, 7);
//! let mut actions = Vec::new();
//! let engine = Engine {
//!     id: 0, zone: 0, kind: 0, cell: 0, state: EngineState::Ready, started: None,
//! };
//! let list = Event::EngineList { scope: ListScope::Snapshot, engines: vec![engine] };
//! gateway.handle(0, &[list], &mut actions);
//! let query = NewQuery { id: 1, client_timeout: 6_000_000, ..NewQuery::default() };
//! gateway.handle(5_000, &[Event::QueryArrived(query)], &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { query: 1, engine: 0, .. })));
//! ```

mod action;
mod engine;
mod event;
mod query;
mod settings;

pub use action::Action;
pub use engine::{Engine, EngineId, EngineLocation, EngineState, ListScope, LoadReport};
pub use event::{AttemptEnded, Event};
pub use query::{Cost, NewQuery, Outcome, PossibleRun, Progress, QueryId};
pub use settings::{Class, DedupGroup, EngineKind, Idempotency, RetryBudget, Settings};

/// A point in time, or a span of time, in microseconds.
pub type Micros = u64;
