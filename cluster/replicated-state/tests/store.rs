//! Tests of single cases of the store: transactions, idempotency and leases.
#![allow(
    clippy::unwrap_used,
    clippy::indexing_slicing,
    reason = "a test fails by panicking"
)]

use violetgate_replicated_state::*;

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

/// Of two transactions that expect the same revision only the first changes the store. If one
/// change of a transaction is rejected, none of them is made.
#[test]
fn only_one_of_two_conflicting_transactions_is_applied() {
    let mut store = Store::default();
    let set = |expected, value| {
        let checks = vec![Condition::RevisionIs("limit".to_owned(), expected)];
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
    let rejected = store.apply(&command(Operation::Txn(txn(vec![put("y", 1), large]))));
    assert_eq!(
        (rejected, store.get("y")),
        (Outcome::Rejected(CommandError::TooLarge), None)
    );
}

/// A repeated request gets the outcome of the first one and changes nothing, even if another
/// request changed the same key in between, and after the store was loaded from a snapshot.
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
    assert_eq!(
        loaded.apply(&first),
        outcome,
        "a store loaded from a snapshot must remember the outcome"
    );
}

/// The expiry of a lease deletes the keys that are attached to it. A lease that was renewed after
/// the leader saw its expiry does not end. The store's time never goes back.
#[test]
fn an_expired_lease_deletes_its_keys() {
    let mut store = Store::default();
    let at = |time, step| Command {
        time,
        ..command(step)
    };
    store.apply(&at(100, Operation::GrantLease { id: 7, ttl: 50 }));
    let attached = Mutation::Put {
        key: "duty".to_owned(),
        value: vec![1],
        lease: Some(7),
    };
    store.apply(&at(
        110,
        Operation::Txn(txn(vec![attached.clone(), put("other", 1)])),
    ));
    assert!(store.expired_leases(149).is_empty());
    let expiries = store.expired_leases(150);
    assert_eq!(
        expiries,
        [Operation::ExpireLease {
            id: 7,
            expires_at: 150
        }]
    );
    store.apply(&at(140, Operation::GrantLease { id: 7, ttl: 50 }));
    assert_eq!(
        store.apply(&at(160, expiries[0].clone())),
        Outcome::Applied {
            revision: 1,
            conditions_held: false
        }
    );
    assert!(store.get("duty").is_some());
    // The clock of a new leader is behind. The renewal counts from the store's time.
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
        store.apply(&at(211, Operation::Txn(txn(vec![attached])))),
        Outcome::Rejected(CommandError::UnknownLease(7))
    );
}
