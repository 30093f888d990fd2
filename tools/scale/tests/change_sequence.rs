//! Tests of the check that a gateway applies all changes in order and once each, on state made up
//! by the tests.
#![allow(
    missing_docs,
    clippy::unwrap_used,
    reason = "a failed step fails the test"
)]

use std::collections::BTreeMap;

use violetgate_replicated_state::{CurrentValue, Entries, KeyValue, Revision};
use violetgate_scale::lightweight_gateway::change_sequence::{
    change_key, change_transaction, SequenceChecker, SequenceDigest, SequenceFaults, LATEST_KEY,
    RETAINED_CHANGES,
};

/// The replicated state of one gateway.
#[derive(Default, Clone)]
struct State {
    revision: Revision,
    entries: BTreeMap<String, (Revision, Vec<u8>)>,
}

impl Entries for State {
    fn revision(&self) -> Revision {
        self.revision
    }

    fn entry(&self, key: &str) -> Option<CurrentValue<'_>> {
        self.entries.get(key).map(|(revision, value)| CurrentValue {
            revision: *revision,
            value,
        })
    }

    fn entries_with_prefix(&self, prefix: &str) -> Vec<KeyValue> {
        let below = self
            .entries
            .iter()
            .filter(|(key, _)| key.starts_with(prefix));
        below
            .map(|(key, (revision, value))| KeyValue {
                key: key.clone(),
                revision: *revision,
                value: value.clone(),
            })
            .collect()
    }
}

impl State {
    /// Applies the transaction of a change, as the API call does.
    fn change(&mut self, number: u64) {
        self.revision += 1;
        for op in change_transaction(number)["then"].as_array().unwrap() {
            if let Some(key) = op["put"].as_str() {
                let value = op["value"].as_str().unwrap().as_bytes().to_vec();
                self.entries.insert(key.to_owned(), (self.revision, value));
            } else {
                self.entries.remove(op["delete"].as_str().unwrap());
            }
        }
    }

    fn with_changes(numbers: impl IntoIterator<Item = u64>) -> Self {
        let mut state = State::default();
        numbers.into_iter().for_each(|number| state.change(number));
        state
    }
}

fn faults(missing: u64, duplicated: u64, out_of_order: u64) -> SequenceFaults {
    SequenceFaults {
        missing,
        duplicated,
        out_of_order,
    }
}

/// A gateway that applies each change singly and one that applies several at once record the same
/// sequence with the same digest.
#[test]
fn changes_applied_singly_or_batched_give_one_sequence() {
    let (mut single, mut batched) = (SequenceChecker::default(), SequenceChecker::default());
    let mut state = State::default();
    for number in 1..=20 {
        state.change(number);
        single.on_applied(&state);
        if number == 1 || number % 7 == 0 || number == 20 {
            batched.on_applied(&state);
        }
    }
    assert_eq!(single.sequence(), batched.sequence());
    assert_eq!((single.sequence().first, single.sequence().last), (1, 20));
    assert_eq!(
        (single.faults(), batched.faults()),
        (faults(0, 0, 0), faults(0, 0, 0))
    );
    let mut expected = SequenceDigest::default();
    (1..=20).for_each(|number| expected.add(number, number));
    assert_eq!(single.sequence().digest, expected);
}

/// A gateway that starts late counts from the oldest change whose key is retained.
#[test]
fn a_late_gateway_begins_with_the_oldest_retained_change() {
    let state = State::with_changes(1..=RETAINED_CHANGES + 10);
    let mut checker = SequenceChecker::default();
    checker.on_applied(&state);
    assert_eq!(
        (checker.sequence().first, checker.sequence().last),
        (11, RETAINED_CHANGES + 10)
    );
    assert_eq!(checker.faults(), faults(0, 0, 0));
}

/// State without changes is not a fault, and neither is a new revision without a new change.
#[test]
fn state_without_changes_is_no_fault() {
    let mut checker = SequenceChecker::default();
    let mut state = State {
        revision: 3,
        ..State::default()
    };
    checker.on_applied(&state);
    assert_eq!((checker.sequence().first, checker.revision()), (0, 3));
    state.change(1);
    checker.on_applied(&state);
    state.revision += 1;
    checker.on_applied(&state);
    assert_eq!(
        (
            checker.sequence().last,
            checker.revision(),
            checker.faults()
        ),
        (1, 5, faults(0, 0, 0))
    );
}

/// Each change whose key is not in the state counts as missing.
#[test]
fn each_missing_change_is_counted() {
    let mut checker = SequenceChecker::default();
    let mut state = State::with_changes(1..=2);
    checker.on_applied(&state);
    state.change(3);
    state.change(4);
    state.change(5);
    state.entries.remove(&change_key(3));
    state.entries.remove(&change_key(4));
    checker.on_applied(&state);
    assert_eq!(checker.faults(), faults(2, 0, 0));
}

/// A change that is applied again under a later revision counts as duplicated.
#[test]
fn a_change_applied_again_counts_as_duplicated() {
    let mut checker = SequenceChecker::default();
    let mut state = State::with_changes(1..=3);
    checker.on_applied(&state);
    state.change(3);
    checker.on_applied(&state);
    assert_eq!(checker.faults(), faults(0, 1, 0));
}

/// State with a lower revision or a lower change number than before is out of order. Changes whose
/// revisions are not in the order of their numbers are too.
#[test]
fn state_that_goes_back_is_out_of_order() {
    let mut checker = SequenceChecker::default();
    let old = State::with_changes(1..=3);
    let new = State::with_changes(1..=5);
    checker.on_applied(&new);
    checker.on_applied(&old);
    assert_eq!(checker.faults(), faults(0, 0, 2));
    let mut swapped = State::with_changes([1, 3, 2]);
    swapped
        .entries
        .insert(LATEST_KEY.to_owned(), (3, b"3".to_vec()));
    let mut checker = SequenceChecker::default();
    checker.on_applied(&swapped);
    assert_eq!(checker.faults(), faults(0, 0, 1));
}

/// Digests differ if a revision, a number, the order or the length differs.
#[test]
fn digests_of_different_sequences_differ() {
    let digest = |changes: &[(u64, u64)]| {
        let mut digest = SequenceDigest::default();
        changes
            .iter()
            .for_each(|(number, revision)| digest.add(*number, *revision));
        digest
    };
    let base = digest(&[(1, 4), (2, 5)]);
    for other in [
        &[(2, 5), (1, 4)][..],
        &[(1, 4), (2, 6)],
        &[(1, 4)],
        &[(1, 4), (2, 5), (3, 6)],
    ] {
        assert_ne!(digest(other), base, "{other:?}");
    }
}
