//! Clients that disconnect, request ids that come again, and the end of the process.

use super::*;
use crate::dispatch::recent_ids::RECENT_ID_LIFETIME_US;

/// They would pile up otherwise.
#[test]
fn recent_ids_are_forgotten_in_their_time() {
    let mut recent = RecentIds::default();
    (0..1_000).for_each(|id| recent.add(id, id * RECENT_ID_LIFETIME_US / 10));
    let (ids, by_age) = recent.sizes();
    assert!(ids < 15 && by_age == ids, "{ids}");
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

/// Whatever its class: it would run for nobody once its connection came up. One that has begun is
/// the decisions' to end.
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
            let taken_back = upstream
                .calls
                .borrow()
                .iter()
                .any(|n| n == "cancel 1" || n == "recall 1");
            let over = has_no_open_request(&dispatch);
            assert!(
                taken_back && answer(&exchange).is_none(),
                "{idempotency:?} {waits}: {:?}",
                upstream.calls.borrow()
            );
            assert!(over || !waits, "{idempotency:?}: it goes on waiting");
            assert!(
                over || idempotency != Idempotency::Idempotent,
                "{waits}: one that may be repeated is withdrawn"
            );
        }
    }
}

/// Nothing begins for a query that has its answer.
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

/// Open requests are answered, and so are later ones: begun, they would be cut off by the end.
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
