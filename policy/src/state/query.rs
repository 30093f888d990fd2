//! A query and its running attempt.

use crate::interface::{Engine, EngineId, Micros, NewQuery};

/// An attempt that is out.
#[derive(Debug, Default)]
pub(crate) struct Attempt {
    pub engine: EngineId,
    pub sent_at: Micros,
    /// When it last reported progress; at first when it was sent.
    pub last_progress_at: Micros,
    pub granted_mb: f64,
    /// 0 (lowest) to 3.
    pub priority: u8,
    /// It last reported that it is queued at the engine.
    pub is_queued_at_engine: bool,
    /// It reported that it lacks memory.
    pub has_spilled: bool,
    /// It was silent for too long at least once.
    pub was_silent: bool,
    pub cancelled: bool,
}

/// The first attempt of a query that may have run.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FirstRun {
    pub engine: Engine,
    pub sent_at: Micros,
}

/// A query that has no final answer yet, or still has an attempt out.
#[derive(Debug, Default)]
pub(crate) struct Query {
    pub request: NewQuery,
    /// The index of its class in the settings.
    pub class: usize,
    /// Its place in the order of arrival.
    pub sequence: u64,
    /// When its client first sent it, maybe in an earlier request.
    pub first_requested_at: Micros,
    pub deadline: Micros,
    /// Expected work, in seconds on one thread.
    pub work: f64,
    pub threads: f64,
    /// Memory to be granted, in megabytes; 0 where nothing is known.
    pub memory_mb: f64,
    /// Attempts sent so far.
    pub attempts: u32,
    /// The attempt that is out.
    pub attempt: Option<Attempt>,
    pub may_have_run: bool,
    pub first_run: Option<FirstRun>,
    /// The engine of the latest attempt that ended; it is chosen last.
    pub last_engine: Option<EngineId>,
    /// The engine that last answered with an error.
    pub error_engine: Option<EngineId>,
    /// It waits here for an engine.
    pub is_queued: bool,
    /// Its final answer is given.
    pub is_finished: bool,
    /// Its response has begun to stream.
    pub is_streaming: bool,
    /// When it is to be checked next.
    pub check_at: Micros,
}
