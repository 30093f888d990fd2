//! The gateway's side: its connections to observers, its replica, and the staleness check before
//! routing.
//!
//! - [`config`]: intervals and time limits.
//! - [`connections`]: which observers are connected: one is watched, one is the standby, and
//!   sometimes a third is under trial.
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

/// An action that the caller has to perform. Actions are performed in the order in which
/// [`Subscriber::take_actions`] returns them.
#[derive(Debug, Clone, PartialEq)]
pub enum SubscriberAction {
    /// Connect to an observer and send the greeting. The result is reported by
    /// [`Subscriber::connected`] or [`Subscriber::disconnected`].
    Connect {
        /// The observer to connect to.
        observer: NodeId,
        /// The greeting to send.
        hello: SubscriberHello,
    },
    /// Close the connection to an observer. The caller does not report its end.
    Disconnect(NodeId),
    /// Send a message to an observer.
    Send {
        /// The observer to send to.
        observer: NodeId,
        /// The message to send.
        message: SubscriberMessage,
    },
}

/// The observers that a subscriber is connected to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldObservers {
    /// The observer that sends changes.
    pub watched: Option<NodeId>,
    /// The observer that takes over when the watched observer fails.
    pub standby: Option<NodeId>,
}

/// The gateway's side of its subscription. The caller delivers messages and connection events, and
/// performs the actions that [`Subscriber::take_actions`] returns.
#[derive(Debug)]
pub struct Subscriber {
    config: SubscriberConfig,
    rng: ChaCha8Rng,
    now: Micros,
    replica: SubscriberReplica,
    /// Whether a snapshot was installed. Before that, the replica is empty and not the cluster's
    /// state.
    has_replica: bool,
    staleness_guard: StalenessGuard,
    directory: ObserverDirectory,
    /// Open connections and attempts: the watched observer, the standby, and possibly an observer
    /// under trial.
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
    /// The number of connections closed since the last answer because polls were not answered.
    closes_since_answer: u32,
    actions: Vec<SubscriberAction>,
    #[cfg(feature = "mutants")]
    mutant: Option<Mutant>,
}

impl Subscriber {
    /// Creates a subscriber without a replica. No request may be routed until its state is
    /// confirmed.
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
            closes_since_answer: 0,
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
            // Changes and chunks of another observer were sent before the subscriber began to watch
            // the present one, and are ignored. Queue positions need no action.
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

    /// Takes the actions that have accumulated since the last call.
    pub fn take_actions(&mut self) -> Vec<SubscriberAction> {
        std::mem::take(&mut self.actions)
    }

    /// Returns the replicated entries that this subscriber has applied.
    #[must_use]
    pub fn replica(&self) -> &SubscriberReplica {
        &self.replica
    }

    /// Returns the watched observer and the standby.
    #[must_use]
    pub fn held_observers(&self) -> HeldObservers {
        HeldObservers {
            watched: self.watched,
            standby: self.standby,
        }
    }

    /// Returns the last rejection by an observer that has not accepted this subscriber since, for
    /// display to operators.
    #[must_use]
    pub fn rejection(&self) -> Option<&Rejection> {
        self.directory.last_rejection()
    }

    /// Checks that the replica is fresh enough to route requests on.
    ///
    /// # Errors
    ///
    /// Returns an error if the replica has reached the drain limit, or was never confirmed.
    pub fn may_route(&self, now: Micros) -> Result<(), Stale> {
        self.staleness_guard.check(now)
    }

    /// Returns how long requests may be routed without another confirmation, in microseconds from
    /// `now`; 0 if they may not be routed.
    #[must_use]
    pub fn time_until_stale(&self, now: Micros) -> Micros {
        self.staleness_guard.remaining_validity(now)
    }

    /// Activates a mutant: a wrong decision that the tests have to detect.
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
