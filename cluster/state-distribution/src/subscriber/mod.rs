//! The gateway's side: its connections to observers, its replica, and the staleness check before
//! routing.
//!
//! - [`config`]: intervals and time limits.
//! - [`connections`]: which observers are connected: one watched, one as standby, and at times one
//!   under trial.
//! - [`observer_connection`]: one connection and its unanswered polls.
//! - [`observer_directory`]: load and backoff of each observer, and the choice of the next one.
//! - [`polling`]: freshness polls, and what their timeouts cause.
//! - [`replication`], [`snapshot_download`]: changes and snapshots, applied to the replica.

mod config;
mod connections;
mod observer_connection;
mod observer_directory;
mod polling;
mod random;
mod replication;
mod snapshot_download;

use std::collections::BTreeMap;

use rand_chacha::rand_core::SeedableRng;
use rand_chacha::ChaCha8Rng;
use violetgate_raft::NodeId;
use violetgate_replicated_state::{Micros, Stale, StalenessGuard};

use crate::message::{ObserverMessage, PollId, SubscriberHello, SubscriberMessage};
use crate::mutant::Mutant;
use crate::rejection::Rejection;
use crate::subscriber_replica::SubscriberReplica;
use observer_connection::ObserverConnection;
use observer_directory::ObserverDirectory;
use random::random_up_to;
use snapshot_download::SnapshotDownload;

pub use config::{Backoff, InvalidSubscriberConfig, SubscriberConfig};

/// What the caller has to do, in this order.
#[derive(Debug, Clone, PartialEq)]
pub enum SubscriberAction {
    /// Connect to an observer and send the greeting. The result is reported by
    /// [`Subscriber::connected`] or [`Subscriber::disconnected`].
    Connect {
        /// The observer.
        observer: NodeId,
        /// The greeting.
        hello: SubscriberHello,
    },
    /// Close the connection to an observer. Its end is not reported.
    Disconnect(NodeId),
    /// Send a message.
    Send {
        /// Where to.
        observer: NodeId,
        /// The message.
        message: SubscriberMessage,
    },
}

/// The observers that a subscriber is connected to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldObservers {
    /// The one that sends changes.
    pub watched: Option<NodeId>,
    /// The one that takes over when the watched one fails.
    pub standby: Option<NodeId>,
}

/// A gateway's subscription.
#[derive(Debug)]
pub struct Subscriber {
    config: SubscriberConfig,
    rng: ChaCha8Rng,
    now: Micros,
    replica: SubscriberReplica,
    /// Whether the replica is the cluster's; the empty one before the first snapshot is not.
    has_replica: bool,
    staleness_guard: StalenessGuard,
    directory: ObserverDirectory,
    /// Connections and attempts: the watched observer, the standby, and one more that is under
    /// trial.
    connections: BTreeMap<NodeId, ObserverConnection>,
    watched: Option<NodeId>,
    standby: Option<NodeId>,
    download: Option<SnapshotDownload>,
    last_poll: PollId,
    next_poll_at: Micros,
    next_standby_poll_at: Micros,
    next_attempt_at: Micros,
    /// The bound of the delay before the next attempt to connect to any observer, in microseconds.
    attempt_backoff: Micros,
    /// Connections closed for want of answers since the last answer.
    unanswered_closes: u32,
    actions: Vec<SubscriberAction>,
    #[cfg(feature = "mutants")]
    mutant: Option<Mutant>,
}

impl Subscriber {
    /// A subscriber without a replica. Nothing may be routed until its state is confirmed.
    #[must_use]
    pub fn new(config: SubscriberConfig, seed: u64, now: Micros) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let attempt_backoff = config.backoff.initial;
        let next_attempt_at = now.saturating_add(random_up_to(&mut rng, attempt_backoff));
        Subscriber {
            rng,
            now,
            replica: SubscriberReplica::default(),
            has_replica: false,
            staleness_guard: StalenessGuard::new(config.drain_limit),
            directory: ObserverDirectory::new(&config.observers, config.backoff),
            connections: BTreeMap::new(),
            watched: None,
            standby: None,
            download: None,
            last_poll: 0,
            next_poll_at: now,
            next_standby_poll_at: now,
            next_attempt_at,
            attempt_backoff,
            unanswered_closes: 0,
            actions: Vec::new(),
            #[cfg(feature = "mutants")]
            mutant: None,
            config,
        }
    }

    /// Handles a message from an observer.
    pub fn receive(&mut self, now: Micros, observer: NodeId, message: ObserverMessage) {
        self.now = now;
        if !self.is_open(observer) {
            return;
        }
        let is_watched = self.watched == Some(observer);
        match message {
            ObserverMessage::Changes(batch) if is_watched => {
                self.receive_changes(observer, &batch);
            }
            ObserverMessage::Compacted { first } if is_watched => {
                self.receive_compacted(observer, first);
            }
            ObserverMessage::SnapshotChunk(chunk) if is_watched => {
                self.receive_chunk(observer, chunk);
            }
            // These were on their way when another observer took over. Positions in the queue need
            // no action.
            ObserverMessage::Changes(_)
            | ObserverMessage::Compacted { .. }
            | ObserverMessage::SnapshotChunk(_)
            | ObserverMessage::SnapshotQueued { .. } => {}
            ObserverMessage::PollConfirmed { poll, revision } => {
                self.receive_confirmation(observer, poll, revision);
            }
            ObserverMessage::LoadReport {
                subscribers,
                capacity,
            } => {
                self.directory
                    .record_load(now, observer, subscribers, capacity);
                if is_watched {
                    self.rebalance();
                }
            }
            ObserverMessage::Rejected(rejection) => {
                self.close_connection(observer, Some(&rejection));
            }
        }
    }

    fn is_open(&self, observer: NodeId) -> bool {
        let connection = self.connections.get(&observer);
        connection.is_some_and(|connection| connection.is_open)
    }

    fn send(&mut self, observer: NodeId, message: SubscriberMessage) {
        self.actions
            .push(SubscriberAction::Send { observer, message });
    }

    /// The actions that have accumulated since the last call.
    pub fn take_actions(&mut self) -> Vec<SubscriberAction> {
        std::mem::take(&mut self.actions)
    }

    /// The replicated entries as they are applied here.
    #[must_use]
    pub fn replica(&self) -> &SubscriberReplica {
        &self.replica
    }

    /// The observers that it is connected to.
    #[must_use]
    pub fn held_observers(&self) -> HeldObservers {
        HeldObservers {
            watched: self.watched,
            standby: self.standby,
        }
    }

    /// The last rejection by an observer that has not accepted this subscriber since, for
    /// operators.
    #[must_use]
    pub fn rejection(&self) -> Option<&Rejection> {
        self.directory.last_rejection()
    }

    /// Whether requests may be routed on the replica.
    ///
    /// # Errors
    ///
    /// The replica is older than the drain limit, or was never confirmed.
    pub fn may_route(&self, now: Micros) -> Result<(), Stale> {
        self.staleness_guard.check(now)
    }

    /// How long from now requests may be routed without another confirmation, in microseconds; 0:
    /// they may not.
    #[must_use]
    pub fn time_until_stale(&self, now: Micros) -> Micros {
        self.staleness_guard.remaining_validity(now)
    }

    /// Makes it decide wrongly.
    #[cfg(feature = "mutants")]
    #[doc(hidden)]
    pub fn set_mutant(&mut self, mutant: Option<Mutant>) {
        self.mutant = mutant;
    }

    #[cfg(feature = "mutants")]
    fn mutated(&self, mutant: Mutant) -> bool {
        self.mutant == Some(mutant)
    }

    #[cfg(not(feature = "mutants"))]
    #[expect(
        clippy::unused_self,
        reason = "the same call as with the feature `mutants`"
    )]
    fn mutated(&self, _: Mutant) -> bool {
        false
    }
}
