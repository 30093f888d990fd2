//! The front end's side: which observers it holds, its replica, and the gate before routing.

use violetgate_consensus::NodeId;
use violetgate_state::{Micros, Stale};

use crate::message::{FromObserver, FromSubscriber, ObserverWelcome, Refusal, SubscriberHello};
use crate::replica::Replica;

/// How a subscriber behaves.
#[derive(Debug, Clone)]
pub struct SubscriberConfig {
    /// The cluster's name.
    pub cluster: String,
    /// This front end's name, unique in the fleet.
    pub name: String,
    /// All observers.
    pub observers: Vec<NodeId>,
    /// The drain limit: a replica that was not confirmed within it is not routed on.
    pub drain_limit: Micros,
    /// How often the replica is confirmed.
    pub confirm_every: Micros,
    /// How long an observer may leave a question unanswered before the standby is asked as well and takes over.
    pub answer_within: Micros,
    /// The first and the longest pause before another connection attempt; each is drawn from 0 to the pause (full
    /// jitter), which doubles.
    pub pause: (Micros, Micros),
}

/// What the carrier has to do, in this order.
#[derive(Debug, Clone, PartialEq)]
pub enum SubscriberAction {
    /// Connect to an observer and greet it; tell by [`Subscriber::connected`] or [`Subscriber::disconnected`].
    Connect(NodeId, SubscriberHello),
    /// Close the connection to an observer; nothing is told of it afterwards.
    Disconnect(NodeId),
    /// Send this to an observer.
    Send(NodeId, FromSubscriber),
}

/// A front end's subscription.
#[derive(Debug)]
pub struct Subscriber {
    config: SubscriberConfig,
    replica: Replica,
}

impl Subscriber {
    /// A subscriber that holds nothing yet; its gate is shut.
    #[must_use]
    pub fn new(config: SubscriberConfig, seed: u64, now: Micros) -> Self {
        let _ = (seed, now);
        Subscriber { config, replica: Replica::default() }
    }

    /// An observer has answered the greeting.
    pub fn connected(&mut self, now: Micros, observer: NodeId, welcome: &ObserverWelcome) {
        let _ = (now, observer, welcome);
    }

    /// A connection could not be made, or has ended; the refusal, if one was told.
    pub fn disconnected(&mut self, now: Micros, observer: NodeId, refusal: Option<&Refusal>) {
        let _ = (now, observer, refusal);
    }

    /// A message has come.
    pub fn receive(&mut self, now: Micros, observer: NodeId, message: FromObserver) {
        let _ = (now, observer, message);
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Micros) {
        let _ = now;
    }

    /// When it wants to be told the time again.
    #[must_use]
    pub fn next_tick(&self) -> Micros {
        Micros::MAX
    }

    /// What is to be done since the last call.
    pub fn actions(&mut self) -> Vec<SubscriberAction> {
        Vec::new()
    }

    /// The agreed entries as they are applied here.
    #[must_use]
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// The observer that it watches now, and the one that it holds in reserve.
    #[must_use]
    pub fn observers(&self) -> (Option<NodeId>, Option<NodeId>) {
        (self.config.observers.first().copied(), None)
    }

    /// The last refusal that is still in force, for operators.
    #[must_use]
    pub fn refusal(&self) -> Option<&Refusal> {
        None
    }

    /// Whether a send may leave now on the state that is here.
    ///
    /// # Errors
    ///
    /// The replica is too old.
    pub fn may_route(&self, now: Micros) -> Result<(), Stale> {
        let _ = now;
        Err(Stale { age: None })
    }
}
