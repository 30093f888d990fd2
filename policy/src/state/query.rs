//! The state that a gateway keeps for a query and its attempt.

use crate::interface::{EngineId, Micros, NewQuery, PossibleRun};

/// An attempt that was sent and has not ended.
#[derive(Debug, Default)]
pub(crate) struct Attempt {
    pub engine: EngineId,
    pub sent_at: Micros,
    /// The time of the latest progress report, or the time of the send before the first report.
    pub last_progress_at: Micros,
    pub granted_mb: f64,
    /// The priority, from 0 (lowest) to 3.
    pub priority: u8,
    /// Whether the latest report says that the attempt is queued at the engine.
    pub is_queued_at_engine: bool,
    /// Whether the attempt reported that it lacks memory.
    pub has_spilled: bool,
    /// Whether the attempt was silent for too long at least once.
    pub was_silent: bool,
    pub cancelled: bool,
}

/// A query that has no final answer yet, or still has an attempt out.
#[derive(Debug, Default)]
pub(crate) struct Query {
    pub request: NewQuery,
    /// The index of its class in the settings.
    pub class: usize,
    /// The number of the query in the order of arrival.
    pub sequence: u64,
    /// The time at which the client first sent the query, perhaps in an earlier request.
    pub first_requested_at: Micros,
    pub deadline: Micros,
    /// The expected work, in seconds on one thread.
    pub work: f64,
    pub threads: f64,
    /// The memory to be granted, in megabytes; 0 if the need is unknown.
    pub memory_mb: f64,
    /// The number of attempts sent so far.
    pub attempts: u32,
    /// The attempt that has not ended, if any.
    pub attempt: Option<Attempt>,
    pub may_have_run: bool,
    /// The attempts that may have run, of this query and of duplicates of it, as one: see
    /// [`PossibleRun::merged`].
    pub first_run: Option<PossibleRun>,
    /// The engine of the latest attempt that ended. Placement prefers all other engines.
    pub last_engine: Option<EngineId>,
    /// The engine that most recently answered the query with an error.
    pub error_engine: Option<EngineId>,
    /// Whether the query waits in this gateway for an engine.
    pub is_queued: bool,
    /// Whether the query has its final answer, or its client disconnected.
    pub is_finished: bool,
    /// Whether the response has begun to stream.
    pub is_streaming: bool,
    /// The time of the next check.
    pub check_at: Micros,
}

impl Query {
    /// Records an attempt that may have run, of this query or of a duplicate of it.
    pub fn record_possible_run(&mut self, run: PossibleRun) {
        self.may_have_run = true;
        self.first_run = Some(self.first_run.map_or(run, |first| first.merged(run)));
    }
}
