//! Tests of clients that disconnect, of the memory of recent request ids, and of shutdown.

use super::*;
use crate::dispatch::recent_ids::RECENT_ID_LIFETIME_US;

/// Ids that were never removed would use more memory with every request.
#[test]
fn recent_ids_are_removed_after_their_lifetime() {
    let mut recent = RecentIds::default();
    (0..1_000).for_each(|id| recent.add(id, id * RECENT_ID_LIFETIME_US / 10));
    let (ids, by_age) = recent.sizes();
    assert!(ids < 15 && by_age == ids, "{ids}");
}

/// The ids of requests that were never sent were remembered, too, so that a client that floods the
/// gateway with requests that are rejected made it use more and more memory.
#[test]
fn ids_of_requests_that_were_never_sent_are_not_remembered() {
    let (dispatch, _) = dispatch(0);
    for id in 1..=100 {
        submit(&dispatch, id, 60_000_000);
        dispatch.withdraw(id);
    }
    assert_eq!(dispatch.recent_ids.borrow().sizes(), (0, 0));
    submit(&dispatch, 1, 60_000_000);
}

/// What is remembered of requests is charged to the memory budget. While it is full, requests are
/// rejected, and nothing more is remembered.
#[test]
fn requests_are_rejected_while_too_much_is_remembered() {
    let (dispatch, _) = dispatch(1);
    let mut rejected = 0;
    for id in 1..=2_000 {
        let exchange = submit(&dispatch, id, 60_000_000);
        dispatch.attempt_ended(end(id, 0, Outcome::Error));
        dispatch.withdraw(id);
        rejected += u64::from(matches!(answer(&exchange), Some(Answer::Rejected { .. })));
    }
    let (remembered, _) = dispatch.recent_ids.borrow().sizes();
    assert!(rejected > 0 && remembered > 0, "{rejected} {remembered}");
    assert!(remembered * 64 <= MEMORY_BYTES / 2, "{remembered}");
}

#[test]
fn a_withdrawn_request_is_cancelled_once_and_gets_no_answer() {
    let (dispatch, upstream) = dispatch(1);
    let exchange = submit(&dispatch, 1, 60_000_000);
    dispatch.withdraw(1);
    dispatch.withdraw(1);
    assert_eq!(upstream.calls("cancel 1").len(), 1);
    assert!(answer(&exchange).is_none() && has_no_open_request(&dispatch));
}

/// If the client disconnects while an attempt of any class waits for its connection, the attempt is
/// recalled; else it would run although nobody awaits its answer. Whether an attempt that has begun
/// is cancelled is up to the decisions: they cancel it if its class is idempotent.
#[test]
fn an_attempt_without_a_connection_ends_with_its_client() {
    for idempotency in [
        Idempotency::Idempotent,
        Idempotency::Deduplicated,
        Idempotency::AtMostOnce,
    ] {
        for waits in [true, false] {
            let (dispatch, upstream) = dispatch_with(
                1,
                Class {
                    idempotency,
                    ..Class::default()
                },
                Settings::default(),
            );
            upstream.awaits_connection.set(waits);
            let exchange = submit(&dispatch, 1, 60_000_000);
            dispatch.withdraw(1);
            let is_stopped = upstream
                .calls
                .borrow()
                .iter()
                .any(|n| n == "cancel 1" || n == "recall 1");
            let is_closed = has_no_open_request(&dispatch);
            assert!(
                is_stopped && answer(&exchange).is_none(),
                "{idempotency:?} {waits}: {:?}",
                upstream.calls.borrow()
            );
            assert!(
                is_closed || !waits,
                "{idempotency:?}: an attempt that waits for its connection ends"
            );
            assert!(
                is_closed || idempotency != Idempotency::Idempotent,
                "awaits_connection={waits}: an idempotent request is cancelled"
            );
        }
    }
}

/// When a query is answered while its attempt waits for a connection, the attempt is recalled, so
/// that it does not begin.
#[test]
fn an_attempt_without_a_connection_ends_with_its_answer() {
    let (dispatch, upstream) = dispatch_with(
        1,
        Class {
            idempotency: Idempotency::AtMostOnce,
            ..Class::default()
        },
        Settings::default(),
    );
    upstream.awaits_connection.set(true);
    let exchange = submit(&dispatch, 1, 60_000_000);
    dispatch.carry_out(Action::Fail { query: 1 });
    assert!(matches!(answer(&exchange), Some(Answer::Failed)) && has_no_open_request(&dispatch));
    assert_eq!(upstream.last_call(), "recall 1");
}

/// Shutdown answers the open requests. Later requests are rejected, because the end of the process
/// would interrupt them.
#[test]
fn nothing_begins_once_the_process_ends() {
    let (dispatch, upstream) = dispatch(1);
    let first = submit(&dispatch, 1, 60_000_000);
    dispatch.shut_down();
    let second = submit(&dispatch, 2, 60_000_000);
    assert!(matches!(answer(&first), Some(Answer::ShuttingDown)));
    assert!(matches!(answer(&second), Some(Answer::ShuttingDown)));
    assert!(!upstream
        .calls
        .borrow()
        .iter()
        .any(|n| n.starts_with("send 2")));
}
