//! Checks that commands, outcomes and a whole store are encoded to the same bytes as by commit
//! 5065b36. Replicas of that version and of this one have to read each other's log entries and
//! snapshots.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::fmt::Debug;

use serde::de::DeserializeOwned;
use serde::Serialize;
use violetgate_replicated_state::*;

const FIXTURE: &str = include_str!("fixtures/encoding.hex");

/// The encodings of values in hex, one per line, in the order of the fixture's lines. Each added
/// value also has to decode to itself.
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

/// Commands with each kind of operation, in the order in which the fixture's store applied them.
fn commands() -> Vec<Command> {
    let attach_to_leases = Txn {
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
        Operation::Txn(attach_to_leases),
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

/// A snapshot that commit 5065b36 saved decodes to the same state as applying the commands.
#[test]
fn a_stored_snapshot_is_decoded_completely() {
    // The fixture begins with ten commands, each followed by a snapshot of the store. Line 19,
    // counted from 0, is the last of these snapshots.
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
