//! Queries, the progress of their attempts, and how attempts end.

use super::{EngineLocation, Micros};

/// The number of a query, assigned by the embedding. A number is never used twice.
pub type QueryId = u64;

/// An attempt that may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PossibleRun {
    /// The place of the engine that the attempt was sent to.
    pub location: EngineLocation,
    /// When the attempt was sent.
    pub sent_at: Micros,
}

impl PossibleRun {
    /// Combines two attempts for the same idempotency key, of which `later` was reported later:
    /// the time of the first one, from which engines remember the key, and the place of the later
    /// one. If both have run, they went to the same group of engines.
    #[must_use]
    pub fn merged(self, later: PossibleRun) -> PossibleRun {
        PossibleRun {
            location: later.location,
            sent_at: self.sent_at.min(later.sent_at),
        }
    }
}

/// A query that a client has just sent.
#[derive(Debug, Clone, Default)]
pub struct NewQuery {
    /// The number of the query.
    pub id: QueryId,
    /// The query's class, an index into [`Settings::classes`](super::Settings::classes). An index
    /// beyond the last class stands for a class without settings.
    pub class: u32,
    /// The number of the tenant that sent the query.
    pub tenant: u32,
    /// The estimated time on one thread.
    pub estimated_work: Option<Micros>,
    /// The estimated memory in megabytes.
    pub estimated_memory_mb: Option<f64>,
    /// The time from now until the client gives up on this request.
    pub client_timeout: Micros,
    /// The group of tables that the query uses.
    pub table_group: Option<u64>,
    /// The ordering key. Queries with the same key run in order if their class is ordered by key.
    pub ordering_key: Option<u64>,
    /// Whether the client marked the request as a retry of an earlier request.
    pub is_client_retry: bool,
    /// The attempts that may have run of earlier requests with the same idempotency key, see
    /// [`PossibleRun::merged`]. If the class is deduplicated, this query goes only where and while
    /// engines discard a duplicate of them. `None` if there are none.
    pub earlier_run: Option<PossibleRun>,
}

/// The progress of a running attempt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Progress {
    /// The attempt has done this fraction of its work, from 0 to 1.
    FractionDone(f64),
    /// The attempt spills to disk because it lacks this many megabytes of memory.
    Spilling(f64),
    /// The attempt is queued at the engine until memory is free.
    WaitingForMemory,
    /// The attempt is queued at the engine until a bulk load ends.
    WaitingForBulkLoad,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The engine answered with a result.
    Completed,
    /// The engine answered with an error.
    Error,
    /// The engine was full and rejected the attempt without running it.
    Overloaded,
    /// No answer came in time.
    TimedOut,
    /// No connection to the engine could be made.
    ConnectionRefused,
    /// The connection broke after the attempt was sent and before it was answered.
    ConnectionLost,
    /// This gateway cancelled the attempt.
    Cancelled,
    /// The attempt was never written to the engine.
    NeverSent,
}

impl Outcome {
    /// Returns whether the engine may have run the attempt, in part or in full.
    #[must_use]
    pub fn may_have_run(self) -> bool {
        match self {
            Outcome::Overloaded | Outcome::ConnectionRefused | Outcome::NeverSent => false,
            Outcome::Completed
            | Outcome::Error
            | Outcome::TimedOut
            | Outcome::ConnectionLost
            | Outcome::Cancelled => true,
        }
    }

    /// Returns whether the engine may still be running the attempt.
    #[must_use]
    pub fn may_still_run(self) -> bool {
        matches!(
            self,
            Outcome::TimedOut | Outcome::ConnectionLost | Outcome::Cancelled
        )
    }
}

/// The resources that a query used, as its answer reports them.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Cost {
    /// The work of the query, as time on one thread.
    pub work: Micros,
    /// The memory that the query needed, in megabytes.
    pub memory_mb: f64,
}
