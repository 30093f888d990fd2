//! What must not be taken, and what must not grow: each gets one clear refusal, and nobody else is slower.
#![allow(clippy::unwrap_used, clippy::panic, clippy::indexing_slicing)]

use violetgate_replicated_state::{Command, Entries, Mutation, Operation, Store, Txn};
use violetgate_state_distribution::*;

const SECOND: u64 = 1_000_000;

fn put(store: &mut Store, key: &str, bytes: usize) {
    let op = Mutation::Put {
        key: key.to_owned(),
        value: vec![7; bytes],
        lease: None,
    };
    let step = Operation::Txn(Txn {
        then: vec![op],
        ..Txn::default()
    });
    store.apply(&Command {
        request_id: None,
        actor: "test".to_owned(),
        time: 0,
        operation: step,
    });
}

fn store(revisions: u64) -> Store {
    let mut store = Store::default();
    (0..revisions).for_each(|n| put(&mut store, &format!("key-{n:04}"), 100));
    store
}

fn config() -> ObserverConfig {
    ObserverConfig::default_for("c", 1)
}

fn hello(revision: u64) -> SubscriberHello {
    let (cluster, name) = ("c".to_owned(), "front-end".to_owned());
    SubscriberHello {
        magic: MAGIC,
        version: VERSION,
        cluster,
        observer: 1,
        name,
        revision,
    }
}

fn confirm(question: u64) -> FromSubscriber {
    FromSubscriber::Confirm {
        question,
        progress: Progress {
            applied: 0,
            serving: true,
        },
    }
}

type Sent = Vec<(ConnectionId, FromObserver)>;
type Closed = Vec<(ConnectionId, Refusal)>;

/// The messages to each connection, and the refusals.
fn sent(observer: &mut Observer) -> (Sent, Closed) {
    let (mut messages, mut refusals) = (Vec::new(), Vec::new());
    for action in observer.actions() {
        match action {
            ObserverAction::Send(connection, message) => messages.push((connection, message)),
            ObserverAction::Close(connection, refusal) => refusals.push((connection, refusal)),
            ObserverAction::Read(_) => {}
        }
    }
    (messages, refusals)
}

#[test]
fn a_greeting_that_does_not_fit_is_refused_with_its_reason() {
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
        let welcome = observer.connect(0, connection, &hello, &store(1));
        assert_eq!(welcome.refused.map(|refusal| refusal.code()), Some(code));
    }
    assert_eq!(observer.sizes(), ObserverSizes::default());
}

#[test]
fn a_revision_of_the_future_is_refused_only_after_a_read() {
    let (mut observer, old, new) = (Observer::new(config(), 0), store(5), store(11));
    for (connection, revision) in [(1, 10), (2, 12)] {
        assert_eq!(
            observer
                .connect(0, connection, &hello(revision), &old)
                .refused,
            None
        );
        observer.receive(
            0,
            connection,
            FromSubscriber::Watch { after: revision },
            &old,
        );
    }
    // The read began before the second one watched: it says nothing of it. The first one's revision comes meanwhile.
    assert_eq!(observer.actions(), vec![ObserverAction::Read(1)]);
    assert_eq!(observer.sizes().ahead, 2);
    observer.applied(SECOND, &new);
    let (messages, refusals) = sent(&mut observer);
    assert!(refusals.is_empty());
    let [(
        1,
        FromObserver::Changes {
            after: 10, to: 11, ..
        },
    )] = messages.as_slice()
    else {
        panic!("{messages:?}")
    };
    observer.read_ended(SECOND, 1, true, &new);
    observer.read_ended(2 * SECOND, 2, true, &new);
    let expected = Refusal::RevisionAhead {
        theirs: 12,
        ours: 11,
    };
    assert_eq!(sent(&mut observer).1, vec![(2, expected)]);
}

#[test]
fn a_flood_of_questions_ends_its_connection_and_nobody_elses() {
    let (mut observer, store) = (Observer::new(config(), 0), store(1));
    (1..=2).for_each(|id| drop(observer.connect(0, id, &hello(0), &store)));
    observer.receive(0, 2, confirm(1), &store);
    (0..10_000).for_each(|question| observer.receive(0, 1, confirm(question), &store));
    let refusals = sent(&mut observer).1;
    assert!(
        matches!(refusals.as_slice(), [(1, Refusal::Protocol { .. })]),
        "{refusals:?}"
    );
    observer.read_ended(10, 1, true, &store);
    assert_eq!(
        sent(&mut observer).0,
        vec![(
            2,
            FromObserver::Confirmed {
                question: 1,
                revision: 1
            }
        )]
    );
}

#[test]
fn a_snapshot_place_that_no_key_can_have_is_refused() {
    let (mut observer, store) = (Observer::new(config(), 0), store(1));
    observer.connect(0, 1, &hello(0), &store);
    let from = Some(SnapshotPlace {
        revision: 1,
        after: "k".repeat(600),
    });
    observer.receive(0, 1, FromSubscriber::Snapshot { from }, &store);
    let refusals = sent(&mut observer).1;
    assert!(
        matches!(refusals.as_slice(), [(1, Refusal::Protocol { .. })]),
        "{refusals:?}"
    );
}

#[test]
fn of_ten_thousand_subscribers_an_observer_takes_its_capacity() {
    let (mut observer, mut store) = (Observer::new(config(), 0), store(1));
    let mut full = 0;
    for connection in 1..=10_000 {
        let welcome = observer.connect(0, connection, &hello(1), &store);
        full += u32::from(welcome.refused == Some(Refusal::Full { capacity: 4_000 }));
        observer.receive(0, connection, FromSubscriber::Watch { after: 1 }, &store);
        observer.receive(0, connection, confirm(1), &store);
    }
    assert_eq!(
        (full, observer.sizes().subscribers, observer.sizes().current),
        (6_000, 4_000, 4_000)
    );
    observer.actions();
    put(&mut store, "a", 1);
    observer.applied(1, &store);
    let messages = sent(&mut observer).0;
    assert_eq!(messages.len(), 4_000);
    let changes = |message: &FromObserver| match message {
        FromObserver::Changes { changes, .. } => changes.as_ptr(),
        other => panic!("{other:?}"),
    };
    let first = changes(&messages[0].1);
    assert!(
        messages
            .iter()
            .all(|(_, message)| changes(message) == first),
        "one copy in memory for all"
    );
}

#[test]
fn connections_without_end_leave_nothing_behind() {
    let (mut observer, store) = (Observer::new(config(), 0), store(100));
    for connection in 1..=50_000 {
        let now = connection * 1_000;
        observer.connect(now, connection, &hello(connection % 200), &store);
        observer.receive(now, connection, confirm(1), &store);
        let message = match connection % 3 {
            0 => FromSubscriber::Watch {
                after: connection % 200,
            },
            1 => FromSubscriber::Snapshot { from: None },
            _ => FromSubscriber::Snapshot {
                from: Some(SnapshotPlace {
                    revision: connection % 200,
                    after: "key-0050".to_owned(),
                }),
            },
        };
        observer.receive(now, connection, message, &store);
        observer.disconnect(now, connection);
        observer.actions();
        let sizes = ObserverSizes {
            departed: 0,
            ..observer.sizes()
        };
        assert_eq!(sizes, ObserverSizes::default());
        assert!(observer.sizes().departed <= 4_000, "{:?}", observer.sizes());
    }
}

#[test]
fn one_that_takes_nothing_is_held_back_then_closed_and_slows_nobody() {
    let config = ObserverConfig {
        queue_bytes: 10_000,
        piece_bytes: 1_000,
        ..config()
    };
    let (mut observer, mut store) = (Observer::new(config, 0), Store::default());
    for id in 1..=2 {
        observer.connect(0, id, &hello(0), &store);
        observer.receive(0, id, FromSubscriber::Watch { after: 0 }, &store);
    }
    let mut taken = [0, 0];
    for n in 0..1_000 {
        put(&mut store, &format!("key-{n}"), 100);
        observer.applied(n, &store);
        for (connection, _) in sent(&mut observer).0 {
            taken[usize::from(connection == 2)] += 1;
        }
        observer.queued(2, 0, &store);
    }
    assert_eq!(
        taken[1], 1_000,
        "the other one is sent every change at once"
    );
    assert!(
        taken[0] < 100,
        "{} changes wait for one that takes nothing",
        taken[0]
    );
    // It reads again: it goes on from where it stood, and ends up with all.
    let mut to = 0;
    for _ in 0..2_000 {
        observer.queued(1, 0, &store);
        for (connection, message) in sent(&mut observer).0 {
            if let (1, FromObserver::Changes { to: next, .. }) = (connection, message) {
                to = next;
            }
        }
    }
    assert_eq!(to, 1_000);
    (0..200).for_each(|n| put(&mut store, &format!("key-{n}"), 100));
    observer.applied(2_000, &store);
    observer.queued(2, 0, &store);
    (1..=12).for_each(|n| observer.tick(n * SECOND, &store));
    let refusals = sent(&mut observer).1;
    assert!(
        matches!(refusals.as_slice(), [(1, Refusal::TooSlow { .. })]),
        "{refusals:?}"
    );
}

#[test]
fn snapshots_wait_for_their_turn_and_are_told_their_place() {
    let config = ObserverConfig {
        snapshots_at_once: 4,
        ..config()
    };
    let (mut observer, store) = (Observer::new(config, 0), store(10));
    for id in 1..=100 {
        observer.connect(0, id, &hello(0), &store);
        observer.receive(0, id, FromSubscriber::Snapshot { from: None }, &store);
    }
    assert_eq!(observer.sizes().snapshots, (4, 96));
    let places = |observer: &mut Observer| {
        let place = |(_, message)| match message {
            FromObserver::SnapshotQueued { place } => Some(place),
            _ => None,
        };
        sent(observer)
            .0
            .into_iter()
            .filter_map(place)
            .collect::<Vec<u32>>()
    };
    assert_eq!(places(&mut observer), (0..96).collect::<Vec<u32>>());
    (1..=80).for_each(|id| observer.disconnect(1, id));
    observer.tick(SECOND, &store);
    assert_eq!(observer.sizes().snapshots, (4, 16));
    assert_eq!(
        places(&mut observer),
        (0..16).collect::<Vec<u32>>(),
        "places that changed by much"
    );
    // Those that hold a slot and ask for nothing more give it up.
    (1..=30).for_each(|n| observer.tick(n * SECOND - 1, &store));
    assert_eq!(observer.sizes().snapshots.1, 0, "all had their turn");
}

/// A subscriber that holds revision 2 and is connected to observer 1, which it watches.
fn watching() -> Subscriber {
    let config = SubscriberConfig::default_for("c", "front-end", vec![1]);
    let mut subscriber = Subscriber::new(config, 1, 0);
    subscriber.tick(SECOND);
    let welcome = ObserverWelcome {
        refused: None,
        revision: 2,
        subscribers: 1,
        capacity: 10,
    };
    subscriber.connected(SECOND, 1, &welcome);
    let entries = vec![("a".to_owned(), 2, vec![1])];
    let piece = FromObserver::SnapshotPiece {
        revision: 2,
        after: None,
        entries,
        last: true,
    };
    subscriber.receive(SECOND, 1, piece);
    assert_eq!(subscriber.replica().revision(), 2);
    subscriber.actions();
    subscriber
}

#[test]
fn what_an_observer_must_not_send_is_not_taken() {
    let change = |revision| EntryChange {
        revision,
        key: "b".to_owned(),
        value: Some(vec![1]),
    };
    let changes = |after, to, revision| FromObserver::Changes {
        after,
        to,
        changes: vec![change(revision)].into(),
    };
    let piece = |after: Option<&str>, key: &str| FromObserver::SnapshotPiece {
        revision: 9,
        after: after.map(str::to_owned),
        entries: vec![(key.to_owned(), 3, vec![1])],
        last: false,
    };
    let compacted = FromObserver::Compacted { first: 9 };
    let bad = [
        vec![changes(5, 6, 6)],
        vec![changes(2, 3, 4)],
        vec![piece(None, "a")],
        vec![compacted.clone(), piece(Some("k"), "m")],
        vec![compacted.clone(), piece(None, "m"), piece(Some("k"), "n")],
        vec![compacted, piece(None, "m"), piece(Some("m"), "b")],
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
                .actions()
                .contains(&SubscriberAction::Disconnect(1)),
            "{messages:?}"
        );
        assert_eq!(
            subscriber.refusal().map(Refusal::code),
            Some("protocol"),
            "{messages:?}"
        );
        assert_eq!(subscriber.replica(), &before);
    }
}
