//! Tests that each invalid message gets one rejection with the right reason, and changes no state.
#![allow(
    clippy::unwrap_used,
    clippy::panic,
    clippy::indexing_slicing,
    reason = "a failed step fails the test"
)]

mod common;

use common::{entry, hello, output, poll_message, store, Closed, Output, Sent, SECOND};
use violetgate_replicated_state::Entries;
use violetgate_state_distribution::*;

fn config() -> ObserverConfig {
    ObserverConfig::default_for("c", 1)
}

/// Returns a subscriber that holds revision 2 and watches observer 1.
fn watching() -> Subscriber {
    let config = SubscriberConfig::default_for("c", "front-end", vec![1]);
    let mut subscriber = Subscriber::new(config, 1, 0);
    subscriber.tick(SECOND);
    let welcome = ObserverWelcome {
        rejected: None,
        revision: 2,
        subscribers: 1,
        capacity: 10,
    };
    subscriber.connected(SECOND, 1, &welcome);
    let entries = vec![entry("a", 2)];
    let chunk = ObserverMessage::SnapshotChunk(SnapshotChunk {
        revision: 2,
        after: None,
        entries,
        last: true,
    });
    subscriber.receive(SECOND, 1, chunk);
    assert_eq!(subscriber.replica().revision(), 2);
    subscriber.take_actions();
    subscriber
}

#[test]
fn an_invalid_greeting_is_rejected_with_its_code() {
    let mut observer = Observer::new(config(), 0);
    let bad = [
        (
            SubscriberHello {
                magic: *b"VGCL",
                ..hello(0)
            },
            "not_a_subscriber",
        ),
        (
            SubscriberHello {
                version: 2,
                ..hello(0)
            },
            "wrong_version",
        ),
        (
            SubscriberHello {
                cluster: "d".to_owned(),
                ..hello(0)
            },
            "wrong_cluster",
        ),
        (
            SubscriberHello {
                observer: 2,
                ..hello(0)
            },
            "wrong_observer",
        ),
        (
            SubscriberHello {
                name: "x".repeat(300),
                ..hello(0)
            },
            "protocol",
        ),
        (
            SubscriberHello {
                name: String::new(),
                ..hello(0)
            },
            "protocol",
        ),
    ];
    for (connection, (hello, code)) in (1..).zip(bad) {
        let welcome = observer.accept(0, connection, &hello, &store(1));
        assert_eq!(
            welcome.rejected.map(|rejection| rejection.code()),
            Some(code)
        );
    }
    assert_eq!(observer.sizes(), ObserverSizes::default());
}

#[test]
fn a_revision_ahead_of_the_cluster_is_rejected_only_after_a_read() {
    let (mut observer, old, new) = (Observer::new(config(), 0), store(5), store(11));
    for (connection, revision) in [(1, 10), (2, 12)] {
        assert_eq!(
            observer
                .accept(0, connection, &hello(revision), &old)
                .rejected,
            None
        );
        observer.receive(
            0,
            connection,
            SubscriberMessage::Watch { after: revision },
            &old,
        );
    }
    // The read began before the second subscriber watched, so it says nothing about the second
    // subscriber's revision. The observer applies the first subscriber's revision meanwhile.
    assert_eq!(observer.take_actions(), vec![ObserverAction::BeginRead(1)]);
    assert_eq!(observer.sizes().awaiting, 2);
    observer.store_applied(SECOND, &new);
    let Output { sent, closed } = output(&mut observer);
    assert!(closed.is_empty());
    let [Sent {
        connection: 1,
        message: ObserverMessage::Changes(ChangeBatch {
            after: 10, to: 11, ..
        }),
    }] = sent.as_slice()
    else {
        panic!("{sent:?}")
    };
    observer.read_completed(SECOND, 1, ReadResult::Current, &new);
    observer.read_completed(2 * SECOND, 2, ReadResult::Current, &new);
    let expected = Rejection::FutureRevision {
        theirs: 12,
        ours: 11,
    };
    assert_eq!(
        output(&mut observer).closed,
        vec![Closed {
            connection: 2,
            rejection: expected
        }]
    );
}

#[test]
fn a_flood_of_polls_closes_its_connection_and_no_other() {
    let (mut observer, store) = (Observer::new(config(), 0), store(1));
    (1..=2).for_each(|id| drop(observer.accept(0, id, &hello(0), &store)));
    observer.receive(0, 2, poll_message(1, true), &store);
    (0..10_000).for_each(|poll| observer.receive(0, 1, poll_message(poll, true), &store));
    let rejections = output(&mut observer).closed;
    assert!(
        matches!(
            rejections.as_slice(),
            [Closed {
                connection: 1,
                rejection: Rejection::ProtocolViolation { .. }
            }]
        ),
        "{rejections:?}"
    );
    observer.read_completed(10, 1, ReadResult::Current, &store);
    assert_eq!(
        output(&mut observer).sent,
        vec![Sent {
            connection: 2,
            message: ObserverMessage::PollConfirmed {
                poll: 1,
                revision: 1
            }
        }]
    );
}

#[test]
fn a_snapshot_cursor_that_no_key_can_have_is_rejected() {
    let (mut observer, store) = (Observer::new(config(), 0), store(1));
    observer.accept(0, 1, &hello(0), &store);
    let from = Some(SnapshotCursor {
        revision: 1,
        after_key: "k".repeat(600),
    });
    observer.receive(0, 1, SubscriberMessage::FetchSnapshot { from }, &store);
    let rejections = output(&mut observer).closed;
    assert!(
        matches!(
            rejections.as_slice(),
            [Closed {
                connection: 1,
                rejection: Rejection::ProtocolViolation { .. }
            }]
        ),
        "{rejections:?}"
    );
}

#[test]
fn invalid_messages_of_an_observer_are_not_applied() {
    let change = |revision| EntryChange {
        revision,
        key: "b".to_owned(),
        value: Some(vec![1]),
    };
    let changes = |after, to, revision| {
        ObserverMessage::Changes(ChangeBatch {
            after,
            to,
            changes: vec![change(revision)].into(),
        })
    };
    let chunk = |after: Option<&str>, key: &str| {
        ObserverMessage::SnapshotChunk(SnapshotChunk {
            revision: 9,
            after: after.map(str::to_owned),
            entries: vec![entry(key, 3)],
            last: false,
        })
    };
    let compacted = ObserverMessage::Compacted { first: 9 };
    let bad = [
        vec![changes(5, 6, 6)],
        vec![changes(2, 3, 4)],
        vec![chunk(None, "a")],
        vec![compacted.clone(), chunk(Some("k"), "m")],
        vec![compacted.clone(), chunk(None, "m"), chunk(Some("k"), "n")],
        vec![compacted, chunk(None, "m"), chunk(Some("m"), "b")],
    ];
    for messages in bad {
        let mut subscriber = watching();
        let before = subscriber.replica().clone();
        let mut now = 3 * SECOND;
        for message in messages.iter().cloned() {
            now += 2 * SECOND;
            subscriber.receive(now, 1, message);
        }
        assert!(
            subscriber
                .take_actions()
                .contains(&SubscriberAction::Disconnect(1)),
            "{messages:?}"
        );
        assert_eq!(
            subscriber.rejection().map(Rejection::code),
            Some("protocol"),
            "{messages:?}"
        );
        assert_eq!(subscriber.replica(), &before);
    }
}
