//! What goes into the decision module and what comes out: settings, events and actions.
//!
//! All times are integer microseconds on one clock that never goes backwards. A setting that the
//! operator does not state is `None`; the module decides what its absence means.
//!
//! ```
//! use linnetreach::interface::{Class, Engine, EngineState, Kind, ListScope};
//! use linnetreach::{Action, Event, Gateway, Settings};
//!
//! let settings = Settings {
//!     gateways: Some(1),
//!     classes: vec![Class { deadline: Some(6_000_000), ..Class::default() }],
//!     kinds: vec![Kind { cores: Some(8.0), memory_mb: None }],
//!     ..Settings::default()
//! };
//! let mut gateway = Gateway::new(settings, 7);
//! let mut actions = Vec::new();
//! let engine = Engine { id: 0, zone: 0, kind: 0, cell: 0, state: EngineState::Ready, started: None };
//! gateway.handle(0, &[Event::Engines { scope: ListScope::Whole, engines: vec![engine] }], &mut actions);
//! let query = linnetreach::interface::NewQuery { id: 1, time_left: 6_000_000, ..Default::default() };
//! gateway.handle(5_000, &[Event::Arrived(query)], &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { query: 1, engine: 0, .. })));
//! ```

/// A moment or a span in microseconds.
pub type Micros = u64;
/// A query, named by the embedding; never used twice.
pub type QueryId = u64;
/// An engine, numbered by the embedding; the number stays with the machine.
pub type EngineId = u32;

/// What repeating a query of a class does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Effect {
    /// It may be repeated and refused freely.
    #[default]
    Idempotent,
    /// Engines of one group discard repeats for a while.
    Deduplicated,
    /// It must never run twice.
    AtMostOnce,
}

/// The engines that discard each other's repeats of a deduplicated query.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum DedupGroup {
    /// All engines.
    #[default]
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// One class of queries.
#[derive(Debug, Clone, Default)]
pub struct Class {
    /// How long a client waits in all.
    pub deadline: Option<Micros>,
    /// Answered within this (plus the stretch), a query earns its full worth.
    pub aim: Option<Micros>,
    /// The aim grows by this multiple of the work over the threads.
    pub aim_stretch: Option<f64>,
    /// The worth of one query.
    pub worth: Option<f64>,
    /// The share of the worth that an answer after the aim still earns.
    pub late_worth: Option<f64>,
    /// What a repeat does.
    pub effect: Effect,
    /// For deduplicated classes: who discards repeats.
    pub dedup_group: DedupGroup,
    /// For deduplicated classes: for how long.
    pub dedup_window: Option<Micros>,
    /// Queries of one key run one at a time, in order.
    pub by_arrival: bool,
    /// The only zones allowed, if bound.
    pub only_zones: Option<Vec<u32>>,
    /// The only kinds allowed, if bound.
    pub only_kinds: Option<Vec<u32>>,
    /// Threads that a query runs on.
    pub threads: Option<f64>,
    /// It holds its group of tables on its engine while it runs.
    pub is_load: bool,
    /// It stands still while a load holds its group.
    pub waits_for_loads: bool,
}

/// One kind of engine.
#[derive(Debug, Clone, Default)]
pub struct Kind {
    /// Cores of one engine.
    pub cores: Option<f64>,
    /// Memory of one engine.
    pub memory_mb: Option<f64>,
}

/// The limit on attempts beyond each query's first.
#[derive(Debug, Clone, Copy)]
pub struct ResendBudget {
    /// Extra attempts allowed in any span.
    pub free: f64,
    /// Further ones for each query taken in that span.
    pub share: f64,
    /// The span.
    pub span: Micros,
}

/// What a gateway is told at its start.
#[derive(Debug, Clone, Default)]
pub struct Settings {
    /// Number of gateways in front of the same engines.
    pub gateways: Option<u32>,
    /// The zone of this gateway.
    pub zone: Option<u32>,
    /// The classes, by number.
    pub classes: Vec<Class>,
    /// The kinds of engine, by number.
    pub kinds: Vec<Kind>,
    /// Each tenant's queries a second within its share, over all gateways.
    pub tenant_quota_per_s: Vec<Option<f64>>,
    /// What a query beyond its tenant's share is worth against one within it.
    pub over_share_worth: Option<f64>,
    /// Attempts can be withdrawn.
    pub can_cancel: bool,
    /// Engines can be probed.
    pub can_probe: bool,
    /// Load reports come with probes only.
    pub reports_by_probe: bool,
    /// Load reports tell utilisation.
    pub reports_utilisation: bool,
    /// Attempts allowed for a query.
    pub max_attempts: Option<u32>,
    /// A query may have two attempts out.
    pub second_copies: bool,
    /// The longest retry-after that clients honour; `None` where they get none.
    pub max_retry_after: Option<Micros>,
    /// Memory grants are heeded.
    pub grants: bool,
    /// The share of an engine's memory that one query gets at most.
    pub most_grant: Option<f64>,
    /// Priorities are heeded.
    pub priorities: bool,
    /// Time between notes of progress; `None` where there are none.
    pub note_period: Option<Micros>,
    /// How long after the deadline a final answer still counts.
    pub grace_to_answer: Option<Micros>,
    /// A fresh engine starts with at least this share of its capacity ...
    pub cold_share: Option<f64>,
    /// ... and is warm after this long.
    pub cold: Option<Micros>,
    /// Sent more than this multiple of its present capacity ...
    pub fall_multiple: Option<f64>,
    /// ... for this long, a cold engine falls over.
    pub fall: Option<Micros>,
    /// How long a key rests after an attempt that may still run.
    pub turn_gap: Option<Micros>,
    /// The budget for further attempts.
    pub resend_budget: Option<ResendBudget>,
    /// The engine list must be asked for.
    pub list_on_request: bool,
}

/// What the list says of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineState {
    /// Its process runs.
    Ready,
    /// It finishes its work and wants no more.
    Draining,
    /// It was removed.
    Gone,
}

/// One line of the engine list.
#[derive(Debug, Clone, Copy)]
pub struct Engine {
    /// The engine.
    pub id: EngineId,
    /// Its zone.
    pub zone: u32,
    /// Its kind.
    pub kind: u32,
    /// Its cell.
    pub cell: u32,
    /// Its state.
    pub state: EngineState,
    /// Its latest start, if recent enough to be told.
    pub started: Option<Micros>,
}

/// How much of the engine list an event carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListScope {
    /// All of it; engines left out are gone.
    Whole,
    /// All of it as last known before a restart, perhaps stale.
    Stale,
    /// Changed lines only.
    Patch,
    /// The subscription or a call failed; the old list holds.
    Broken,
}

/// A query that a client has just sent.
#[derive(Debug, Clone, Default)]
pub struct NewQuery {
    /// Its name.
    pub id: QueryId,
    /// Its class.
    pub class: u32,
    /// Its tenant.
    pub tenant: u32,
    /// Estimated work on one thread.
    pub work: Option<Micros>,
    /// Estimated memory.
    pub memory_mb: Option<f64>,
    /// How long until the client gives up on this try.
    pub time_left: Micros,
    /// The group of tables that it reads.
    pub tables: Option<u64>,
    /// Its key, where the class keeps order.
    pub key: Option<u64>,
    /// The client marked it as a repeat.
    pub repeat: bool,
}

/// News of a running attempt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Progress {
    /// The share done.
    Done(f64),
    /// It spills; megabytes missing.
    Spills(f64),
    /// It waits for memory.
    WaitsForMemory,
    /// It waits for a load.
    WaitsForLoad,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Completed,
    /// The engine answered with an error.
    Errored,
    /// Turned away unseen.
    Saturated,
    /// No answer in time.
    Overdue,
    /// No connection.
    Refused,
    /// The connection broke.
    Severed,
    /// Withdrawn by this gateway.
    Recalled,
    /// Never sent.
    Superseded,
}

/// What an answer tells of its true cost.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Cost {
    /// Work on one thread.
    pub work: Micros,
    /// Memory needed.
    pub memory_mb: f64,
}

/// An engine's load report; what it does not tell is `None`.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Load {
    /// The share of its cores that is busy.
    pub utilisation: Option<f64>,
    /// The share of its disks that is busy.
    pub disks: Option<f64>,
    /// The share of its memory that is granted.
    pub memory: Option<f64>,
    /// Queries that wait there for memory.
    pub waiting: Option<f64>,
}

/// The end of an attempt.
#[derive(Debug, Clone)]
pub struct Ended {
    /// The query.
    pub query: QueryId,
    /// Which attempt, from 0.
    pub attempt: u32,
    /// The engine.
    pub engine: EngineId,
    /// How.
    pub outcome: Outcome,
    /// The query has its final answer.
    pub settled: bool,
    /// Time since it was sent.
    pub elapsed: Micros,
    /// Its cost, if told.
    pub cost: Option<Cost>,
    /// The engine's load report.
    pub load: Load,
}

/// Something that happened to this gateway.
#[derive(Debug, Clone)]
pub enum Event {
    /// News of the engine list.
    Engines {
        /// How much of it.
        scope: ListScope,
        /// The lines.
        engines: Vec<Engine>,
    },
    /// An operator's call, which holds until the opposite one, whatever the list says meanwhile.
    Cordon {
        /// The engine, in the list or not.
        engine: EngineId,
        /// Nothing more to it; else it may be used again, and has been restarted.
        out: bool,
    },
    /// A client's query; it is owed one final answer.
    Arrived(NewQuery),
    /// News of a running attempt.
    Note {
        /// The query.
        query: QueryId,
        /// Which attempt, from 0.
        attempt: u32,
        /// The news.
        progress: Progress,
    },
    /// The answer has begun to stream; no deadline runs for the query any more.
    Started {
        /// The query.
        query: QueryId,
    },
    /// An attempt ended.
    Ended(Ended),
    /// The client left.
    ClientGone {
        /// The query.
        query: QueryId,
    },
    /// The result of a probe that the embedding made of its own accord.
    Probed {
        /// The engine.
        engine: EngineId,
        /// It was answered.
        answered: bool,
        /// The engine's load report.
        load: Load,
    },
    /// A wake-up that was asked for.
    Woke,
}

/// Something that the embedding must do, in the order given.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Action {
    /// Set the grant and the priority of the query's further attempts.
    Terms {
        /// The query.
        query: QueryId,
        /// Megabytes; 0 leaves it to the engine.
        memory_mb: f64,
        /// 0 to 3.
        priority: u8,
    },
    /// Start an attempt; its number is the count of earlier ones.
    Send {
        /// The query.
        query: QueryId,
        /// Where to.
        engine: EngineId,
        /// Time-out; 0 means until the client gives up.
        timeout: Micros,
    },
    /// Withdraw an attempt; its end will be told.
    Cancel {
        /// The query.
        query: QueryId,
        /// Which attempt.
        attempt: u32,
    },
    /// Final answer: turned away, a retry does no harm.
    Refuse {
        /// The query.
        query: QueryId,
        /// How long the client should stay away.
        retry_after: Micros,
    },
    /// Final answer: failed, effect unknown.
    Fail {
        /// The query.
        query: QueryId,
    },
    /// Wake the gateway at this time.
    Wake {
        /// When.
        at: Micros,
    },
    /// Subscribe to the engine list.
    Follow,
}
