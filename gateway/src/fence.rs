//! Decides whether anything may be sent upstream, and how requests that may not be sent are
//! answered. An open fence allows every send, and a closed fence none. The log calls a closed fence
//! "shut".
//!
//! Instances that share state may route only on a confirmed copy of it. A fenced instance rejects
//! requests at once instead of queuing them, because another instance may serve them.

use violetgate_policy::interface::Idempotency;

use crate::exchange::Answer;

/// Decides whether anything may be sent upstream. The fence is checked before every send, and again
/// before a queued attempt is written to its connection.
pub trait Fence {
    /// Returns whether anything may be sent upstream at the moment.
    fn is_open(&self) -> bool;
}

/// Returns the answer to a request that may not be sent any more, because the fence is closed or
/// the process is ending: `rejection` if a retry does no harm, else [`Answer::Failed`].
///
/// A retry does no harm if the class is idempotent, or if neither the request nor an earlier one
/// with its idempotency key may have run. A retry of a deduplicated request may have to go to the
/// engine that got the first attempt, so after an attempt its client must not be told to send it to
/// another instance.
#[must_use]
pub fn rejection_or_failure(
    idempotency: Idempotency,
    may_have_run: bool,
    rejection: Answer,
) -> Answer {
    if idempotency == Idempotency::Idempotent || !may_have_run {
        rejection
    } else {
        Answer::Failed
    }
}

#[cfg(test)]
mod tests;
