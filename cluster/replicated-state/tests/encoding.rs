//! The bytes of commands, outcomes and a whole store, as commit 5065b36 encodes them: replicas of
//! that version and of this one read each other's entries and snapshots.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::fmt::Debug;

use serde::de::DeserializeOwned;
use serde::Serialize;
use violetgate_replicated_state::*;

const FIXTURE: &str = include_str!("fixtures/encoding.hex");

/// The values, in the order of the fixture's lines, each in its encoding; each has to be read back
/// as it was.
#[derive(Default)]
struct Encoded(String);

impl Encoded {
    fn add<T: Serialize + DeserializeOwned + PartialEq + Debug>(&mut self, value: T) {
        let bytes = postcard::to_stdvec(&value).unwrap();
        let back: T = postcard::from_bytes(&bytes).unwrap();
        assert_eq!(back, value);
        self.add_bytes(&bytes);
    }

    fn add_bytes(&mut self, bytes: &[u8]) {
        let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
        self.0 += &(hex + "\n");
    }
}

fn put(key: &str, value: &[u8], lease: Option<u64>) -> Mutation {
    Mutation::Put {
        key: key.to_owned(),
        value: value.to_vec(),
        lease,
    }
}

fn transaction() -> Txn {
    Txn {
        conditions: vec![
            Condition::RevisionIs("settings/limit".to_owned(), 0),
            Condition::ValueIs("duty".to_owned(), vec![1, 255]),
        ],
        then: vec![put("settings/limit", b"300", None), put("duty", b"", None)],
        otherwise: vec![
            Mutation::Delete("duty".to_owned()),
            put("duty", b"two", Some(7)),
        ],
    }
}

/// One command of each kind, applied in this order by the fixture's store.
fn commands() -> Vec<Command> {
    let hung = Txn {
        conditions: vec![
            Condition::RevisionIs("settings/limit".to_owned(), 0),
            Condition::ValueIs("duty".to_owned(), b"two".to_vec()),
        ],
        then: vec![
            put("hung/a", b"x", Some(7)),
            put("hung/b", b"y", Some(8)),
            put("settings/limit", b"300", None),
        ],
        otherwise: vec![],
    };
    let steps = [
        Operation::GrantLease { id: 7, ttl: 50_000 },
        Operation::GrantLease { id: 8, ttl: 9 },
        Operation::Txn(transaction()),
        Operation::Txn(hung),
        Operation::Txn(transaction()),
        Operation::ExpireLease {
            id: 8,
            expires_at: 1_019,
        },
        Operation::RevokeLease(7),
        Operation::RevokeLease(99),
        Operation::Compact(2),
        Operation::Compact(1 << 33),
    ];
    steps
        .into_iter()
        .zip(0u64..)
        .map(|(step, n)| Command {
            request_id: (n % 2 == 0).then(|| format!("request-{n}")),
            actor: format!("operator {n}"),
            time: 1_007 + 3 * n,
            operation: step,
        })
        .collect()
}

fn outcomes() -> Vec<Outcome> {
    let mut store = Store::default();
    let mut outcomes: Vec<_> = commands().iter().map(|c| store.apply(c)).collect();
    outcomes.push(Outcome::Rejected(CommandError::TooLarge));
    outcomes.push(Outcome::Rejected(CommandError::StoreFull));
    outcomes
}

#[test]
fn values_are_encoded_as_in_the_fixture() {
    let mut encoded = Encoded::default();
    let mut store = Store::default();
    for command in commands() {
        store.apply(&command);
        encoded.add(command);
        encoded.add_bytes(&store.to_snapshot());
        assert_eq!(Store::from_snapshot(&store.to_snapshot()).unwrap(), store);
    }
    outcomes().into_iter().for_each(|o| encoded.add(o));
    for change in store.changes(2, "", 100).unwrap() {
        encoded.add(change);
    }
    assert_eq!(encoded.0, FIXTURE);
}

/// What the old version saved is read, and holds what it held.
#[test]
fn a_stored_snapshot_is_read_with_all_that_it_holds() {
    // The last snapshot stands before the outcomes: after ten commands, each followed by the
    // store.
    let hex = FIXTURE.lines().nth(19).unwrap();
    let bytes: Vec<u8> = (0..hex.len() / 2)
        .map(|n| u8::from_str_radix(hex.get(2 * n..2 * n + 2).unwrap(), 16).unwrap())
        .collect();
    let loaded = Store::from_snapshot(&bytes).unwrap();
    let mut store = Store::default();
    for command in commands() {
        store.apply(&command);
    }
    assert_eq!(loaded, store);
    assert_eq!(loaded.revision(), 5);
    let listing = loaded.list("", None, None, 10).unwrap();
    let limit = KeyValue {
        key: "settings/limit".to_owned(),
        revision: 2,
        value: b"300".to_vec(),
    };
    assert_eq!(listing.entries, [limit]);
    assert_eq!(
        loaded.outcome("request-2"),
        Some(&Outcome::Applied {
            revision: 1,
            conditions_held: false
        })
    );
    assert_eq!(loaded.expired_leases(u64::MAX), []);
}
