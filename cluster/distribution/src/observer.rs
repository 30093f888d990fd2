//! The serving side: an observer and its subscribers.

use violetgate_consensus::NodeId;
use violetgate_state::{Micros, Store};

use crate::message::{FromObserver, FromSubscriber, ObserverWelcome, Refusal, SubscriberHello};
use crate::progress::ProgressSummary;

/// A subscriber's connection, by the number that the carrier gives it; never used twice.
pub type ConnectionId = u64;
/// A linearizable read that the observer asks of the cluster for all questions that came before it began.
pub type ReadId = u64;

/// How an observer behaves.
#[derive(Debug, Clone)]
pub struct ObserverConfig {
    /// The cluster's name.
    pub cluster: String,
    /// This observer.
    pub id: NodeId,
    /// The most subscribers.
    pub capacity: u32,
    /// The most snapshots that are under way at once; the others wait in their order.
    pub snapshots_at_once: usize,
    /// The most bytes of one snapshot piece (one entry at least).
    pub piece_bytes: usize,
    /// The most bytes that wait for one subscriber. Beyond them changes are held back, and a subscriber that falls
    /// behind what is kept reads a snapshot anew.
    pub queue_bytes: usize,
    /// The least time between two reads of the cluster.
    pub read_every: Micros,
    /// How often subscribers are told of this observer's load.
    pub load_every: Micros,
}

/// What the carrier has to do, in this order.
#[derive(Debug, Clone, PartialEq)]
pub enum ObserverAction {
    /// Send this on a connection.
    Send(ConnectionId, FromObserver),
    /// Close a connection once what was sent before has left.
    Close(ConnectionId, Refusal),
    /// Ask the cluster whether its state is current (`Cluster::current`), and tell by [`Observer::read_ended`].
    Read(ReadId),
}

/// An observer's side of all its subscriptions.
#[derive(Debug)]
pub struct Observer {
    config: ObserverConfig,
}

impl Observer {
    /// An observer without subscribers.
    #[must_use]
    pub fn new(config: ObserverConfig, now: Micros) -> Self {
        let _ = now;
        Observer { config }
    }

    /// A subscriber has connected and sent its greeting. The carrier writes the answer; where it is a refusal it closes
    /// the connection then, and this core forgets it.
    pub fn connect(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        hello: &SubscriberHello,
        store: &Store,
    ) -> ObserverWelcome {
        let _ = (now, connection, hello, store);
        ObserverWelcome { refused: None, revision: 0, subscribers: 0, capacity: self.config.capacity }
    }

    /// A connection has ended.
    pub fn disconnect(&mut self, now: Micros, connection: ConnectionId) {
        let _ = (now, connection);
    }

    /// A message has come.
    pub fn receive(&mut self, now: Micros, connection: ConnectionId, message: FromSubscriber, store: &Store) {
        let _ = (now, connection, message, store);
    }

    /// How many bytes wait in the carrier for a connection now, after something was written.
    pub fn queued(&mut self, connection: ConnectionId, bytes: usize, store: &Store) {
        let _ = (connection, bytes, store);
    }

    /// More was applied to the store.
    pub fn applied(&mut self, now: Micros, store: &Store) {
        let _ = (now, store);
    }

    /// A read has ended: with the store current (it was so at some moment after the read began, and is applied here),
    /// or without an answer.
    pub fn read_ended(&mut self, now: Micros, read: ReadId, current: bool, store: &Store) {
        let _ = (now, read, current, store);
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Micros, store: &Store) {
        let _ = (now, store);
    }

    /// When it wants to be told the time again.
    #[must_use]
    pub fn next_tick(&self) -> Micros {
        Micros::MAX
    }

    /// What is to be done since the last call.
    pub fn actions(&mut self) -> Vec<ObserverAction> {
        Vec::new()
    }

    /// How far this observer's subscribers are, summed.
    #[must_use]
    pub fn progress(&self, now: Micros) -> ProgressSummary {
        let _ = now;
        ProgressSummary::default()
    }
}
