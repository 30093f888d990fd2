//! Helpers that several tests share: stores, messages, and the collection of an observer's output.
#![allow(dead_code, reason = "each test file uses a part of it")]

use violetgate_replicated_state::{Command, Mutation, Operation, Store, Txn};
use violetgate_state_distribution::*;

pub const MS: u64 = 1_000;
pub const SECOND: u64 = 1_000 * MS;

/// Applies a command to a store.
pub fn apply(store: &mut Store, step: Operation) {
    store.apply(&Command {
        request_id: None,
        actor: "test".to_owned(),
        time: 0,
        operation: step,
    });
}

pub fn put(store: &mut Store, key: &str, value: &[u8]) {
    let op = Mutation::Put {
        key: key.to_owned(),
        value: value.to_vec(),
        lease: None,
    };
    let txn = Txn {
        then: vec![op],
        ..Txn::default()
    };
    apply(store, Operation::Txn(txn));
}

pub fn compact(store: &mut Store, to: u64) {
    apply(store, Operation::Compact(to));
}

/// Creates a store with this number of revisions, each of which puts a different key with a value
/// of 100 bytes.
pub fn store(revisions: u64) -> Store {
    let mut store = Store::default();
    (0..revisions).for_each(|n| put(&mut store, &format!("key-{n:04}"), &[7; 100]));
    store
}

pub fn entry(key: &str, revision: u64) -> SnapshotEntry {
    SnapshotEntry {
        key: key.to_owned(),
        revision,
        value: vec![1],
    }
}

/// Returns a greeting that observer 1 of cluster `c` accepts.
pub fn hello(revision: u64) -> SubscriberHello {
    SubscriberHello {
        magic: PROTOCOL_MAGIC,
        version: PROTOCOL_VERSION,
        cluster: "c".to_owned(),
        observer: 1,
        name: "front-end".to_owned(),
        revision,
    }
}

/// Returns a poll of a subscriber that has applied nothing.
pub fn poll_message(poll: PollId, serving: bool) -> SubscriberMessage {
    let progress = SubscriberProgress {
        applied: 0,
        serving,
    };
    SubscriberMessage::Poll { poll, progress }
}

/// A message that an observer sent.
#[derive(Debug, PartialEq)]
pub struct Sent {
    pub connection: ConnectionId,
    pub message: ObserverMessage,
}

/// A connection that an observer closed.
#[derive(Debug, PartialEq)]
pub struct Closed {
    pub connection: ConnectionId,
    pub rejection: Rejection,
}

/// The actions of an observer, except the reads that it begins.
#[derive(Debug, Default)]
pub struct Output {
    pub sent: Vec<Sent>,
    pub closed: Vec<Closed>,
}

pub fn output(observer: &mut Observer) -> Output {
    let mut output = Output::default();
    for action in observer.take_actions() {
        match action {
            ObserverAction::Send {
                connection,
                message,
            } => output.sent.push(Sent {
                connection,
                message,
            }),
            ObserverAction::Close {
                connection,
                rejection,
            } => output.closed.push(Closed {
                connection,
                rejection,
            }),
            ObserverAction::BeginRead(_) => {}
        }
    }
    output
}
