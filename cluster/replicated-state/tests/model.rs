//! The store against a plain model that keeps every state it ever had.
#![allow(clippy::unwrap_used, clippy::indexing_slicing)]

use std::collections::BTreeMap;

use proptest::prelude::*;
use violetgate_replicated_state::*;

type State = BTreeMap<String, Vec<u8>>;

fn txn(then: Vec<Op>) -> Txn {
    Txn {
        then,
        ..Txn::default()
    }
}

fn command(step: Step) -> Command {
    Command {
        request: None,
        who: "op".to_owned(),
        time: 0,
        step,
    }
}

fn put(key: &str, value: u8) -> Op {
    Op::Put {
        key: key.to_owned(),
        value: vec![value],
        lease: None,
    }
}

fn op() -> impl Strategy<Value = Op> {
    let key = "[ab]{1,2}";
    prop_oneof![
        3 => (key, any::<u8>()).prop_map(|(k, v)| put(&k, v)),
        1 => key.prop_map(Op::Delete),
    ]
}

proptest! {
    /// Every revision that can be read is as it was, page by page, whatever is written between the pages; watches
    /// miss nothing and tell what is compacted away; a saved store is the same store.
    #[test]
    fn every_revision_stays_as_it_was(
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
            store.apply(&command(Step::Txn(txn(ops.clone()))));
            let mut state = states.last().unwrap().clone();
            let mut changed = false;
            for op in ops {
                changed |= match op {
                    Op::Put { key, value, .. } => { state.insert(key, value); true }
                    Op::Delete(key) => state.remove(&key).is_some(),
                };
            }
            if changed {
                states.push(state);
            }
            prop_assert_eq!(store.revision(), states.len() as u64 - 1);
            let mut listed = State::new();
            loop {
                prop_assert!(page.entries.len() <= limit && page.revision == at);
                listed.extend(page.entries.iter().map(|(k, _, v)| (k.clone(), v.clone())));
                let Some(next) = page.next else { break };
                page = store.list("a", Some(at), Some(&next), limit).unwrap();
            }
            let then: State = states[at as usize].iter().filter(|(k, _)| k.starts_with('a')).map(|(k, v)| (k.clone(), v.clone())).collect();
            prop_assert_eq!(listed, then);
            if what == 0 {
                // Up to somewhere behind: what a watcher has not seen yet may go, and it is told.
                first = first.max(store.revision().saturating_sub(limit as u64));
                store.apply(&command(Step::Compact(first)));
            }
            if what < 5 {
                match store.changes(watched, "", limit) {
                    Ok(changes) => for c in changes {
                        watched = c.revision;
                        match c.value { Some(v) => seen.insert(c.key, v), None => seen.remove(&c.key) };
                    },
                    Err(Compacted { first }) => {
                        prop_assert!(watched < first);
                        let all = store.list("", None, None, usize::MAX).unwrap();
                        watched = all.revision;
                        seen = all.entries.into_iter().map(|(k, _, v)| (k, v)).collect();
                    }
                }
                prop_assert_eq!(&seen, &states[watched as usize]);
            }
            for back in 0..states.len() as u64 {
                let read = store.list("", Some(back), None, usize::MAX);
                if back < first {
                    prop_assert_eq!(read, Err(Compacted { first }));
                } else {
                    let read: State = read.unwrap().entries.into_iter().map(|(k, _, v)| (k, v)).collect();
                    prop_assert_eq!(&read, &states[back as usize]);
                }
            }
            prop_assert_eq!(&Store::load(&store.save()).unwrap(), &store);
        }
    }

    /// What is no saved store is an error.
    #[test]
    fn noise_is_no_store(bytes in proptest::collection::vec(any::<u8>(), 0..60)) {
        prop_assert!(Store::load(&bytes).is_err());
    }
}

/// A transaction is all or nothing under its conditions; of two that compare and set, one wins.
#[test]
fn of_two_that_compare_and_set_one_wins() {
    let mut store = Store::default();
    let set = |seen, value| {
        let checks = vec![Check::Changed("limit".to_owned(), seen)];
        command(Step::Txn(Txn {
            checks,
            then: vec![put("limit", value), put("by", value)],
            otherwise: vec![],
        }))
    };
    assert_eq!(
        store.apply(&set(0, 1)),
        Outcome::Done {
            revision: 1,
            held: true
        }
    );
    assert_eq!(
        store.apply(&set(0, 2)),
        Outcome::Done {
            revision: 1,
            held: false
        }
    );
    assert_eq!(store.get("by"), Some((1, &vec![1])));
    assert_eq!(
        store.apply(&set(1, 3)),
        Outcome::Done {
            revision: 2,
            held: true
        }
    );
    let large = Op::Put {
        key: "x".to_owned(),
        value: vec![0; MAX_VALUE + 1],
        lease: None,
    };
    let refused = store.apply(&command(Step::Txn(txn(vec![put("y", 1), large]))));
    assert_eq!(
        (refused, store.get("y")),
        (Outcome::Refused(Refused::TooLarge), None)
    );
}

/// The same request again gets the same outcome and changes nothing, though the state has moved on.
#[test]
fn a_request_is_carried_out_once() {
    let mut store = Store::default();
    let mut first = command(Step::Txn(txn(vec![put("a", 1)])));
    first.request = Some("r-1".to_owned());
    let outcome = store.apply(&first);
    store.apply(&command(Step::Txn(txn(vec![put("a", 2)]))));
    assert_eq!(store.apply(&first), outcome);
    assert_eq!(store.get("a"), Some((2, &vec![2])));
    let mut loaded = Store::load(&store.save()).unwrap();
    assert_eq!(loaded.apply(&first), outcome, "also after a snapshot");
}

/// A lease that has run out takes its keys along; one renewed since it was seen to end stays; time never goes back.
#[test]
fn a_lease_takes_its_keys_along() {
    let mut store = Store::default();
    let at = |time, step| Command {
        time,
        ..command(step)
    };
    store.apply(&at(100, Step::Lease { id: 7, span: 50 }));
    let hung = Op::Put {
        key: "duty".to_owned(),
        value: vec![1],
        lease: Some(7),
    };
    store.apply(&at(
        110,
        Step::Txn(txn(vec![hung.clone(), put("other", 1)])),
    ));
    assert!(store.run_out(149).is_empty());
    let seen = store.run_out(150);
    assert_eq!(seen, [Step::Expire { id: 7, ends: 150 }]);
    store.apply(&at(140, Step::Lease { id: 7, span: 50 }));
    assert_eq!(
        store.apply(&at(160, seen[0].clone())),
        Outcome::Done {
            revision: 1,
            held: false
        }
    );
    assert!(store.get("duty").is_some());
    // A new leader whose clock is behind: its renewal counts from the store's time.
    store.apply(&at(5, Step::Lease { id: 7, span: 50 }));
    assert_eq!(store.run_out(210), [Step::Expire { id: 7, ends: 210 }]);
    store.apply(&at(210, Step::Expire { id: 7, ends: 210 }));
    assert_eq!(
        (store.get("duty"), store.get("other")),
        (None, Some((1, &vec![1])))
    );
    assert_eq!(
        store.apply(&at(211, Step::Txn(txn(vec![hung])))),
        Outcome::Refused(Refused::NoLease(7))
    );
}
