//! Tests which requests are rejected. A rejection tells the client that it may retry the request at
//! another instance.

use super::*;

#[test]
fn only_requests_that_did_no_harm_are_rejected_and_others_fail() {
    for (idempotency, attempts, harmless) in [
        (Idempotency::Idempotent, 0, true),
        (Idempotency::Idempotent, 3, true),
        (Idempotency::Deduplicated, 0, true),
        (Idempotency::Deduplicated, 1, false),
    ] {
        let answer = rejection_or_failure(idempotency, attempts, Answer::StateUnconfirmed);
        assert_eq!(
            matches!(answer, Answer::StateUnconfirmed),
            harmless,
            "{idempotency:?} {attempts}"
        );
    }
}
