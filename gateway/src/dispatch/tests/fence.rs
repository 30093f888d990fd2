//! Tests of a dispatcher whose fence is closed.

use super::*;

/// New requests and those that wait for a retry are rejected at once. Attempts in flight may still
/// complete.
#[test]
fn nothing_is_sent_or_retried_while_the_fence_is_closed() {
    let (dispatch, upstream) = dispatch(2);
    let (one, two) = (
        submit(&dispatch, 1, 60_000_000),
        submit(&dispatch, 2, 60_000_000),
    );
    upstream.is_fence_closed.set(true);
    dispatch.attempt_ended(end(1, 0, Outcome::ConnectionLost));
    assert!(matches!(answer(&one), Some(Answer::StateUnconfirmed)));
    dispatch.reject_queued();
    dispatch.attempt_ended(end(2, 0, Outcome::Completed));
    assert!(matches!(answer(&two), Some(Answer::Served(_))));
    let three = submit(&dispatch, 3, 60_000_000);
    assert!(matches!(answer(&three), Some(Answer::StateUnconfirmed)));
    let sends = upstream.calls("send").len();
    assert!(sends == 2 && has_no_open_request(&dispatch) && dispatch.fenced_count() == 2);
    upstream.is_fence_closed.set(false);
    let four = submit(&dispatch, 4, 60_000_000);
    assert!(answer(&four).is_none() && upstream.last_call().starts_with("send 4"));
}
