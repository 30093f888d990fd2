//! The fence: whether anything may be sent upstream now, and the answer to a request while nothing
//! may. An open fence lets all pass; a closed one, of which the log says that it is shut, nothing.
//!
//! Instances that share state may route only on a confirmed copy of it. A fenced instance rejects
//! requests at once and never holds them back: another instance may serve them.

use violetgate_policy::interface::Idempotency;

use crate::exchange::Answer;

/// Checked before every send, and again before what was queued is written.
pub trait Fence {
    /// Whether anything may be sent now.
    fn is_open(&self) -> bool;
}

/// The answer to a request that may not be sent, or not again, as the fence is closed or the process
/// ends, after `attempts` attempts:
/// `rejection` where a retry does no harm, else a failure.
///
/// A retry of a deduplicated request may have to go to the engine that saw the first attempt, so it
/// must not be sent to another instance.
#[must_use]
pub fn rejection_or_failure(idempotency: Idempotency, attempts: u32, rejection: Answer) -> Answer {
    if idempotency == Idempotency::Idempotent || attempts == 0 {
        rejection
    } else {
        Answer::Failed
    }
}

#[cfg(test)]
mod tests;
