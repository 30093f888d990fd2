//! One observer and one subscriber, joined without delay: the course of a subscription, step by step.
#![allow(clippy::unwrap_used, clippy::panic, clippy::indexing_slicing)]

use violetgate_replicated_state::{Command, Entries, Mutation, Operation, Store, Txn};
use violetgate_state_distribution::*;

const MS: u64 = 1_000;

fn put(store: &mut Store, key: &str, value: &str) {
    let op = Mutation::Put {
        key: key.to_owned(),
        value: value.as_bytes().to_vec(),
        lease: None,
    };
    let txn = Txn {
        then: vec![op],
        ..Txn::default()
    };
    store.apply(&Command {
        request_id: None,
        actor: "test".to_owned(),
        time: 0,
        operation: Operation::Txn(txn),
    });
}

fn compact(store: &mut Store, to: u64) {
    store.apply(&Command {
        request_id: None,
        actor: "test".to_owned(),
        time: 0,
        operation: Operation::Compact(to),
    });
}

fn config() -> ObserverConfig {
    ObserverConfig {
        piece_bytes: 100,
        ..ObserverConfig::default_for("c", 1)
    }
}

/// An observer and a subscriber whose messages arrive at once.
struct Pair {
    now: u64,
    store: Store,
    observer: Observer,
    subscriber: Subscriber,
    connection: u64,
    reads: Vec<ReadId>,
    pieces: usize,
}

impl Pair {
    fn new(store: Store) -> Self {
        let subscriber = SubscriberConfig::default_for("c", "one", vec![1]);
        Pair {
            now: 0,
            store,
            observer: Observer::new(config(), 0),
            subscriber: Subscriber::new(subscriber, 7, 0),
            connection: 0,
            reads: Vec::new(),
            pieces: 0,
        }
    }

    /// Carries out all actions of both until there are none.
    fn settle(&mut self) {
        loop {
            let (from_subscriber, from_observer) =
                (self.subscriber.actions(), self.observer.actions());
            if from_subscriber.is_empty() && from_observer.is_empty() {
                return;
            }
            from_subscriber
                .into_iter()
                .for_each(|action| self.subscriber_action(action));
            from_observer
                .into_iter()
                .for_each(|action| self.observer_action(action));
        }
    }

    fn subscriber_action(&mut self, action: SubscriberAction) {
        match action {
            SubscriberAction::Connect(id, hello) => {
                self.connection += 1;
                let welcome = self
                    .observer
                    .connect(self.now, self.connection, &hello, &self.store);
                self.subscriber.connected(self.now, id, &welcome);
            }
            SubscriberAction::Disconnect(_) => self.observer.disconnect(self.now, self.connection),
            SubscriberAction::Send(_, message) => {
                self.observer
                    .receive(self.now, self.connection, message, &self.store);
            }
        }
    }

    fn observer_action(&mut self, action: ObserverAction) {
        match action {
            ObserverAction::Send(connection, message) => {
                self.pieces += usize::from(matches!(message, FromObserver::SnapshotPiece { .. }));
                self.subscriber.receive(self.now, 1, message);
                self.observer.queued(connection, 0, &self.store);
            }
            ObserverAction::Close(_, refusal) => {
                self.subscriber.disconnected(self.now, 1, Some(&refusal))
            }
            ObserverAction::Read(read) => self.reads.push(read),
        }
    }

    fn advance(&mut self, by: u64) {
        self.now += by;
        self.subscriber.tick(self.now);
        self.observer.tick(self.now, &self.store);
        self.settle();
    }

    fn answer_reads(&mut self, current: bool) {
        for read in std::mem::take(&mut self.reads) {
            self.observer
                .read_ended(self.now, read, current, &self.store);
        }
        self.settle();
    }

    fn change(&mut self, key: &str, value: &str) {
        put(&mut self.store, key, value);
        self.observer.applied(self.now, &self.store);
        self.settle();
    }

    fn assert_same(&self) {
        assert_eq!(self.subscriber.replica().revision(), self.store.revision());
        assert_eq!(
            self.subscriber.replica().entries_with_prefix(""),
            self.store.entries_with_prefix("")
        );
    }
}

#[test]
fn a_subscriber_reads_a_snapshot_then_changes_and_routes_once_confirmed() {
    let mut store = Store::default();
    (0..50).for_each(|n| put(&mut store, &format!("key-{n:02}"), "some value"));
    let mut pair = Pair::new(store);
    pair.advance(50 * MS);
    pair.assert_same();
    assert!(pair.pieces > 5, "{} pieces of 100 bytes", pair.pieces);
    assert!(
        pair.subscriber.may_route(pair.now).is_err(),
        "not confirmed yet"
    );
    pair.answer_reads(true);
    pair.advance(20 * MS);
    pair.answer_reads(true);
    assert!(pair.subscriber.may_route(pair.now).is_ok());
    for n in 0..20 {
        pair.change(&format!("key-{n}"), "new");
        pair.assert_same();
    }
}

#[test]
fn the_gate_shuts_without_answers_and_opens_with_the_next_one() {
    let mut pair = Pair::new(Store::default());
    pair.change("a", "1");
    pair.advance(50 * MS);
    pair.answer_reads(true);
    pair.advance(20 * MS);
    pair.answer_reads(true);
    assert!(pair.subscriber.may_route(pair.now).is_ok());
    for _ in 0..50 {
        pair.advance(100 * MS);
        pair.answer_reads(false);
    }
    assert!(pair.subscriber.may_route(pair.now).is_err());
    for _ in 0..50 {
        pair.advance(100 * MS);
        pair.answer_reads(true);
    }
    assert!(pair.subscriber.may_route(pair.now).is_ok());
}

#[test]
fn a_question_is_not_answered_by_a_read_that_began_before_it() {
    let mut observer = Observer::new(config(), 0);
    let store = Store::default();
    let hello = SubscriberHello {
        magic: MAGIC,
        version: VERSION,
        cluster: "c".to_owned(),
        observer: 1,
        name: "one".to_owned(),
        revision: 0,
    };
    assert_eq!(observer.connect(0, 1, &hello, &store).refused, None);
    let confirm = |question| {
        let progress = Progress {
            applied: 0,
            serving: false,
        };
        FromSubscriber::Confirm { question, progress }
    };
    observer.receive(0, 1, confirm(1), &store);
    assert_eq!(observer.actions(), vec![ObserverAction::Read(1)]);
    observer.receive(5 * MS, 1, confirm(2), &store);
    assert_eq!(observer.actions(), vec![], "one read runs");
    observer.read_ended(30 * MS, 1, true, &store);
    let answer = |question| {
        ObserverAction::Send(
            1,
            FromObserver::Confirmed {
                question,
                revision: 0,
            },
        )
    };
    assert_eq!(observer.actions(), vec![answer(1), ObserverAction::Read(2)]);
    observer.read_ended(35 * MS, 2, true, &store);
    assert_eq!(observer.actions(), vec![answer(2)]);
}

#[test]
fn a_subscriber_that_was_away_goes_on_or_is_sent_a_snapshot() {
    let mut pair = Pair::new(Store::default());
    pair.advance(50 * MS);
    pair.change("a", "1");
    pair.assert_same();
    for lost in [false, true] {
        pair.observer.disconnect(pair.now, pair.connection);
        pair.subscriber.disconnected(pair.now, 1, None);
        (0..10).for_each(|n| put(&mut pair.store, &format!("key-{n}"), "x"));
        if lost {
            let revision = pair.store.revision();
            compact(&mut pair.store, revision - 2);
        }
        pair.observer.applied(pair.now, &pair.store);
        let pieces = pair.pieces;
        (0..30).for_each(|_| pair.advance(100 * MS));
        pair.assert_same();
        assert_eq!(
            pair.pieces > pieces,
            lost,
            "a snapshot where changes were compacted away, and only there"
        );
    }
}

#[test]
fn progress_is_summed_over_subscribers_and_observers() {
    let mut pair = Pair::new(Store::default());
    (0..20).for_each(|_| {
        pair.advance(100 * MS);
        pair.answer_reads(true);
    });
    pair.change("a", "1");
    (0..10).for_each(|_| {
        pair.advance(100 * MS);
        pair.answer_reads(true);
    });
    let summary = pair.observer.progress(pair.now);
    assert_eq!(
        (summary.serving, summary.not_serving, summary.least),
        (1, 0, Some(1))
    );
    let mut fleet = FleetProgress::default();
    fleet.report(pair.now, 1, summary);
    let totals = fleet.record(pair.now, 1_000 * MS);
    assert_eq!(
        (totals.observers, totals.serving, totals.in_force),
        (1, 1, 1)
    );
    assert_eq!(fleet.in_force().count(), 1);
    let later = fleet.totals(pair.now + 60_000 * MS, 1_000 * MS);
    assert_eq!(
        (later.silent_observers, later.serving, later.in_force),
        (1, 0, 0)
    );
}

/// A subscriber whose connections to observers 1 and 2 are open; the watched one, and the other.
fn subscriber_of_two() -> (Subscriber, u64, u64) {
    let config = SubscriberConfig::default_for("c", "one", vec![1, 2]);
    let mut subscriber = Subscriber::new(config, 7, 0);
    subscriber.tick(50 * MS);
    for id in [1, 2] {
        let welcome = ObserverWelcome {
            refused: None,
            revision: 9,
            subscribers: 1,
            capacity: 10,
        };
        subscriber.connected(50 * MS, id, &welcome);
    }
    let (watched, reserve) = subscriber.observers();
    (subscriber, watched.unwrap(), reserve.unwrap())
}

fn piece(after: Option<&str>, key: &str, last: bool) -> FromObserver {
    let entries = vec![(key.to_owned(), 5, vec![1])];
    FromObserver::SnapshotPiece {
        revision: 9,
        after: after.map(str::to_owned),
        entries,
        last,
    }
}

#[test]
fn a_snapshot_goes_on_at_another_observer() {
    let (mut subscriber, watched, reserve) = subscriber_of_two();
    subscriber.receive(60 * MS, watched, piece(None, "a", false));
    subscriber.actions();
    subscriber.disconnected(70 * MS, watched, None);
    let from = Some(SnapshotPlace {
        revision: 9,
        after: "a".to_owned(),
    });
    let asked = SubscriberAction::Send(reserve, FromSubscriber::Snapshot { from });
    assert!(subscriber.actions().contains(&asked));
    assert_eq!(subscriber.replica().revision(), 0, "not whole yet");
    subscriber.receive(80 * MS, reserve, piece(Some("a"), "b", true));
    assert_eq!(
        (
            subscriber.replica().revision(),
            subscriber.replica().entries_with_prefix("").len()
        ),
        (9, 2)
    );
}

#[test]
fn a_snapshot_whose_revision_is_compacted_begins_anew() {
    let (mut subscriber, watched, _) = subscriber_of_two();
    subscriber.receive(60 * MS, watched, piece(None, "a", false));
    subscriber.actions();
    subscriber.receive(70 * MS, watched, FromObserver::Compacted { first: 20 });
    let asked = SubscriberAction::Send(watched, FromSubscriber::Snapshot { from: None });
    assert_eq!(subscriber.actions(), vec![asked]);
    let entries = vec![("b".to_owned(), 21, vec![1])];
    let whole = FromObserver::SnapshotPiece {
        revision: 21,
        after: None,
        entries,
        last: true,
    };
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
fn entries_of_a_snapshot_are_not_routed_on_by_an_answer_to_an_earlier_question() {
    let (mut subscriber, watched, _) = subscriber_of_two();
    let question = |action: &SubscriberAction| match action {
        SubscriberAction::Send(id, FromSubscriber::Confirm { question, .. }) if *id == watched => {
            Some(*question)
        }
        _ => None,
    };
    let before: Vec<u64> = subscriber.actions().iter().filter_map(question).collect();
    subscriber.receive(60 * MS, watched, piece(None, "a", true));
    let after: Vec<u64> = subscriber.actions().iter().filter_map(question).collect();
    let answer = |question: u64| FromObserver::Confirmed {
        question,
        revision: 9,
    };
    subscriber.receive(70 * MS, watched, answer(before[0]));
    assert!(subscriber.may_route(70 * MS).is_err());
    subscriber.receive(80 * MS, watched, answer(after[0]));
    assert!(subscriber.may_route(80 * MS).is_ok());
}

#[test]
fn a_silent_observer_holds_back_what_is_in_force_for_a_while() {
    let summary = |least| ProgressSummary {
        revision: 9,
        serving: 10,
        least: Some(least),
        laggards: vec![(format!("at-{least}"), least)],
        ..ProgressSummary::default()
    };
    let mut fleet = FleetProgress::default();
    fleet.report(0, 1, summary(7));
    fleet.report(4_000 * MS, 2, summary(9));
    let totals = fleet.totals(4_000 * MS, 2_000 * MS);
    assert_eq!(
        (totals.observers, totals.silent_observers, totals.serving),
        (1, 1, 10)
    );
    assert_eq!((totals.in_force, totals.laggards.len()), (7, 1));
    assert_eq!(fleet.totals(5_500 * MS, 2_000 * MS).in_force, 9);
    fleet.forget(1);
    assert_eq!(fleet.totals(4_000 * MS, 2_000 * MS).in_force, 9);
}
