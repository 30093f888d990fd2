//! The stages of an attempt, from the send to its end.
//!
//! - `sending` sends an attempt.
//! - `progress` handles progress reports, which can reroute or give up the query.
//! - `silence` handles attempts that are silent for too long.
//! - `ending` releases the capacity of an attempt that ended, and retries or answers the query.
//! - `completion` updates statistics and limits from an answer.
//!
//! Placement and eligibility decide where an attempt is sent. Retry, outlier detection and
//! deadlines decide what follows from its result.

mod completion;
mod ending;
mod progress;
mod sending;
mod silence;
