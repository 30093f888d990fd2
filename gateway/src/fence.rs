//! Whether anything may be sent now, and what becomes of requests while nothing may.
//!
//! Where several instances agree on their state, one that can't confirm its copy may not route on it. It must never
//! hold a request back until it can: another instance may serve it at once.

use violetgate_policy::interface::Idempotency;

use crate::exchange::Answer;

/// Asked before every send, and again before what was queued is written.
pub trait Fence {
    /// Whether anything may be sent now.
    fn is_open(&self) -> bool;
}

/// The answer to a request that may not be sent (again), after so many attempts: a refusal where another try does no
/// harm, else a failure.
#[must_use]
pub fn turned_away(idempotency: Idempotency, attempts: u32, refusal: Answer) -> Answer {
    // A repeat of a deduplicated request may have to stay with its engines: it fails instead.
    if idempotency == Idempotency::Idempotent || attempts == 0 {
        refusal
    } else {
        Answer::Failed
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Only what surely did no harm is told to go elsewhere.
    #[test]
    fn what_may_have_run_is_not_sent_elsewhere() {
        for (idempotency, attempts, harmless) in [
            (Idempotency::Idempotent, 0, true),
            (Idempotency::Idempotent, 3, true),
            (Idempotency::Deduplicated, 0, true),
            (Idempotency::Deduplicated, 1, false),
        ] {
            let answer = turned_away(idempotency, attempts, Answer::StateUnconfirmed);
            assert_eq!(
                matches!(answer, Answer::StateUnconfirmed),
                harmless,
                "{idempotency:?} {attempts}"
            );
        }
    }
}
