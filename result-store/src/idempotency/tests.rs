#![allow(clippy::indexing_slicing, reason = "a failed step fails the test")]

use super::*;

const WINDOW: Micros = 12_000_000;
const FINGERPRINT: RequestFingerprint = [1; 16];
const OTHER_FINGERPRINT: RequestFingerprint = [2; 16];

/// Creates a table for two keys with two waiters each.
fn small_table() -> IdempotencyKeys<u32, &'static str> {
    IdempotencyKeys::new(2, 2, 0)
}

fn begin(
    keys: &mut IdempotencyKeys<u32, &'static str>,
    now: Micros,
    key: &str,
    waiter: u32,
) -> KeyLookup<&'static str> {
    keys.begin(now, key, FINGERPRINT, WINDOW, waiter)
}

/// While a request is in flight, repeats join it up to the limit of waiters. After it has
/// completed, they get its answer until the window has passed. Then the key is free again.
#[test]
fn repeat_joins_then_replays_then_executes_again() {
    let mut keys = small_table();
    assert_eq!(begin(&mut keys, 0, "a", 1), KeyLookup::Execute);
    assert_eq!(begin(&mut keys, 1, "a", 2), KeyLookup::JoinInFlight);
    assert_eq!(
        begin(&mut keys, 1, "a", 3),
        KeyLookup::Full { retry_after: 0 }
    );
    assert_eq!(
        keys.begin(1, "a", OTHER_FINGERPRINT, WINDOW, 3),
        KeyLookup::KeyConflict
    );
    assert_eq!(
        keys.finish(5, "a", ExecutionOutcome::Completed("rows")),
        [1, 2]
    );
    assert_eq!(
        begin(&mut keys, WINDOW + 4, "a", 4),
        KeyLookup::Replay("rows")
    );
    assert_eq!(
        keys.begin(WINDOW + 4, "a", OTHER_FINGERPRINT, WINDOW, 4),
        KeyLookup::KeyConflict
    );
    assert_eq!(begin(&mut keys, WINDOW + 5, "a", 5), KeyLookup::Execute);
}

/// A rejection frees the key at once. After an unknown outcome, a repeat executes only while
/// engines discard a second execution. A rejection of the second execution does not free the key,
/// because the first one may have taken effect.
#[test]
fn unknown_outcome_is_executed_again_only_within_the_window() {
    let mut keys = small_table();
    begin(&mut keys, 0, "a", 1);
    keys.finish(1, "a", ExecutionOutcome::NoEffect);
    assert!(keys.is_empty());
    begin(&mut keys, 10, "a", 1);
    assert_eq!(
        keys.finish(WINDOW - 10, "a", ExecutionOutcome::Unknown),
        [1]
    );
    assert_eq!(begin(&mut keys, WINDOW - 5, "a", 2), KeyLookup::Execute);
    assert_eq!(
        keys.finish(WINDOW - 4, "a", ExecutionOutcome::NoEffect),
        [2]
    );
    assert_eq!(begin(&mut keys, WINDOW + 9, "a", 3), KeyLookup::Execute);
    keys.finish(WINDOW + 9, "a", ExecutionOutcome::Unknown);
    assert_eq!(
        begin(&mut keys, WINDOW + 10, "a", 4),
        KeyLookup::OutcomeUnknown
    );
    assert_eq!(begin(&mut keys, 2 * WINDOW + 9, "a", 4), KeyLookup::Execute);
}

/// The execution continues while at least one request waits for it. When the last waiter abandons
/// it, it is cancelled, and its outcome is unknown.
#[test]
fn last_waiter_to_abandon_cancels_the_execution() {
    let mut keys = small_table();
    begin(&mut keys, 0, "a", 1);
    begin(&mut keys, 0, "a", 2);
    assert!(!keys.abandon(1, "a", &1) && !keys.abandon(1, "a", &1) && !keys.abandon(1, "b", &2));
    assert!(keys.abandon(2, "a", &2) && !keys.abandon(2, "a", &2));
    assert!(keys
        .finish(3, "a", ExecutionOutcome::Completed("late"))
        .is_empty());
    assert_eq!(begin(&mut keys, 4, "a", 3), KeyLookup::Execute);
}

/// A full table rejects a new key, reports when a retry may succeed, and evicts no key in use.
#[test]
fn full_table_rejects_new_keys_and_evicts_none() {
    let mut keys = small_table();
    begin(&mut keys, 0, "a", 1);
    begin(&mut keys, 0, "b", 2);
    keys.finish(0, "b", ExecutionOutcome::Completed("b"));
    let KeyLookup::Full { retry_after } = begin(&mut keys, 1, "c", 3) else {
        unreachable!("a full table accepted a new key")
    };
    assert!(retry_after <= WINDOW + 2_000);
    assert_eq!(begin(&mut keys, WINDOW - 1, "b", 4), KeyLookup::Replay("b"));
    assert_eq!(begin(&mut keys, 3 * WINDOW, "c", 5), KeyLookup::Execute);
    assert_eq!(
        begin(&mut keys, 3 * WINDOW, "a", 6),
        KeyLookup::JoinInFlight
    );
}

/// Guards against a request that is told to try elsewhere although an earlier one with its key may
/// have taken effect.
#[test]
fn only_a_first_execution_that_has_just_begun_surely_had_no_effect() {
    let mut keys = small_table();
    assert!(!keys.may_have_taken_effect("a", &1), "an unknown key");
    begin(&mut keys, 0, "a", 1);
    assert!(!keys.may_have_taken_effect("a", &1));
    assert!(keys.may_have_taken_effect("a", &2), "request 1 runs");
    keys.finish(1, "a", ExecutionOutcome::Unknown);
    assert!(keys.may_have_taken_effect("a", &3));
    assert_eq!(begin(&mut keys, 2, "a", 3), KeyLookup::Execute);
    assert!(keys.may_have_taken_effect("a", &3), "the second execution");
    keys.finish(3, "a", ExecutionOutcome::Completed("rows"));
    assert!(keys.may_have_taken_effect("a", &4));
}
