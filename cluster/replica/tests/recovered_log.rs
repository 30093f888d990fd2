//! Tests what a restarted replica knows from its log before a leader has confirmed it.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use violetgate_raft::{
    Entry, Index, LogPosition, Membership, Message, Payload, SnapshotMetadata, Term,
};
use violetgate_replica::{Effect, InitialState, Replica, ReplicaConfig};
use violetgate_replicated_state::{Command, Condition, Mutation, Operation, Txn};

const KEY: &str = "members/4";

/// Returns an entry that sets the key if it was last changed in `expected_revision`.
fn put(index: Index, term: Term, value: &str, expected_revision: u64) -> Entry {
    let transaction = Txn {
        conditions: vec![Condition::RevisionIs(KEY.to_owned(), expected_revision)],
        then: vec![Mutation::Put {
            key: KEY.to_owned(),
            value: value.into(),
            lease: None,
        }],
        ..Txn::default()
    };
    let command = Command {
        request_id: None,
        actor: "test".to_owned(),
        time: 1,
        operation: Operation::Txn(transaction),
    };
    Entry {
        index,
        term,
        payload: Payload::Command(postcard::to_stdvec(&command).unwrap()),
    }
}

/// Restarts replica 1 of three with entries behind an empty snapshot.
fn restart(entries: Vec<Entry>) -> Replica {
    let initial = InitialState {
        snapshot: SnapshotMetadata {
            membership: Membership::bootstrap([1, 2, 3]),
            ..SnapshotMetadata::default()
        },
        entries,
        ..InitialState::default()
    };
    Replica::new(1, ReplicaConfig::default(), 7, initial, 0).unwrap()
}

/// Delivers entries of the leader 2, all of which are committed, and stores them.
fn append(replica: &mut Replica, term: Term, previous: LogPosition, entries: Vec<Entry>) {
    let commit = entries.last().map_or(previous.index, |entry| entry.index);
    let message = Message::AppendEntries {
        term,
        previous,
        entries,
        commit,
        round: 1,
    };
    replica.step(2, message);
    loop {
        let effects = replica.take_effects();
        if effects.is_empty() {
            return;
        }
        for effect in effects {
            if let Effect::Persist(write) = effect {
                replica.persisted(write.sequence);
            }
        }
    }
}

fn value_at_log_end(replica: &Replica) -> Option<Vec<u8>> {
    let store = replica.store_at_log_end();
    store.get(KEY).map(|current| current.value.to_vec())
}

/// Guards against a restarted replica that knows only what its snapshot holds: the latest address
/// of a member that moved is in the log, and a transaction whose condition does not hold sets none.
#[test]
fn the_log_is_read_before_it_is_known_to_be_committed() {
    let entries = vec![
        put(1, 1, "first", 0),
        put(2, 1, "moved", 1),
        put(3, 1, "other disk", u64::MAX),
    ];
    let mut replica = restart(entries);
    assert!(replica.store().get(KEY).is_none());
    assert!(!replica.has_applied_recovered_log());
    assert_eq!(value_at_log_end(&replica).unwrap(), b"moved");
    append(&mut replica, 2, LogPosition { term: 1, index: 3 }, vec![]);
    assert!(replica.has_applied_recovered_log());
    assert_eq!(replica.store().get(KEY).unwrap().value, b"moved");
}

/// Guards against a recovered entry that a later leader has replaced and that stays in force.
#[test]
fn a_replaced_end_of_the_log_counts_as_applied() {
    let entries = vec![put(1, 1, "first", 0), put(2, 1, "never", 1)];
    let mut replica = restart(entries);
    let previous = LogPosition { term: 1, index: 1 };
    append(&mut replica, 2, previous, vec![]);
    assert!(!replica.has_applied_recovered_log());
    assert_eq!(value_at_log_end(&replica).unwrap(), b"never");
    let blank = Entry {
        index: 2,
        term: 2,
        payload: Payload::Blank,
    };
    append(&mut replica, 2, previous, vec![blank]);
    assert!(replica.has_applied_recovered_log());
    assert_eq!(value_at_log_end(&replica).unwrap(), b"first");
}
