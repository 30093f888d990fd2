//! The serving side: an observer and its subscribers.

mod batch;
mod connection;
mod limits;
mod pieces;
mod progress;
mod questions;
mod snapshots;
mod watch;

use std::collections::{BTreeMap, BTreeSet};

use violetgate_raft::NodeId;
use violetgate_replicated_state::{Micros, Revision, Store};

use crate::message::{
    FromObserver, FromSubscriber, ObserverWelcome, Refusal, SubscriberHello, MAGIC, VERSION,
};
use crate::mutant::Mutant;
use crate::progress::ProgressSummary;
use connection::Connection;
use progress::ProgressTable;
use questions::Questions;
use snapshots::SnapshotSlots;

/// A subscriber's connection, by the number that the carrier gives it; never used twice.
pub type ConnectionId = u64;
/// A linearizable read that the observer asks of the cluster for all questions that came before it began.
pub type ReadId = u64;

/// The longest name of a subscriber, in bytes.
const LONGEST_NAME: usize = 256;
/// About the bytes of a message that carries neither changes nor entries.
const SHORT_MESSAGE: usize = 16;

/// How an observer behaves.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
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

impl ObserverConfig {
    /// The defaults for an observer of a cluster.
    #[must_use]
    pub fn default_for(cluster: &str, id: NodeId) -> Self {
        ObserverConfig {
            cluster: cluster.to_owned(),
            id,
            capacity: 4_000,
            snapshots_at_once: 64,
            piece_bytes: 256 << 10,
            queue_bytes: 4 << 20,
            read_every: 20_000,
            load_every: 5_000_000,
        }
    }
}

/// What the carrier has to do, in this order.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum ObserverAction {
    /// Send this on a connection.
    Send(ConnectionId, FromObserver),
    /// Close a connection once what was sent before, and then [`FromObserver::Refused`], has left.
    Close(ConnectionId, Refusal),
    /// Ask the cluster whether its state is current (`Cluster::current`), and tell by [`Observer::read_ended`].
    Read(ReadId),
}

/// How many of each thing an observer holds; all of them are bounded.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ObserverSizes {
    /// Subscribers connected.
    pub subscribers: usize,
    /// Those that are sent each change as it comes.
    pub current: usize,
    /// Those that wait for a revision that is not here yet.
    pub ahead: usize,
    /// Connections whose questions wait for the next read, and those whose read runs.
    pub questions: (usize, usize),
    /// Snapshots under way, and requests that wait.
    pub snapshots: (usize, usize),
    /// Front ends that served here and have left of late.
    pub departed: usize,
}

/// An observer's side of all its subscriptions.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Observer {
    config: ObserverConfig,
    now: Micros,
    connections: BTreeMap<ConnectionId, Connection>,
    /// The revision up to which the current ones were sent all changes.
    revision: Revision,
    /// Connections that were sent all changes up to `revision`.
    current: BTreeSet<ConnectionId>,
    /// Connections that wait for a revision that is not here yet.
    ahead: BTreeSet<(Revision, ConnectionId)>,
    questions: Questions,
    snapshots: SnapshotSlots,
    progress: ProgressTable,
    load_at: Micros,
    check_at: Micros,
    out: Vec<ObserverAction>,
    #[cfg(feature = "mutants")]
    mutant: Option<Mutant>,
}

impl Observer {
    /// An observer without subscribers.
    #[must_use]
    pub fn new(config: ObserverConfig, now: Micros) -> Self {
        Observer {
            now,
            connections: BTreeMap::new(),
            revision: 0,
            current: BTreeSet::new(),
            ahead: BTreeSet::new(),
            questions: Questions::new(config.read_every, now),
            snapshots: SnapshotSlots::new(config.snapshots_at_once),
            progress: ProgressTable::default(),
            load_at: now.saturating_add(config.load_every),
            check_at: now.saturating_add(limits::CHECK_EVERY),
            out: Vec::new(),
            #[cfg(feature = "mutants")]
            mutant: None,
            config,
        }
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
        self.now = now;
        self.follow(store);
        let refused = self.refusal_of(hello);
        if refused.is_none() {
            self.connections
                .insert(connection, Connection::new(hello.name.clone(), now));
            if hello.revision > self.revision {
                self.questions.check_revision(connection, hello.revision);
            }
        }
        ObserverWelcome {
            refused,
            revision: self.revision,
            subscribers: self.subscribers(),
            capacity: self.config.capacity,
        }
    }

    fn refusal_of(&self, hello: &SubscriberHello) -> Option<Refusal> {
        if hello.magic != MAGIC {
            return Some(Refusal::NotASubscriber);
        }
        if hello.version != VERSION {
            return Some(Refusal::WrongVersion {
                theirs: hello.version,
                ours: VERSION,
            });
        }
        if hello.cluster != self.config.cluster {
            let theirs = hello.cluster.chars().take(LONGEST_NAME).collect();
            return Some(Refusal::WrongCluster {
                theirs,
                ours: self.config.cluster.clone(),
            });
        }
        if hello.observer != self.config.id {
            return Some(Refusal::WrongObserver {
                wanted: hello.observer,
                actual: self.config.id,
            });
        }
        if hello.name.is_empty() || hello.name.len() > LONGEST_NAME {
            return Some(Refusal::Protocol {
                what: format!("a name of {} bytes", hello.name.len()),
            });
        }
        if self.subscribers() >= self.config.capacity {
            return Some(Refusal::Full {
                capacity: self.config.capacity,
            });
        }
        None
    }

    fn subscribers(&self) -> u32 {
        u32::try_from(self.connections.len()).unwrap_or(u32::MAX)
    }

    /// A connection has ended.
    pub fn disconnect(&mut self, now: Micros, connection: ConnectionId) {
        self.now = now;
        self.forget(connection);
    }

    /// Forgets all that is known of a connection.
    fn forget(&mut self, id: ConnectionId) {
        self.stop_watching(id);
        self.connections.remove(&id);
        self.questions.forget(id);
        self.snapshots.release(id);
        self.progress
            .leave(self.now, id, self.config.capacity as usize);
    }

    /// A message has come.
    pub fn receive(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        message: FromSubscriber,
        store: &Store,
    ) {
        self.now = now;
        self.follow(store);
        let Some(known) = self.connections.get_mut(&connection) else {
            return;
        };
        if !known.count(now, &message) {
            let what = "messages without end: more than 100 in a second".to_owned();
            return self.close(connection, Refusal::Protocol { what });
        }
        match message {
            FromSubscriber::Watch { after } => {
                known.follows = true;
                self.watch(connection, after, store);
            }
            FromSubscriber::Snapshot { from } => {
                known.follows = true;
                self.request_snapshot(connection, from, store);
            }
            FromSubscriber::Confirm { question, progress } => {
                if known.follows {
                    self.progress.report(now, connection, progress);
                }
                if self.mutated(Mutant::AnswersFromOwnCopy) {
                    let revision = self.revision;
                    self.send(
                        connection,
                        FromObserver::Confirmed { question, revision },
                        0,
                    );
                }
                let earlier = self.mutated(Mutant::AnswersByEarlierRead);
                self.questions.ask(now, connection, question, earlier);
            }
            FromSubscriber::StopWatching => {
                known.follows = false;
                self.stop_watching(connection);
                self.drop_snapshot(connection, store);
                self.progress
                    .leave(now, connection, self.config.capacity as usize);
            }
        }
        self.admit_snapshots(store);
        self.begin_read();
    }

    /// How many bytes wait in the carrier for a connection now, after something was written; also when none do, as
    /// one that lacks changes is sent more only then.
    pub fn queued(&mut self, connection: ConnectionId, bytes: usize, store: &Store) {
        self.follow(store);
        let Some(known) = self.connections.get_mut(&connection) else {
            return;
        };
        known.queue.report(self.now, bytes);
        self.catch_up(connection, store);
        self.serve_snapshot(connection, store);
        self.admit_snapshots(store);
    }

    /// More was applied to the store.
    pub fn applied(&mut self, now: Micros, store: &Store) {
        self.now = now;
        self.follow(store);
    }

    /// A read has ended: with the store current (it was so at some moment after the read began, and is applied here),
    /// or without an answer.
    pub fn read_ended(&mut self, now: Micros, read: ReadId, current: bool, store: &Store) {
        self.now = now;
        self.follow(store);
        let revision = self.revision;
        for (connection, asked) in self.questions.ended(now, read, current) {
            if let Some(question) = asked.newest() {
                self.send(
                    connection,
                    FromObserver::Confirmed { question, revision },
                    0,
                );
            }
            if let Some(theirs) = asked.claimed.filter(|theirs| *theirs > revision) {
                self.close(
                    connection,
                    Refusal::RevisionAhead {
                        theirs,
                        ours: revision,
                    },
                );
            }
        }
        self.begin_read();
    }

    fn begin_read(&mut self) {
        if let Some(read) = self.questions.begin(self.now) {
            self.out.push(ObserverAction::Read(read));
        }
    }

    fn send(&mut self, id: ConnectionId, message: FromObserver, bytes: usize) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.queue.sent(self.now, bytes + SHORT_MESSAGE);
        self.out.push(ObserverAction::Send(id, message));
    }

    /// Turns a subscriber away.
    fn close(&mut self, id: ConnectionId, refusal: Refusal) {
        if self.connections.contains_key(&id) {
            self.forget(id);
            self.out.push(ObserverAction::Close(id, refusal));
        }
    }

    /// What is to be done since the last call.
    pub fn actions(&mut self) -> Vec<ObserverAction> {
        std::mem::take(&mut self.out)
    }

    /// How far this observer's subscribers are, summed.
    #[must_use]
    pub fn progress(&self, now: Micros) -> ProgressSummary {
        let name = |id| {
            self.connections
                .get(&id)
                .map(|connection: &Connection| connection.name.clone())
        };
        self.progress.summary(now, self.revision, name)
    }

    /// How many of each thing it holds.
    #[must_use]
    pub fn sizes(&self) -> ObserverSizes {
        ObserverSizes {
            subscribers: self.connections.len(),
            current: self.current.len(),
            ahead: self.ahead.len(),
            questions: self.questions.sizes(),
            snapshots: self.snapshots.sizes(),
            departed: self.progress.departed(),
        }
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
