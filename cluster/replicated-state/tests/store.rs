//! The store case by case: transactions, idempotency and leases.
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
