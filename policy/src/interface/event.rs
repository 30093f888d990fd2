//! What happens to a gateway.

use super::{
    Cost, Engine, EngineId, ListScope, LoadReport, Micros, NewQuery, Outcome, Progress, QueryId,
};

/// The end of an attempt.
#[derive(Debug, Clone)]
pub struct AttemptEnded {
    /// The query.
    pub query: QueryId,
    /// The number of the attempt, from 0.
    pub attempt: u32,
    /// The engine that it was sent to.
    pub engine: EngineId,
    /// How it ended.
    pub outcome: Outcome,
    /// The client has got the final answer to the query.
    pub query_answered: bool,
    /// Time since the attempt was sent.
    pub elapsed: Micros,
    /// What the query cost, if the engine reports it.
    pub cost: Option<Cost>,
    /// The engine's load report.
    pub load: LoadReport,
}

/// Something that happened to this gateway.
#[derive(Debug, Clone)]
pub enum Event {
    /// The engine list, or a change of it.
    EngineList {
        /// How much of the list `engines` holds.
        scope: ListScope,
        /// The entries.
        engines: Vec<Engine>,
    },
    /// An operator cordoned or uncordoned an engine. Either holds until the other, whatever the
    /// list says meanwhile.
    Cordon {
        /// The engine, whether it is in the list or not.
        engine: EngineId,
        /// `true`: send it nothing more; `false`: it was restarted and may be used again.
        cordoned: bool,
    },
    /// A client sent a query; it gets exactly one final answer.
    QueryArrived(NewQuery),
    /// A running attempt reported its progress.
    Progress {
        /// The query.
        query: QueryId,
        /// The number of the attempt, from 0.
        attempt: u32,
        /// The progress.
        progress: Progress,
    },
    /// The response has begun to stream; the query has no deadline from here on.
    ResponseStarted {
        /// The query.
        query: QueryId,
    },
    /// An attempt ended.
    AttemptEnded(AttemptEnded),
    /// The client disconnected.
    ClientDisconnected {
        /// The query that it waited for.
        query: QueryId,
    },
    /// The embedding made a health check of its own accord.
    HealthChecked {
        /// The engine.
        engine: EngineId,
        /// The engine answered.
        passed: bool,
        /// The engine's load report.
        load: LoadReport,
    },
    /// The number of gateways that share the engines changed. The sender makes sure that the
    /// quotas of all gateways, each by the number that it was last given, never exceed the total.
    FleetSize {
        /// How many, this one included; 0 counts as 1.
        gateways: u32,
    },
    /// A timer that [`Action::SetTimer`](super::Action::SetTimer) set has fired.
    TimerFired,
}
