//! A revision that is too large for one message: the end of a lease deletes any number of keys.
#![allow(
    clippy::unwrap_used,
    clippy::panic,
    clippy::indexing_slicing,
    reason = "a failed step fails the test"
)]

mod common;
mod pair;

use common::{apply, MS};
use pair::Pair;
use violetgate_replicated_state::{Mutation, Operation, Store, Txn, MAX_KEY_BYTES, MAX_TXN_LENGTH};
use violetgate_state_distribution::MAX_MESSAGE_BYTES;

const LEASE: u64 = 7;
/// A lease's time to live in microseconds, longer than the test.
const TTL: u64 = 1_000_000_000;

/// Creates a store in which more keys are attached to [`LEASE`] than fit into one message.
fn store_with_attached_keys() -> Store {
    let mut store = Store::default();
    apply(
        &mut store,
        Operation::GrantLease {
            id: LEASE,
            ttl: TTL,
        },
    );
    let transactions = MAX_MESSAGE_BYTES / (MAX_KEY_BYTES * MAX_TXN_LENGTH) + 1;
    for transaction in 0..transactions {
        let put = |number: usize| Mutation::Put {
            key: format!(
                "{:0width$}",
                transaction * MAX_TXN_LENGTH + number,
                width = MAX_KEY_BYTES
            ),
            value: Vec::new(),
            lease: Some(LEASE),
        };
        let then = (0..MAX_TXN_LENGTH).map(put).collect();
        apply(
            &mut store,
            Operation::Txn(Txn {
                then,
                ..Txn::default()
            }),
        );
    }
    store
}

/// Guards against a revision that can never be sent: the observer would drop the connections of
/// all subscribers again and again, and none of them would route any more.
#[test]
fn a_revision_larger_than_a_message_arrives_as_a_snapshot() {
    let mut pair = Pair::with_chunk_bytes(store_with_attached_keys(), 256 << 10);
    pair.advance(50 * MS);
    pair.assert_same();
    apply(&mut pair.store, Operation::RevokeLease(LEASE));
    pair.observer.store_applied(pair.now, &pair.store);
    pair.advance(50 * MS);
    pair.assert_same();
    assert!(
        pair.longest_message <= MAX_MESSAGE_BYTES,
        "a message of {} bytes",
        pair.longest_message
    );
    pair.change("key", "value");
    pair.assert_same();
}
