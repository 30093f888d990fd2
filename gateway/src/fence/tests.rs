//! Tests which requests are rejected. A rejection tells the client that it may retry the request at
//! another instance.

use super::*;

#[test]
fn only_requests_that_did_no_harm_are_rejected_and_others_fail() {
    for (idempotency, may_have_run, harmless) in [
        (Idempotency::Idempotent, false, true),
        (Idempotency::Idempotent, true, true),
        (Idempotency::Deduplicated, false, true),
        (Idempotency::Deduplicated, true, false),
    ] {
        let answer = rejection_or_failure(idempotency, may_have_run, Answer::StateUnconfirmed);
        assert_eq!(
            matches!(answer, Answer::StateUnconfirmed),
            harmless,
            "{idempotency:?} {may_have_run}"
        );
    }
}
