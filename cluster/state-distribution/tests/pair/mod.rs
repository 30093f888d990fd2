//! One observer and one subscriber, connected without delay.
#![allow(dead_code, reason = "each test file uses a part of it")]

use violetgate_replicated_state::{Entries, Store};
use violetgate_state_distribution::*;

use crate::common::put;

/// An observer and a subscriber whose messages arrive at once.
pub struct Pair {
    pub now: u64,
    pub store: Store,
    pub observer: Observer,
    pub subscriber: Subscriber,
    pub connection: u64,
    pub reads: Vec<ReadId>,
    pub chunks: usize,
    /// The size of the longest message of the observer, in bytes.
    pub longest_message: usize,
}

impl Pair {
    pub fn new(store: Store) -> Self {
        Self::with_chunk_bytes(store, 100)
    }

    pub fn with_chunk_bytes(store: Store, chunk_bytes: usize) -> Self {
        let subscriber = SubscriberConfig::default_for("c", "one", vec![1]);
        let observer_config = ObserverConfig {
            chunk_bytes,
            ..ObserverConfig::default_for("c", 1)
        };
        Pair {
            now: 0,
            store,
            observer: Observer::new(observer_config, 0),
            subscriber: Subscriber::new(subscriber, 7, 0),
            connection: 0,
            reads: Vec::new(),
            chunks: 0,
            longest_message: 0,
        }
    }

    /// Performs the actions of both sides until there are none left.
    fn perform_actions(&mut self) {
        loop {
            let (from_subscriber, from_observer) =
                (self.subscriber.take_actions(), self.observer.take_actions());
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
            SubscriberAction::Connect {
                observer: id,
                hello,
            } => {
                self.connection += 1;
                let welcome = self
                    .observer
                    .accept(self.now, self.connection, &hello, &self.store);
                self.subscriber.connected(self.now, id, &welcome);
            }
            SubscriberAction::Disconnect(_) => {
                self.observer.disconnected(self.now, self.connection)
            }
            SubscriberAction::Send { message, .. } => {
                self.observer
                    .receive(self.now, self.connection, message, &self.store);
            }
        }
    }

    fn observer_action(&mut self, action: ObserverAction) {
        match action {
            ObserverAction::Send {
                connection,
                message,
            } => {
                let bytes = postcard::to_stdvec(&message).map_or(usize::MAX, |bytes| bytes.len());
                self.longest_message = self.longest_message.max(bytes);
                self.chunks += usize::from(matches!(message, ObserverMessage::SnapshotChunk(_)));
                self.subscriber.receive(self.now, 1, message);
                self.observer.bytes_queued(connection, 0, &self.store);
            }
            ObserverAction::Close { rejection, .. } => {
                self.subscriber.disconnected(self.now, 1, Some(&rejection))
            }
            ObserverAction::BeginRead(read) => self.reads.push(read),
        }
    }

    pub fn advance(&mut self, by: u64) {
        self.now += by;
        self.subscriber.tick(self.now);
        self.observer.tick(self.now, &self.store);
        self.perform_actions();
    }

    pub fn complete_reads(&mut self, result: ReadResult) {
        for read in std::mem::take(&mut self.reads) {
            self.observer
                .read_completed(self.now, read, result, &self.store);
        }
        self.perform_actions();
    }

    pub fn change(&mut self, key: &str, value: &str) {
        put(&mut self.store, key, value.as_bytes());
        self.observer.store_applied(self.now, &self.store);
        self.perform_actions();
    }

    pub fn assert_same(&self) {
        assert_eq!(self.subscriber.replica().revision(), self.store.revision());
        assert_eq!(
            self.subscriber.replica().entries_with_prefix(""),
            self.store.entries_with_prefix("")
        );
    }
}
