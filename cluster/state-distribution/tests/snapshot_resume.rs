//! Tests snapshot transfers that resume at another observer, start over, or are complete but not
//! confirmed yet.
#![allow(
    clippy::unwrap_used,
    clippy::panic,
    clippy::indexing_slicing,
    reason = "a failed step fails the test"
)]

mod common;

use common::{entry, MS};
use violetgate_replicated_state::Entries;
use violetgate_state_distribution::*;

/// Returns a subscriber with open connections to observers 1 and 2, the id of the watched observer,
/// and the id of the standby.
fn subscriber_of_two() -> (Subscriber, u64, u64) {
    let config = SubscriberConfig::default_for("c", "one", vec![1, 2]);
    let mut subscriber = Subscriber::new(config, 7, 0);
    subscriber.tick(50 * MS);
    for id in [1, 2] {
        let welcome = ObserverWelcome {
            rejected: None,
            revision: 9,
            subscribers: 1,
            capacity: 10,
        };
        subscriber.connected(50 * MS, id, &welcome);
    }
    let HeldObservers { watched, standby } = subscriber.held_observers();
    (subscriber, watched.unwrap(), standby.unwrap())
}

fn chunk(after: Option<&str>, key: &str, last: bool) -> ObserverMessage {
    let entries = vec![entry(key, 5)];
    ObserverMessage::SnapshotChunk(SnapshotChunk {
        revision: 9,
        after: after.map(str::to_owned),
        entries,
        last,
    })
}

#[test]
fn a_snapshot_resumes_at_another_observer() {
    let (mut subscriber, watched, standby) = subscriber_of_two();
    subscriber.receive(60 * MS, watched, chunk(None, "a", false));
    subscriber.take_actions();
    subscriber.disconnected(70 * MS, watched, None);
    let from = Some(SnapshotCursor {
        revision: 9,
        after_key: "a".to_owned(),
    });
    let asked = SubscriberAction::Send {
        observer: standby,
        message: SubscriberMessage::FetchSnapshot { from },
    };
    assert!(subscriber.take_actions().contains(&asked));
    assert_eq!(
        subscriber.replica().revision(),
        0,
        "the snapshot is not complete yet"
    );
    subscriber.receive(80 * MS, standby, chunk(Some("a"), "b", true));
    assert_eq!(
        (
            subscriber.replica().revision(),
            subscriber.replica().entries_with_prefix("").len()
        ),
        (9, 2)
    );
}

#[test]
fn a_snapshot_whose_revision_is_compacted_starts_over() {
    let (mut subscriber, watched, _) = subscriber_of_two();
    subscriber.receive(60 * MS, watched, chunk(None, "a", false));
    subscriber.take_actions();
    subscriber.receive(70 * MS, watched, ObserverMessage::Compacted { first: 20 });
    let asked = SubscriberAction::Send {
        observer: watched,
        message: SubscriberMessage::FetchSnapshot { from: None },
    };
    assert_eq!(subscriber.take_actions(), vec![asked]);
    let entries = vec![entry("b", 21)];
    let whole = ObserverMessage::SnapshotChunk(SnapshotChunk {
        revision: 21,
        after: None,
        entries,
        last: true,
    });
    subscriber.receive(80 * MS, watched, whole);
    assert_eq!(
        (
            subscriber.replica().revision(),
            subscriber.replica().entries_with_prefix("").len()
        ),
        (21, 1)
    );
}

#[test]
fn a_snapshot_is_not_routed_on_after_the_confirmation_of_an_earlier_poll() {
    let (mut subscriber, watched, _) = subscriber_of_two();
    let poll = |action: &SubscriberAction| match action {
        SubscriberAction::Send {
            observer: id,
            message: SubscriberMessage::Poll { poll, .. },
        } if *id == watched => Some(*poll),
        _ => None,
    };
    let before: Vec<u64> = subscriber.take_actions().iter().filter_map(poll).collect();
    subscriber.receive(60 * MS, watched, chunk(None, "a", true));
    let after: Vec<u64> = subscriber.take_actions().iter().filter_map(poll).collect();
    let answer = |poll: u64| ObserverMessage::PollConfirmed { poll, revision: 9 };
    subscriber.receive(70 * MS, watched, answer(before[0]));
    assert!(subscriber.may_route(70 * MS).is_err());
    subscriber.receive(80 * MS, watched, answer(after[0]));
    assert!(subscriber.may_route(80 * MS).is_ok());
}
