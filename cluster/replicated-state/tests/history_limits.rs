//! The limits of the history: it takes a bounded number of bytes, also in a snapshot of a program
//! that limited only the number of changes.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::BTreeMap;

use violetgate_replicated_state::*;

/// The size of the history that the documentation states, in bytes.
const MAX_HISTORY_BYTES: usize = 64 << 20;
const VALUE_BYTES: usize = 3_800;
const KEYS: u64 = 100;
/// A number of changes whose values take more than [`MAX_HISTORY_BYTES`] but which are fewer than
/// the 100,000 that the history holds.
const CHANGES: u64 = 10_500;

fn key(change: u64) -> String {
    format!("key-{}", change % KEYS)
}

fn value(change: u64) -> Vec<u8> {
    vec![change as u8; VALUE_BYTES]
}

fn command(operation: Operation) -> Command {
    Command {
        request_id: None,
        actor: "operator".to_owned(),
        time: 0,
        operation,
    }
}

fn put(change: u64) -> Command {
    let put = Mutation::Put {
        key: key(change),
        value: value(change),
        lease: None,
    };
    command(Operation::Txn(Txn {
        then: vec![put],
        ..Txn::default()
    }))
}

/// Checks that the store holds the values of the last changes, and that its snapshot is no larger
/// than the values and a history of [`MAX_HISTORY_BYTES`].
fn assert_bounded(store: &Store, last: u64) {
    for change in last - KEYS + 1..=last {
        assert_eq!(store.get(&key(change)).unwrap().value, value(change));
    }
    let live_bytes = KEYS as usize * (VALUE_BYTES + 64);
    let snapshot_bytes = store.to_snapshot().len();
    assert!(
        snapshot_bytes <= MAX_HISTORY_BYTES + live_bytes,
        "the snapshot has {snapshot_bytes} bytes"
    );
}

/// Guards against a history that is bounded by the number of changes alone, so that few large
/// values make a snapshot of any size.
#[test]
fn large_values_shorten_the_history() {
    let mut store = Store::default();
    for change in 1..=CHANGES {
        store.apply(&put(change));
    }
    assert_bounded(&store, CHANGES);
    let oldest = store.changes(0, "", 1).unwrap_err().first_revision;
    assert!((1..CHANGES).contains(&oldest));
    let later = store.changes(oldest, "", usize::MAX).unwrap();
    assert_eq!(later.len() as u64, CHANGES - oldest);
    let kept_bytes = later.len() * 2 * VALUE_BYTES;
    assert!(
        kept_bytes > MAX_HISTORY_BYTES * 9 / 10,
        "only {kept_bytes} bytes of history are kept"
    );
    assert_eq!(
        store.list("", Some(oldest), None, 1_000).unwrap().revision,
        oldest
    );
}

/// One version of a key in a snapshot: its revision, and its value with its lease.
type EncodedVersion = (Revision, Option<(Vec<u8>, Option<u64>)>);

/// A snapshot as the program wrote it that limited only the number of changes.
fn snapshot_with_long_history() -> Vec<u8> {
    let mut keys: BTreeMap<String, Vec<EncodedVersion>> = BTreeMap::new();
    let mut changes = Vec::new();
    for change in 1..=CHANGES {
        let versions = keys.entry(key(change)).or_default();
        versions.push((change, Some((value(change), None))));
        changes.push(KeyChange {
            revision: change,
            key: key(change),
            value: Some(value(change)),
            actor: "operator".to_owned(),
            time: 0,
        });
    }
    let live_bytes: usize = keys.keys().map(|key| key.len() + VALUE_BYTES).sum();
    let live_size = (keys.len(), live_bytes);
    let leases: BTreeMap<u64, Micros> = BTreeMap::new();
    let requests: (BTreeMap<String, Outcome>, Vec<String>) = Default::default();
    let header = (CHANGES, 0_u64, 0_u64);
    let fields = (header, keys, live_size, changes, leases, requests);
    postcard::to_stdvec(&fields).unwrap()
}

/// Guards against a replica that reads a long history of an earlier program and keeps it, or loses
/// values with it.
#[test]
fn a_longer_history_in_a_snapshot_is_compacted_at_the_next_command() {
    let snapshot = snapshot_with_long_history();
    assert!(snapshot.len() > MAX_HISTORY_BYTES);
    let mut store = Store::from_snapshot(&snapshot).unwrap();
    assert!(store.to_snapshot() == snapshot, "the snapshot has changed");
    store.apply(&put(CHANGES + 1));
    assert_bounded(&store, CHANGES + 1);
}
