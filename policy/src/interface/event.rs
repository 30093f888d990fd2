//! The events that the embedding reports to a gateway.

use super::{
    Cost, Engine, EngineId, ListScope, LoadReport, Micros, NewQuery, Outcome, PossibleRun,
    Progress, QueryId,
};

/// Reports the end of an attempt.
#[derive(Debug, Clone)]
pub struct AttemptEnded {
    /// The query that the attempt belonged to.
    pub query: QueryId,
    /// The number of the attempt, from 0.
    pub attempt: u32,
    /// The engine that the attempt was sent to.
    pub engine: EngineId,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Whether the client has received the final answer to the query.
    pub query_answered: bool,
    /// The time from when the attempt was sent to its end.
    pub elapsed: Micros,
    /// The resources that the query used, if the engine reports them.
    pub cost: Option<Cost>,
    /// The load report that came with the answer.
    pub load: LoadReport,
}

/// An event at this gateway.
#[derive(Debug, Clone)]
pub enum Event {
    /// The engine list arrived or changed, or the watch on it failed.
    EngineList {
        /// How much of the list `engines` holds.
        scope: ListScope,
        /// The entries of the list, or the changed ones.
        engines: Vec<Engine>,
    },
    /// An operator cordoned or uncordoned an engine. A cordon lasts until the engine is uncordoned,
    /// whatever the engine list contains.
    Cordon {
        /// The engine. It need not be in the list.
        engine: EngineId,
        /// If `true`, nothing more is sent to the engine. If `false`, the engine was restarted and
        /// may be used again.
        cordoned: bool,
    },
    /// A client sent a query. The query gets exactly one final answer.
    QueryArrived(NewQuery),
    /// An attempt of another request with the same idempotency key was sent while the query is
    /// open. Earlier such attempts are in [`NewQuery::earlier_run`].
    DuplicateSent {
        /// The query that is now a duplicate.
        query: QueryId,
        /// The attempt that was sent.
        run: PossibleRun,
    },
    /// A running attempt reported its progress.
    Progress {
        /// The query that the attempt belongs to.
        query: QueryId,
        /// The number of the attempt, from 0.
        attempt: u32,
        /// The reported progress.
        progress: Progress,
    },
    /// The response has begun to stream. From now on the query has no deadline.
    ResponseStarted {
        /// The query whose response streams.
        query: QueryId,
    },
    /// An attempt ended, with or without a result.
    AttemptEnded(AttemptEnded),
    /// The client disconnected.
    ClientDisconnected {
        /// The query whose answer the client waited for.
        query: QueryId,
    },
    /// A health check ended. The embedding makes health checks without an action that asks for
    /// them.
    HealthChecked {
        /// The engine that was checked.
        engine: EngineId,
        /// Whether the engine answered.
        passed: bool,
        /// The load report that came with the answer.
        load: LoadReport,
    },
    /// The number of gateways that share the engines changed. Each gateway computes its share of
    /// the engines' threads and memory from the number that it received last. The embedding must
    /// ensure that the shares of all gateways never add up to more than the engines have.
    FleetSize {
        /// The number of gateways, this one included. 0 counts as 1.
        gateways: u32,
    },
    /// A timer that [`Action::SetTimer`](super::Action::SetTimer) set has fired.
    TimerFired,
}
