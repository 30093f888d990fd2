//! Tests that subscribers, queues and snapshot transfers are bounded, and that a slow subscriber
//! does not delay the others.
#![allow(
    clippy::unwrap_used,
    clippy::panic,
    clippy::indexing_slicing,
    reason = "a failed step fails the test"
)]

mod common;

use common::{hello, output, poll_message, put, store, Closed, Sent, SECOND};
use violetgate_replicated_state::Store;
use violetgate_state_distribution::*;

fn config() -> ObserverConfig {
    ObserverConfig::default_for("c", 1)
}

/// Returns the number of snapshot transfers under way and of queued requests.
fn snapshot_load(observer: &Observer) -> (usize, usize) {
    let sizes = observer.sizes();
    (sizes.snapshots_active, sizes.snapshots_queued)
}

#[test]
fn an_observer_accepts_its_capacity_of_ten_thousand_subscribers() {
    let (mut observer, mut store) = (Observer::new(config(), 0), store(1));
    let mut full = 0;
    for connection in 1..=10_000 {
        let welcome = observer.accept(0, connection, &hello(1), &store);
        full += u32::from(welcome.rejected == Some(Rejection::Full { capacity: 4_000 }));
        observer.receive(0, connection, SubscriberMessage::Watch { after: 1 }, &store);
        observer.receive(0, connection, poll_message(1, true), &store);
    }
    assert_eq!(
        (full, observer.sizes().subscribers, observer.sizes().current),
        (6_000, 4_000, 4_000)
    );
    observer.take_actions();
    put(&mut store, "a", &[7]);
    observer.store_applied(1, &store);
    let messages = output(&mut observer).sent;
    assert_eq!(messages.len(), 4_000);
    let changes = |message: &ObserverMessage| match message {
        ObserverMessage::Changes(ChangeBatch { changes, .. }) => changes.as_ptr(),
        other => panic!("{other:?}"),
    };
    let first = changes(&messages[0].message);
    assert!(
        messages.iter().all(|sent| changes(&sent.message) == first),
        "all subscribers share one copy in memory"
    );
}

#[test]
fn closed_connections_use_no_memory() {
    let (mut observer, store) = (Observer::new(config(), 0), store(100));
    for connection in 1..=50_000 {
        let now = connection * 1_000;
        observer.accept(now, connection, &hello(connection % 200), &store);
        observer.receive(now, connection, poll_message(1, true), &store);
        let message = match connection % 3 {
            0 => SubscriberMessage::Watch {
                after: connection % 200,
            },
            1 => SubscriberMessage::FetchSnapshot { from: None },
            _ => SubscriberMessage::FetchSnapshot {
                from: Some(SnapshotCursor {
                    revision: connection % 200,
                    after_key: "key-0050".to_owned(),
                }),
            },
        };
        observer.receive(now, connection, message, &store);
        observer.disconnected(now, connection);
        observer.take_actions();
        let sizes = ObserverSizes {
            departed: 0,
            ..observer.sizes()
        };
        assert_eq!(sizes, ObserverSizes::default());
        assert!(observer.sizes().departed <= 4_000, "{:?}", observer.sizes());
    }
}

#[test]
fn a_subscriber_that_reads_nothing_is_held_back_then_closed_and_delays_no_other() {
    let config = ObserverConfig {
        send_queue_bytes: 10_000,
        chunk_bytes: 1_000,
        ..config()
    };
    let (mut observer, mut store) = (Observer::new(config, 0), Store::default());
    for id in 1..=2 {
        observer.accept(0, id, &hello(0), &store);
        observer.receive(0, id, SubscriberMessage::Watch { after: 0 }, &store);
    }
    let mut taken = [0, 0];
    for n in 0..1_000 {
        put(&mut store, &format!("key-{n}"), &[7; 100]);
        observer.store_applied(n, &store);
        for Sent { connection, .. } in output(&mut observer).sent {
            taken[usize::from(connection == 2)] += 1;
        }
        observer.bytes_queued(2, 0, &store);
    }
    assert_eq!(
        taken[1], 1_000,
        "the other subscriber is sent every change at once"
    );
    assert!(
        taken[0] < 100,
        "{} changes were sent to a subscriber that reads nothing",
        taken[0]
    );
    // Subscriber 1 reads again: it continues after the last change that it was sent, and gets all
    // changes.
    let mut to = 0;
    for _ in 0..2_000 {
        observer.bytes_queued(1, 0, &store);
        for Sent {
            connection,
            message,
        } in output(&mut observer).sent
        {
            if let (1, ObserverMessage::Changes(ChangeBatch { to: next, .. })) =
                (connection, message)
            {
                to = next;
            }
        }
    }
    assert_eq!(to, 1_000);
    (0..200).for_each(|n| put(&mut store, &format!("key-{n}"), &[7; 100]));
    observer.store_applied(2_000, &store);
    observer.bytes_queued(2, 0, &store);
    (1..=12).for_each(|n| observer.tick(n * SECOND, &store));
    let rejections = output(&mut observer).closed;
    assert!(
        matches!(
            rejections.as_slice(),
            [Closed {
                connection: 1,
                rejection: Rejection::TooSlow { .. }
            }]
        ),
        "{rejections:?}"
    );
}

#[test]
fn queued_snapshots_are_served_in_turn_and_sent_their_position() {
    let config = ObserverConfig {
        max_concurrent_snapshots: 4,
        ..config()
    };
    let (mut observer, store) = (Observer::new(config, 0), store(10));
    for id in 1..=100 {
        observer.accept(0, id, &hello(0), &store);
        observer.receive(
            0,
            id,
            SubscriberMessage::FetchSnapshot { from: None },
            &store,
        );
    }
    assert_eq!(snapshot_load(&observer), (4, 96));
    let positions = |observer: &mut Observer| {
        let position = |sent: Sent| match sent.message {
            ObserverMessage::SnapshotQueued { position } => Some(position),
            _ => None,
        };
        output(observer)
            .sent
            .into_iter()
            .filter_map(position)
            .collect::<Vec<u32>>()
    };
    assert_eq!(positions(&mut observer), (0..96).collect::<Vec<u32>>());
    (1..=80).for_each(|id| observer.disconnected(1, id));
    observer.tick(SECOND, &store);
    assert_eq!(snapshot_load(&observer), (4, 16));
    assert_eq!(
        positions(&mut observer),
        (0..16).collect::<Vec<u32>>(),
        "only positions of at most half the position sent before"
    );
    // Subscribers that hold a slot and request no more chunks lose it.
    (1..=30).for_each(|n| observer.tick(n * SECOND - 1, &store));
    assert_eq!(
        observer.sizes().snapshots_queued,
        0,
        "all requests were served"
    );
}
