//! Tests of requests that repeat an idempotency key under another request id.

use super::*;

const WINDOW_US: Micros = 2_000_000;
const TIMEOUT_US: Micros = 30_000_000;

fn dispatch_deduplicated(engines: u32) -> (Rc<Dispatch>, Rc<RecordingEngines>) {
    let class = Class {
        idempotency: Idempotency::Deduplicated,
        dedup_window: Some(WINDOW_US),
        ..Class::default()
    };
    dispatch_with(engines, class, Settings::default())
}

fn submit_keyed(dispatch: &Dispatch, id: QueryId, key: &str) -> Rc<Exchange> {
    let mut keyed = request(dispatch, id, TIMEOUT_US);
    keyed.idempotency_key = Some(key.into());
    let exchange = Exchange::new(keyed);
    assert_eq!(dispatch.submit(&exchange), Ok(()));
    exchange
}

fn key_count(dispatch: &Dispatch) -> usize {
    let (keys, expiries) = dispatch.sent_keys.borrow().sizes();
    assert!(expiries <= keys);
    keys
}

/// Guards against a repeat that begins after engines have forgotten the first attempt of its key,
/// which another request made. Its client has gone, and the attempt's end is not known.
#[test]
fn a_repeat_begins_within_the_window_of_the_earlier_request() {
    for outcome in [
        None,
        Some(Outcome::ConnectionLost),
        Some(Outcome::Completed),
    ] {
        let (dispatch, upstream) = dispatch_deduplicated(3);
        let before = dispatch.now();
        submit_keyed(&dispatch, 1, "k");
        let sent_by = dispatch.now();
        dispatch.withdraw(1);
        if let Some(outcome) = outcome {
            dispatch.attempt_ended(end(1, 0, outcome));
        }
        submit_keyed(&dispatch, 2, "k");
        submit_keyed(&dispatch, 3, "other");
        let begin_by = upstream.begin_by.borrow().clone();
        assert!(
            (before + WINDOW_US..=sent_by + WINDOW_US).contains(&begin_by[1]),
            "{outcome:?}: {begin_by:?}"
        );
        assert!(begin_by[2] > begin_by[1] + WINDOW_US, "another key");
    }
}

/// Guards against a repeat that is refused because of an attempt that never ran, and against keys
/// that are remembered for ever.
#[test]
fn a_key_is_forgotten_when_no_attempt_of_it_ran() {
    let (dispatch, upstream) = dispatch_deduplicated(1);
    submit_keyed(&dispatch, 1, "k");
    dispatch.withdraw(1);
    assert_eq!(key_count(&dispatch), 1, "the attempt is still out");
    dispatch.attempt_ended(end(1, 0, Outcome::ConnectionRefused));
    assert_eq!(key_count(&dispatch), 0);
    let exchange = submit_keyed(&dispatch, 2, "k");
    let begin_by = *upstream.begin_by.borrow().last().unwrap();
    assert_eq!(begin_by, exchange.request.deadline());
}

/// Guards against keys that are remembered for ever, and against a repeat that runs after the window
/// of the first attempt because a later one is remembered for longer.
#[test]
fn a_key_is_remembered_until_its_last_attempt_is_forgotten() {
    let run = |sent_at| PossibleRun {
        location: EngineLocation { zone: 0, cell: 0 },
        sent_at,
    };
    let mut keys = SentKeys::default();
    for (query, sent_at) in [(1, 10), (2, 50)] {
        keys.open("k", query).unwrap();
        keys.sent("k", query, run(sent_at));
        keys.closed("k", query);
        keys.may_have_run("k", query, sent_at + 100);
    }
    assert_eq!(keys.earlier_run("k", 149), Some(run(10)));
    assert_eq!(keys.earlier_run("k", 150), None);
    assert_eq!(keys.sizes(), (0, 0));
}

/// Guards against requests that wait while another one of their key is sent, and are then sent
/// without regard to it.
#[test]
fn an_open_request_learns_of_an_attempt_of_its_key() {
    let (dispatch, _) = dispatch_deduplicated(0);
    submit_keyed(&dispatch, 1, "k");
    let waiting = submit_keyed(&dispatch, 2, "k");
    let engine = Engine {
        id: 0,
        zone: 0,
        kind: 0,
        cell: 0,
        state: EngineState::Ready,
        started: None,
    };
    let addr = SocketAddr::from(([127, 0, 0, 1], 1));
    dispatch.update_engines(ListScope::Snapshot, &[ListedEngine { engine, addr }]);
    let start = dispatch.open.borrow()[&2].dedup_window_start;
    assert!(start.is_some_and(|start| start >= waiting.request.received));
}

/// Guards against a rejection of a request whose earlier attempt may have run. Its client would send
/// it to another instance, which doesn't know of that attempt.
#[test]
fn a_repeat_is_not_told_to_go_elsewhere_at_the_end_of_the_process() {
    let (dispatch, _) = dispatch_deduplicated(1);
    submit_keyed(&dispatch, 1, "k");
    dispatch.withdraw(1);
    dispatch.shut_down();
    let repeated = submit_keyed(&dispatch, 2, "k");
    assert!(matches!(answer(&repeated), Some(Answer::Failed)));
    let other = submit_keyed(&dispatch, 3, "other");
    assert!(matches!(answer(&other), Some(Answer::ShuttingDown)));
}

/// Guards against a client that is told to try again although engines have forgotten its request.
#[test]
fn a_repeat_after_the_window_is_told_that_the_outcome_is_unknown() {
    let (dispatch, upstream) = dispatch_deduplicated(1);
    submit_keyed(&dispatch, 1, "k");
    dispatch.withdraw(1);
    let long_ago = dispatch.now() - WINDOW_US;
    let run = PossibleRun {
        location: EngineLocation { zone: 0, cell: 0 },
        sent_at: long_ago,
    };
    dispatch.sent_keys.borrow_mut().sent("k", 1, run);
    let repeated = submit_keyed(&dispatch, 2, "k");
    assert!(matches!(answer(&repeated), Some(Answer::OutcomeUnknown)));
    assert!(upstream.calls("send 2").is_empty());
}
