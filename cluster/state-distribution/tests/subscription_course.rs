//! Tests the steps of a subscription between one observer and one subscriber that are connected
//! without delay.
#![allow(
    clippy::unwrap_used,
    clippy::panic,
    clippy::indexing_slicing,
    reason = "a failed step fails the test"
)]

mod common;
mod pair;

use common::{compact, hello, poll_message, put, MS};
use pair::Pair;
use violetgate_replicated_state::Store;
use violetgate_state_distribution::*;

#[test]
fn a_subscriber_reads_a_snapshot_then_changes_and_routes_once_confirmed() {
    let mut store = Store::default();
    (0..50).for_each(|n| put(&mut store, &format!("key-{n:02}"), b"some value"));
    let mut pair = Pair::new(store);
    pair.advance(50 * MS);
    pair.assert_same();
    assert!(pair.chunks > 5, "{} chunks of 100 bytes", pair.chunks);
    assert!(
        pair.subscriber.may_route(pair.now).is_err(),
        "not confirmed yet"
    );
    pair.complete_reads(ReadResult::Current);
    pair.advance(20 * MS);
    pair.complete_reads(ReadResult::Current);
    assert!(pair.subscriber.may_route(pair.now).is_ok());
    for n in 0..20 {
        pair.change(&format!("key-{n}"), "new");
        pair.assert_same();
    }
}

#[test]
fn routing_stops_without_confirmations_and_resumes_with_the_next_one() {
    let mut pair = Pair::new(Store::default());
    pair.change("a", "1");
    pair.advance(50 * MS);
    pair.complete_reads(ReadResult::Current);
    pair.advance(20 * MS);
    pair.complete_reads(ReadResult::Current);
    assert!(pair.subscriber.may_route(pair.now).is_ok());
    for _ in 0..50 {
        pair.advance(100 * MS);
        pair.complete_reads(ReadResult::Failed);
    }
    assert!(pair.subscriber.may_route(pair.now).is_err());
    for _ in 0..50 {
        pair.advance(100 * MS);
        pair.complete_reads(ReadResult::Current);
    }
    assert!(pair.subscriber.may_route(pair.now).is_ok());
}

#[test]
fn a_poll_is_not_confirmed_by_a_read_that_began_before_it() {
    let mut observer = Observer::new(ObserverConfig::default_for("c", 1), 0);
    let store = Store::default();
    assert_eq!(observer.accept(0, 1, &hello(0), &store).rejected, None);
    observer.receive(0, 1, poll_message(1, false), &store);
    assert_eq!(observer.take_actions(), vec![ObserverAction::BeginRead(1)]);
    observer.receive(5 * MS, 1, poll_message(2, false), &store);
    assert_eq!(
        observer.take_actions(),
        vec![],
        "at most one read is under way"
    );
    observer.read_completed(30 * MS, 1, ReadResult::Current, &store);
    let answer = |poll| ObserverAction::Send {
        connection: 1,
        message: ObserverMessage::PollConfirmed { poll, revision: 0 },
    };
    assert_eq!(
        observer.take_actions(),
        vec![answer(1), ObserverAction::BeginRead(2)]
    );
    observer.read_completed(35 * MS, 2, ReadResult::Current, &store);
    assert_eq!(observer.take_actions(), vec![answer(2)]);
}

#[test]
fn a_subscriber_that_was_disconnected_resumes_or_is_sent_a_snapshot() {
    let mut pair = Pair::new(Store::default());
    pair.advance(50 * MS);
    pair.change("a", "1");
    pair.assert_same();
    for lost in [false, true] {
        pair.observer.disconnected(pair.now, pair.connection);
        pair.subscriber.disconnected(pair.now, 1, None);
        (0..10).for_each(|n| put(&mut pair.store, &format!("key-{n}"), b"x"));
        if lost {
            let revision = pair.store.revision();
            compact(&mut pair.store, revision - 2);
        }
        pair.observer.store_applied(pair.now, &pair.store);
        let chunks = pair.chunks;
        (0..30).for_each(|_| pair.advance(100 * MS));
        pair.assert_same();
        assert_eq!(
            pair.chunks > chunks,
            lost,
            "a snapshot is sent exactly when changes were compacted away"
        );
    }
}
