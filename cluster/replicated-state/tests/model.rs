//! The store against a plain model that keeps every state it ever had.
#![allow(clippy::unwrap_used, clippy::indexing_slicing)]

use std::collections::BTreeMap;

use proptest::prelude::*;
use violetgate_replicated_state::*;

type State = BTreeMap<String, Vec<u8>>;

fn txn(then: Vec<Mutation>) -> Txn {
    Txn {
        then,
        ..Txn::default()
    }
}

fn command(step: Operation) -> Command {
    Command {
        request_id: None,
        actor: "op".to_owned(),
        time: 0,
        operation: step,
    }
}

fn put(key: &str, value: u8) -> Mutation {
    Mutation::Put {
        key: key.to_owned(),
        value: vec![value],
        lease: None,
    }
}

fn current(revision: Revision, value: &[u8]) -> Option<CurrentValue<'_>> {
    Some(CurrentValue { revision, value })
}

fn op() -> impl Strategy<Value = Mutation> {
    let key = "[ab]{1,2}";
    prop_oneof![
        3 => (key, any::<u8>()).prop_map(|(k, v)| put(&k, v)),
        1 => key.prop_map(Mutation::Delete),
    ]
}

proptest! {
    /// Every revision that can be read is as it was, page by page, whatever is written between the
    /// pages; watches miss nothing and report what is compacted away; a decoded snapshot is the
    /// same store.
    #[test]
    fn every_revision_reads_as_it_was(
        steps in proptest::collection::vec((proptest::collection::vec(op(), 1..4), 0u8..8, 1usize..4), 1..60),
    ) {
        let mut store = Store::default();
        let mut states: Vec<State> = vec![State::new()];
        let (mut seen, mut watched) = (State::new(), 0);
        let mut first = 0;
        for (ops, what, limit) in steps {
            let at = states.len() as u64 - 1;
            // A listing begins here and goes on after the change.
            let mut page = store.list("a", None, None, limit).unwrap();
            prop_assert_eq!(page.revision, at);
            store.apply(&command(Operation::Txn(txn(ops.clone()))));
            let mut state = states.last().unwrap().clone();
            let mut changed = false;
            for op in ops {
                changed |= match op {
                    Mutation::Put { key, value, .. } => { state.insert(key, value); true }
                    Mutation::Delete(key) => state.remove(&key).is_some(),
                };
            }
            if changed {
                states.push(state);
            }
            prop_assert_eq!(store.revision(), states.len() as u64 - 1);
            let mut listed = State::new();
            loop {
                prop_assert!(page.entries.len() <= limit && page.revision == at);
                listed.extend(page.entries.iter().map(|e| (e.key.clone(), e.value.clone())));
                let Some(next) = page.next else { break };
                page = store.list("a", Some(at), Some(&next), limit).unwrap();
            }
            let then: State = states[at as usize].iter().filter(|(k, _)| k.starts_with('a')).map(|(k, v)| (k.clone(), v.clone())).collect();
            prop_assert_eq!(listed, then);
            if what == 0 {
                // What a watcher has not seen yet may be compacted away, and it learns of that.
                first = first.max(store.revision().saturating_sub(limit as u64));
                store.apply(&command(Operation::Compact(first)));
            }
            if what < 5 {
                match store.changes(watched, "", limit) {
                    Ok(changes) => for c in changes {
                        watched = c.revision;
                        match c.value { Some(v) => seen.insert(c.key, v), None => seen.remove(&c.key) };
                    },
                    Err(Compacted { first_revision: first }) => {
                        prop_assert!(watched < first);
                        let all = store.list("", None, None, usize::MAX).unwrap();
                        watched = all.revision;
                        seen = all.entries.into_iter().map(|e| (e.key, e.value)).collect();
                    }
                }
                prop_assert_eq!(&seen, &states[watched as usize]);
            }
            for back in 0..states.len() as u64 {
                let read = store.list("", Some(back), None, usize::MAX);
                if back < first {
                    prop_assert_eq!(read, Err(Compacted { first_revision: first }));
                } else {
                    let read: State = read.unwrap().entries.into_iter().map(|e| (e.key, e.value)).collect();
                    prop_assert_eq!(&read, &states[back as usize]);
                }
            }
            prop_assert_eq!(&Store::from_snapshot(&store.to_snapshot()).unwrap(), &store);
        }
    }

    /// Bytes that are no snapshot are an error.
    #[test]
    fn random_bytes_are_no_snapshot(bytes in proptest::collection::vec(any::<u8>(), 0..60)) {
        prop_assert!(Store::from_snapshot(&bytes).is_err());
    }
}

/// A transaction makes all of its changes or none.
#[test]
fn of_two_that_compare_and_swap_one_wins() {
    let mut store = Store::default();
    let set = |seen, value| {
        let checks = vec![Condition::RevisionIs("limit".to_owned(), seen)];
        command(Operation::Txn(Txn {
            conditions: checks,
            then: vec![put("limit", value), put("by", value)],
            otherwise: vec![],
        }))
    };
    assert_eq!(
        store.apply(&set(0, 1)),
        Outcome::Applied {
            revision: 1,
            conditions_held: true
        }
    );
    assert_eq!(
        store.apply(&set(0, 2)),
        Outcome::Applied {
            revision: 1,
            conditions_held: false
        }
    );
    assert_eq!(store.get("by"), current(1, &[1]));
    assert_eq!(
        store.apply(&set(1, 3)),
        Outcome::Applied {
            revision: 2,
            conditions_held: true
        }
    );
    let large = Mutation::Put {
        key: "x".to_owned(),
        value: vec![0; MAX_VALUE_BYTES + 1],
        lease: None,
    };
    let refused = store.apply(&command(Operation::Txn(txn(vec![put("y", 1), large]))));
    assert_eq!(
        (refused, store.get("y")),
        (Outcome::Rejected(CommandError::TooLarge), None)
    );
}

/// A repeated request gets the same outcome and changes nothing, though others came in between.
#[test]
fn a_repeated_request_is_carried_out_once() {
    let mut store = Store::default();
    let mut first = command(Operation::Txn(txn(vec![put("a", 1)])));
    first.request_id = Some("r-1".to_owned());
    let outcome = store.apply(&first);
    store.apply(&command(Operation::Txn(txn(vec![put("a", 2)]))));
    assert_eq!(store.apply(&first), outcome);
    assert_eq!(store.get("a"), current(2, &[2]));
    let mut loaded = Store::from_snapshot(&store.to_snapshot()).unwrap();
    assert_eq!(loaded.apply(&first), outcome, "also after a snapshot");
}

/// An expired lease deletes its keys; one renewed since its expiry was seen is not ended; time
/// never goes back.
#[test]
fn an_expired_lease_deletes_its_keys() {
    let mut store = Store::default();
    let at = |time, step| Command {
        time,
        ..command(step)
    };
    store.apply(&at(100, Operation::GrantLease { id: 7, ttl: 50 }));
    let hung = Mutation::Put {
        key: "duty".to_owned(),
        value: vec![1],
        lease: Some(7),
    };
    store.apply(&at(
        110,
        Operation::Txn(txn(vec![hung.clone(), put("other", 1)])),
    ));
    assert!(store.expired_leases(149).is_empty());
    let seen = store.expired_leases(150);
    assert_eq!(
        seen,
        [Operation::ExpireLease {
            id: 7,
            expires_at: 150
        }]
    );
    store.apply(&at(140, Operation::GrantLease { id: 7, ttl: 50 }));
    assert_eq!(
        store.apply(&at(160, seen[0].clone())),
        Outcome::Applied {
            revision: 1,
            conditions_held: false
        }
    );
    assert!(store.get("duty").is_some());
    // A new leader whose clock is behind: its renewal counts from the store's time.
    store.apply(&at(5, Operation::GrantLease { id: 7, ttl: 50 }));
    assert_eq!(
        store.expired_leases(210),
        [Operation::ExpireLease {
            id: 7,
            expires_at: 210
        }]
    );
    store.apply(&at(
        210,
        Operation::ExpireLease {
            id: 7,
            expires_at: 210,
        },
    ));
    assert_eq!(
        (store.get("duty"), store.get("other")),
        (None, current(1, &[1]))
    );
    assert_eq!(
        store.apply(&at(211, Operation::Txn(txn(vec![hung])))),
        Outcome::Rejected(CommandError::UnknownLease(7))
    );
}
