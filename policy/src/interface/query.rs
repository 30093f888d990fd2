//! Queries, the progress of their attempts, and how attempts end.

use super::Micros;

/// A query, numbered by the embedding; a number is never used twice.
pub type QueryId = u64;

/// A query that a client has just sent.
#[derive(Debug, Clone, Default)]
pub struct NewQuery {
    /// Its number.
    pub id: QueryId,
    /// Its class, an index into [`Settings::classes`](super::Settings::classes).
    pub class: u32,
    /// Its tenant.
    pub tenant: u32,
    /// Estimated time on one thread.
    pub estimated_work: Option<Micros>,
    /// Estimated memory in megabytes.
    pub estimated_memory_mb: Option<f64>,
    /// Time until the client gives up on this request.
    pub client_timeout: Micros,
    /// The group of tables that it reads.
    pub table_group: Option<u64>,
    /// Queries with the same key run in order, where the class is ordered by key.
    pub ordering_key: Option<u64>,
    /// The client marked it as a retry of its own.
    pub is_client_retry: bool,
}

/// The progress of a running attempt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Progress {
    /// The fraction of its work that is done, 0 to 1.
    FractionDone(f64),
    /// It spills to disk; the megabytes that it lacks.
    Spilling(f64),
    /// It is queued at the engine for memory.
    WaitingForMemory,
    /// It is queued at the engine behind a bulk load.
    WaitingForBulkLoad,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The engine answered with a result.
    Completed,
    /// The engine answered with an error.
    Error,
    /// The engine rejected it without running it, since it is full.
    Overloaded,
    /// No answer came in time.
    TimedOut,
    /// No connection could be made.
    ConnectionRefused,
    /// The connection broke while the attempt was out.
    ConnectionLost,
    /// This gateway cancelled it.
    Cancelled,
    /// It was never written to the engine.
    NeverSent,
}

impl Outcome {
    /// Whether the engine may have run the attempt, in part or in full.
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

    /// Whether the engine may still be running the attempt.
    #[must_use]
    pub fn may_still_run(self) -> bool {
        matches!(
            self,
            Outcome::TimedOut | Outcome::ConnectionLost | Outcome::Cancelled
        )
    }
}

/// What a query really cost, as its answer reports.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Cost {
    /// Time on one thread.
    pub work: Micros,
    /// Memory needed, in megabytes.
    pub memory_mb: f64,
}
