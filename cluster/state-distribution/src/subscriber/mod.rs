//! The front end's side: which observers it holds, its replica, and the gate before routing.

mod directory;
mod download;
mod follow;
mod link;
mod links;

use std::collections::BTreeMap;

use rand_chacha::rand_core::SeedableRng;
use rand_chacha::ChaCha8Rng;
use violetgate_raft::NodeId;
use violetgate_replicated_state::{Entries, Micros, Stale, StalenessGuard};

use crate::message::{FromObserver, FromSubscriber, Progress, Refusal, SubscriberHello};
use crate::mutant::Mutant;
use crate::replica::Replica;
use directory::{draw, Directory};
use download::Download;
use link::Link;

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

impl SubscriberConfig {
    /// The defaults for a front end of a cluster with these observers.
    #[must_use]
    pub fn default_for(cluster: &str, name: &str, observers: Vec<NodeId>) -> Self {
        SubscriberConfig {
            cluster: cluster.to_owned(),
            name: name.to_owned(),
            observers,
            drain_limit: 2_000_000,
            confirm_every: 500_000,
            answer_within: 400_000,
            pause: (50_000, 2_000_000),
        }
    }
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
    rng: ChaCha8Rng,
    now: Micros,
    replica: Replica,
    /// Whether the replica is of the cluster; the one before the first snapshot is not.
    holds_replica: bool,
    gate: StalenessGuard,
    directory: Directory,
    /// Connections: the watched one, the reserve, and one more that is tried.
    links: BTreeMap<NodeId, Link>,
    watched: Option<NodeId>,
    reserve: Option<NodeId>,
    download: Option<Download>,
    last_question: u64,
    confirm_at: Micros,
    check_reserve_at: Micros,
    connect_at: Micros,
    /// The longest pause before the next attempt to connect to any observer.
    pause: Micros,
    /// Connections given up for want of answers since the last answer.
    given_up: u32,
    out: Vec<SubscriberAction>,
    #[cfg(feature = "mutants")]
    mutant: Option<Mutant>,
}

impl Subscriber {
    /// A subscriber that holds nothing yet; its gate is shut.
    #[must_use]
    pub fn new(config: SubscriberConfig, seed: u64, now: Micros) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let first_pause = config.pause.0;
        let connect_at = now.saturating_add(draw(&mut rng, first_pause));
        Subscriber {
            rng,
            now,
            replica: Replica::default(),
            holds_replica: false,
            gate: StalenessGuard::new(config.drain_limit),
            directory: Directory::new(&config.observers, config.pause),
            links: BTreeMap::new(),
            watched: None,
            reserve: None,
            download: None,
            last_question: 0,
            confirm_at: now,
            check_reserve_at: now,
            connect_at,
            pause: first_pause,
            given_up: 0,
            out: Vec::new(),
            #[cfg(feature = "mutants")]
            mutant: None,
            config,
        }
    }

    /// A message has come.
    pub fn receive(&mut self, now: Micros, observer: NodeId, message: FromObserver) {
        self.now = now;
        if !self.links.get(&observer).is_some_and(|link| link.open) {
            return;
        }
        let watched = self.watched == Some(observer);
        match message {
            FromObserver::Changes { after, to, changes } if watched => {
                self.take_changes(observer, after, to, &changes);
            }
            FromObserver::Compacted { first } if watched => self.compacted(observer, first),
            FromObserver::SnapshotPiece {
                revision,
                after,
                entries,
                last,
            } if watched => {
                self.take_piece(observer, revision, after.as_deref(), entries, last);
            }
            // What was on its way when another observer took over, and places in the queue, change nothing.
            FromObserver::Changes { .. }
            | FromObserver::Compacted { .. }
            | FromObserver::SnapshotPiece { .. }
            | FromObserver::SnapshotQueued { .. } => {}
            FromObserver::Confirmed { question, revision } => {
                self.confirmed(observer, question, revision)
            }
            FromObserver::Load {
                subscribers,
                capacity,
            } => {
                self.directory
                    .heard_load(now, observer, subscribers, capacity);
                if watched {
                    self.balance();
                }
            }
            FromObserver::Refused(refusal) => self.leave(observer, Some(&refusal)),
        }
    }

    /// An answer counts from the moment of its question, once the revision that it names is applied.
    fn confirmed(&mut self, observer: NodeId, question: u64, revision: u64) {
        let Some(link) = self.links.get_mut(&observer) else {
            return;
        };
        if !std::mem::replace(&mut link.proved, true) {
            self.pause = self.config.pause.0;
        }
        if let Some(gate) = link.answered(question) {
            self.gate.confirmation_answered(gate, revision);
            if self.mutated(Mutant::AgeFromAnswer) {
                let late = self.gate.begin_confirmation(self.now);
                self.gate.confirmation_answered(late, revision);
            }
        }
        self.directory.proved(observer);
        self.given_up = 0;
        if self.reserve == Some(observer) && self.watched_is_overdue() {
            self.follow(observer);
        }
    }

    /// Asks an observer whether its state is current. The answer counts from now.
    fn ask(&mut self, observer: NodeId) {
        let serving = self.may_route(self.now).is_ok();
        let Some(link) = self.links.get_mut(&observer) else {
            return;
        };
        let gate = self.gate.begin_confirmation(self.now);
        self.last_question += 1;
        link.asked(self.now, self.last_question, gate);
        let progress = Progress {
            applied: self.replica.revision(),
            serving,
        };
        self.send(
            observer,
            FromSubscriber::Confirm {
                question: self.last_question,
                progress,
            },
        );
    }

    fn send(&mut self, observer: NodeId, message: FromSubscriber) {
        self.out.push(SubscriberAction::Send(observer, message));
    }

    /// What is to be done since the last call.
    pub fn actions(&mut self) -> Vec<SubscriberAction> {
        std::mem::take(&mut self.out)
    }

    /// The agreed entries as they are applied here.
    #[must_use]
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// The observer that it watches now, and the one that it holds in reserve.
    #[must_use]
    pub fn observers(&self) -> (Option<NodeId>, Option<NodeId>) {
        (self.watched, self.reserve)
    }

    /// The last refusal that is still in force, for operators.
    #[must_use]
    pub fn refusal(&self) -> Option<&Refusal> {
        self.directory.refusal()
    }

    /// Whether a send may leave now on the state that is here.
    ///
    /// # Errors
    ///
    /// The replica is too old.
    pub fn may_route(&self, now: Micros) -> Result<(), Stale> {
        self.gate.check(now)
    }

    /// How long sends may go on from now without another confirmation; 0: none may leave.
    #[must_use]
    pub fn remaining(&self, now: Micros) -> Micros {
        self.gate.remaining_validity(now)
    }

    /// Has it decide wrongly.
    #[cfg(feature = "mutants")]
    #[doc(hidden)]
    pub fn set_mutant(&mut self, mutant: Option<Mutant>) {
        self.mutant = mutant;
    }

    #[cfg(feature = "mutants")]
    fn mutated(&self, how: Mutant) -> bool {
        self.mutant == Some(how)
    }

    #[cfg(not(feature = "mutants"))]
    #[allow(clippy::unused_self)]
    fn mutated(&self, _: Mutant) -> bool {
        false
    }
}
