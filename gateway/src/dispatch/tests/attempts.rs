//! Tests of the attempts' numbers, ends, deadlines, priorities and memory grants.

use futures_lite::FutureExt;
use violetgate_policy::interface::Progress;

use super::*;
use crate::exchange::AttemptProgress;

fn has_timer(dispatch: &Dispatch, at: Micros, query: QueryId) -> bool {
    let timer = TimerEvent::AttemptDeadline { query, attempt: 0 };
    dispatch.timers.entries.borrow().contains(&(at, timer))
}

fn progress(query: QueryId, number: u32) -> AttemptProgress {
    AttemptProgress {
        query,
        number,
        progress: Progress::WaitingForMemory,
    }
}

/// A late end of the first attempt is ignored while the second is in flight, and so is a second end
/// of the same attempt.
#[test]
fn each_attempt_ends_once_and_is_retried_under_the_next_number() {
    let (dispatch, upstream) = dispatch(2);
    let exchange = submit(&dispatch, 1, 60_000_000);
    assert!(
        dispatch.submit(&exchange) == Err(RequestIdInUse),
        "the id of an open request is not accepted again"
    );
    dispatch.attempt_ended(end(1, 0, Outcome::ConnectionLost));
    dispatch.attempt_ended(end(1, 0, Outcome::Completed));
    assert!(answer(&exchange).is_none());
    dispatch.attempt_ended(end(1, 1, Outcome::Completed));
    dispatch.attempt_ended(end(1, 1, Outcome::Completed));
    assert!(matches!(answer(&exchange), Some(Answer::Served(_))));
    assert!(answer(&exchange).is_none() && has_no_open_request(&dispatch));
    let again = Exchange::new(request(&dispatch, 1, 60_000_000));
    assert_eq!(
        dispatch.submit(&again),
        Err(RequestIdInUse),
        "the id of a recently closed request is not accepted"
    );
    let sends = upstream.calls("send 1.").len();
    assert_eq!(sends, 2);
}

/// When the client's time is over, the attempt is first cancelled at its engine, then the client
/// gets its one answer. A late result is ignored, and the attempt's timer is removed.
#[test]
fn an_attempt_without_a_result_is_cancelled_before_its_client_is_answered() {
    let (dispatch, upstream) = dispatch(1);
    let exchange = submit(&dispatch, 1, 20_000);
    async_io::block_on(async {
        let answered = async { Some(exchange.answer().await) };
        let timers = async {
            dispatch.run_timers().await;
            None
        };
        assert!(matches!(
            answered.or(timers).await,
            Some(Answer::Rejected { .. })
        ));
    });
    assert_eq!(upstream.last_call(), "cancel 1");
    dispatch.attempt_ended(end(1, 0, Outcome::Completed));
    assert!(
        answer(&exchange).is_none()
            && has_no_open_request(&dispatch)
            && dispatch.timers.entries.borrow().len() < 3
    );
}

/// An attempt that ended only at the end of the client's timeout would be answered too late: the
/// client's own cancel request could arrive first, and the answer would be lost.
#[test]
fn an_attempt_ends_early_enough_for_the_answer_to_arrive() {
    let (dispatch, _) = dispatch(1);
    for (id, client_timeout, allowance) in [(1, 6_000_000, 25_000), (2, 8_000, 2_000)] {
        let exchange = submit(&dispatch, id, client_timeout);
        let at = exchange.request.received + client_timeout - allowance;
        assert!(
            has_timer(&dispatch, at, id),
            "{:?}",
            dispatch.timers.entries.borrow()
        );
    }
}

/// A client waits between requests with the same ordering key, and its stated timeout includes that
/// wait.
#[test]
fn an_ordered_request_ends_earlier_by_what_its_client_may_have_waited() {
    let (dispatch, _) = dispatch(1);
    for (id, client_timeout, allowance) in [(1, 6_000_000, 275_000), (2, 400_000, 100_000)] {
        let mut keyed = request(&dispatch, id, client_timeout);
        keyed.query.ordering_key = Some(7 + id);
        let exchange = Exchange::new(keyed);
        assert_eq!(dispatch.submit(&exchange), Ok(()));
        let at = exchange.request.received + client_timeout - allowance;
        assert!(
            has_timer(&dispatch, at, id),
            "{:?}",
            dispatch.timers.entries.borrow()
        );
    }
}

#[test]
fn a_new_priority_reaches_the_attempt_in_flight_once() {
    let (dispatch, upstream) = dispatch(1);
    let _exchange = submit(&dispatch, 1, 60_000_000);
    for priority in [3, 3, 2] {
        dispatch.carry_out(Action::SetResources {
            query: 1,
            memory_mb: 0.0,
            priority,
        });
    }
    let priorities: Vec<_> = upstream.calls("priority");
    assert_eq!(priorities, ["priority 1 3", "priority 1 2"]);
}

/// A grant that changes while an attempt is in flight does not change that attempt, and the
/// decision module sets the grant of the retry again.
#[test]
fn an_attempt_carries_the_grant_that_is_in_force_when_it_is_sent() {
    let (dispatch, upstream) = dispatch_with(
        2,
        Class::default(),
        Settings {
            memory_grants: true,
            ..Settings::default()
        },
    );
    let mut with_estimate = request(&dispatch, 1, 60_000_000);
    with_estimate.query.estimated_memory_mb = Some(100.0);
    let exchange = Exchange::new(with_estimate);
    assert_eq!(dispatch.submit(&exchange), Ok(()));
    let first = upstream.last_call();
    assert!(
        first.starts_with("send 1.0 ") && first.contains(" with 1"),
        "{first}"
    );
    dispatch.carry_out(Action::SetResources {
        query: 1,
        memory_mb: 333.4,
        priority: 1,
    });
    dispatch.attempt_ended(end(1, 0, Outcome::ConnectionLost));
    let second = upstream.last_call();
    assert!(
        second.starts_with("send 1.1 ") && !second.contains("333"),
        "the decision module sets another grant for the retry: {second}"
    );
}

/// An attempt that waits for memory is cancelled and retried at another engine. Reports for another
/// attempt number or an unknown query are ignored.
#[test]
fn progress_of_the_attempt_in_flight_reaches_the_decisions() {
    let (dispatch, upstream) = dispatch_with(
        2,
        Class::default(),
        Settings {
            progress_period: Some(1_000_000),
            ..Settings::default()
        },
    );
    let _exchange = submit(&dispatch, 1, 60_000_000);
    let sends = |dispatch: &Dispatch| {
        dispatch
            .open
            .borrow()
            .get(&1)
            .map_or(0, |request| request.attempts)
    };
    dispatch.attempt_progressed(progress(1, 7));
    dispatch.attempt_progressed(progress(8, 0));
    assert!(sends(&dispatch) == 1 && !upstream.calls.borrow().iter().any(|n| n == "cancel 1"));
    dispatch.attempt_progressed(progress(1, 0));
    assert!(
        sends(&dispatch) == 2 && upstream.calls.borrow().iter().any(|n| n == "cancel 1"),
        "{:?}",
        upstream.calls.borrow()
    );
}

/// If a retry began after the deduplication window, the query would run a second time, because
/// engines no longer know the first attempt. The window counts from the first attempt that may have
/// run.
#[test]
fn a_retry_begins_within_the_deduplication_window() {
    let window = Some(2_000_000);
    let class = Class {
        idempotency: Idempotency::Deduplicated,
        dedup_window: window,
        ..Class::default()
    };
    let (dispatch, upstream) = dispatch_with(3, class, Settings::default());
    let exchange = submit(&dispatch, 1, 30_000_000);
    dispatch.attempt_ended(end(1, 0, Outcome::ConnectionRefused));
    let before = dispatch.now();
    dispatch.attempt_ended(end(1, 1, Outcome::ConnectionLost));
    let begin_by = upstream.begin_by.borrow().clone();
    assert_eq!(
        begin_by[..2],
        [exchange.request.deadline(); 2],
        "no attempt has run, so only the deadline applies"
    );
    assert!(
        begin_by[2] <= before + 2_000_000 && begin_by[2] >= exchange.request.received + 2_000_000,
        "{begin_by:?}"
    );
}
