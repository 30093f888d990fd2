//! One observer and one subscriber, joined without delay: the course of a subscription, step by step.
#![allow(clippy::unwrap_used, clippy::panic, clippy::indexing_slicing)]

use violetgate_distribution::*;
use violetgate_state::{Command, Entries, Op, Step, Store, Txn};

const MS: u64 = 1_000;

fn put(store: &mut Store, key: &str, value: &str) {
    let op = Op::Put { key: key.to_owned(), value: value.as_bytes().to_vec(), lease: None };
    let txn = Txn { then: vec![op], ..Txn::default() };
    store.apply(&Command { request: None, who: "test".to_owned(), time: 0, step: Step::Txn(txn) });
}

fn compact(store: &mut Store, to: u64) {
    store.apply(&Command { request: None, who: "test".to_owned(), time: 0, step: Step::Compact(to) });
}

fn config() -> ObserverConfig {
    ObserverConfig { piece_bytes: 100, ..ObserverConfig::default_for("c", 1) }
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
            let (from_subscriber, from_observer) = (self.subscriber.actions(), self.observer.actions());
            if from_subscriber.is_empty() && from_observer.is_empty() {
                return;
            }
            from_subscriber.into_iter().for_each(|action| self.subscriber_action(action));
            from_observer.into_iter().for_each(|action| self.observer_action(action));
        }
    }

    fn subscriber_action(&mut self, action: SubscriberAction) {
        match action {
            SubscriberAction::Connect(id, hello) => {
                self.connection += 1;
                let welcome = self.observer.connect(self.now, self.connection, &hello, &self.store);
                self.subscriber.connected(self.now, id, &welcome);
            }
            SubscriberAction::Disconnect(_) => self.observer.disconnect(self.now, self.connection),
            SubscriberAction::Send(_, message) => {
                self.observer.receive(self.now, self.connection, message, &self.store);
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
            ObserverAction::Close(_, refusal) => self.subscriber.disconnected(self.now, 1, Some(&refusal)),
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
            self.observer.read_ended(self.now, read, current, &self.store);
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
        assert_eq!(self.subscriber.replica().entries_below(""), self.store.entries_below(""));
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
    assert!(pair.subscriber.may_route(pair.now).is_err(), "not confirmed yet");
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
        let progress = Progress { applied: 0, serving: false };
        FromSubscriber::Confirm { question, progress }
    };
    observer.receive(0, 1, confirm(1), &store);
    assert_eq!(observer.actions(), vec![ObserverAction::Read(1)]);
    observer.receive(5 * MS, 1, confirm(2), &store);
    assert_eq!(observer.actions(), vec![], "one read runs");
    observer.read_ended(30 * MS, 1, true, &store);
    let answer = |question| ObserverAction::Send(1, FromObserver::Confirmed { question, revision: 0 });
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
    assert_eq!((summary.serving, summary.not_serving, summary.least), (1, 0, Some(1)));
    let mut fleet = FleetProgress::default();
    fleet.report(pair.now, 1, summary);
    let totals = fleet.record(pair.now, 1_000 * MS);
    assert_eq!((totals.observers, totals.serving, totals.in_force), (1, 1, 1));
    assert_eq!(fleet.in_force().count(), 1);
    let later = fleet.totals(pair.now + 60_000 * MS, 1_000 * MS);
    assert_eq!((later.silent_observers, later.serving, later.in_force), (1, 0, 0));
}
