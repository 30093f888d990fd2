//! What goes into the decision module and what comes out: settings, events and actions.
//!
//! All times are integer microseconds on one clock that never goes backwards. A setting that the
//! operator does not state is `None`; the module decides what its absence means.
//!
//! ```
//! use violetgate_policy::interface::{Class, Engine, EngineState, Kind, ListScope};
//! use violetgate_policy::{Action, Event, Gateway, Settings};
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
//! let query = violetgate_policy::interface::NewQuery { id: 1, time_left: 6_000_000, ..Default::default() };
//! gateway.handle(5_000, &[Event::Arrived(query)], &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { query: 1, engine: 0, .. })));
//! ```

mod settings;

pub use settings::{Class, DedupGroup, Effect, Kind, ResendBudget, Settings};

/// A moment or a span in microseconds.
pub type Micros = u64;
/// A query, named by the embedding; never used twice.
pub type QueryId = u64;
/// An engine, numbered by the embedding; the number stays with the machine.
pub type EngineId = u32;

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
    /// So many gateways share the engines from now on, this one too. Who tells it sees to it that
    /// the parts of all,
    /// by what each was told last, never come to more than the whole.
    Fleet {
        /// How many; 0 counts as 1.
        gateways: u32,
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
