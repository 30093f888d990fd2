//! The serving side: an observer and its subscribers.
//!
//! - [`config`]: limits and intervals.
//! - [`admission`]: which greetings are accepted.
//! - [`watch`]: sending changes, and catching up subscribers that are behind.
//! - [`snapshot_transfer`], [`snapshot_slots`]: snapshots in chunks, a bounded number at once.
//! - [`polls`]: freshness polls and the linearizable reads that answer them.
//! - [`progress_table`]: which revisions the subscribers have applied.
//! - [`housekeeping`]: periodic work.

mod admission;
mod batch;
mod config;
mod housekeeping;
mod polls;
mod progress_table;
mod send_backlog;
mod snapshot_slots;
mod snapshot_transfer;
mod subscriber_connection;
mod watch;

use std::collections::{BTreeMap, BTreeSet};

use violetgate_replicated_state::{Micros, Revision, Store};

use crate::fleet_progress::ProgressSummary;
use crate::message::{ObserverMessage, PollId, SubscriberMessage, SubscriberProgress};
use crate::mutant::Mutant;
use crate::rejection::Rejection;
use polls::{PendingReads, PollQueue};
use progress_table::ProgressTable;
use snapshot_slots::{SnapshotLoad, SnapshotSlots};
use subscriber_connection::{SubscriberConnection, MAX_MESSAGES_PER_SECOND};

pub use config::{InvalidObserverConfig, ObserverConfig};

/// Identifies a subscriber's connection. The caller assigns the ids and never reuses an id.
pub type ConnectionId = u64;
/// Identifies a linearizable read that the observer has requested.
pub type ReadId = u64;

/// The approximate size of a message that carries neither changes nor entries.
const SHORT_MESSAGE_BYTES: usize = 16;

/// An action that the caller has to perform. Actions are performed in the order in which
/// [`Observer::take_actions`] returns them.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum ObserverAction {
    /// Send a message to a subscriber.
    Send {
        /// The subscriber's connection.
        connection: ConnectionId,
        /// The message to send.
        message: ObserverMessage,
    },
    /// Send the rejection to the subscriber as the last message, in an
    /// [`ObserverMessage::Rejected`], then close the connection.
    Close {
        /// The connection to close.
        connection: ConnectionId,
        /// The reason, which is sent to the subscriber.
        rejection: Rejection,
    },
    /// Begin a linearizable read, and report its end by [`Observer::read_completed`].
    BeginRead(ReadId),
}

/// The result of a linearizable read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadResult {
    /// The state was current at some moment after the read began, and the observer's store has
    /// applied everything up to that moment.
    Current,
    /// The read got no answer.
    Failed,
}

/// The sizes of an observer's collections, all of which are bounded.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ObserverSizes {
    /// Subscribers connected now.
    pub subscribers: usize,
    /// Subscribers that are sent each change as it is applied.
    pub current: usize,
    /// Subscribers that wait for a revision that the observer has not applied yet.
    pub awaiting: usize,
    /// Connections whose polls wait for the next read.
    pub polls_waiting: usize,
    /// Connections whose polls are answered by the read that is under way.
    pub polls_reading: usize,
    /// Snapshot transfers under way.
    pub snapshots_active: usize,
    /// Snapshot requests that are queued.
    pub snapshots_queued: usize,
    /// Gateways that served, and stopped watching this observer recently.
    pub departed: usize,
}

/// The observer's side of the subscriptions of all its subscribers. The caller delivers messages
/// and read results, and performs the actions that [`Observer::take_actions`] returns.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Observer {
    config: ObserverConfig,
    now: Micros,
    connections: BTreeMap<ConnectionId, SubscriberConnection>,
    /// The revision up to which the current connections were sent all changes.
    revision: Revision,
    /// Connections that were sent all changes up to `revision`.
    current: BTreeSet<ConnectionId>,
    /// Connections that wait for a revision that the observer has not applied yet.
    awaiting: BTreeSet<(Revision, ConnectionId)>,
    polls: PollQueue,
    snapshots: SnapshotSlots,
    progress: ProgressTable,
    next_load_report_at: Micros,
    next_check_at: Micros,
    actions: Vec<ObserverAction>,
    #[cfg(feature = "mutants")]
    mutant: Option<Mutant>,
}

impl Observer {
    /// Creates an observer without subscribers.
    #[must_use]
    pub fn new(config: ObserverConfig, now: Micros) -> Self {
        Observer {
            now,
            connections: BTreeMap::new(),
            revision: 0,
            current: BTreeSet::new(),
            awaiting: BTreeSet::new(),
            polls: PollQueue::new(config.min_read_interval, now),
            snapshots: SnapshotSlots::new(config.max_concurrent_snapshots),
            progress: ProgressTable::default(),
            next_load_report_at: now.saturating_add(config.load_report_interval),
            next_check_at: now.saturating_add(housekeeping::CHECK_INTERVAL_US),
            actions: Vec::new(),
            #[cfg(feature = "mutants")]
            mutant: None,
            config,
        }
    }

    /// Handles a message from a subscriber.
    pub fn receive(
        &mut self,
        now: Micros,
        id: ConnectionId,
        message: SubscriberMessage,
        store: &Store,
    ) {
        self.now = now;
        self.send_new_changes(store);
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        if !connection.count_message(now, &message) {
            let detail =
                format!("messages without end: more than {MAX_MESSAGES_PER_SECOND} in a second");
            return self.close(id, Rejection::ProtocolViolation { detail });
        }
        match message {
            SubscriberMessage::Watch { after } => {
                connection.is_watched = true;
                self.watch(id, after, store);
            }
            SubscriberMessage::FetchSnapshot { from } => {
                connection.is_watched = true;
                self.request_snapshot(id, from, store);
            }
            SubscriberMessage::Poll { poll, progress } => self.receive_poll(id, poll, progress),
            SubscriberMessage::StopWatching => self.become_standby(id, store),
        }
        self.admit_snapshots(store);
        self.begin_read();
    }

    fn receive_poll(&mut self, id: ConnectionId, poll: PollId, progress: SubscriberProgress) {
        let is_watched = self.connections.get(&id).is_some_and(|it| it.is_watched);
        if is_watched {
            self.progress.report(self.now, id, progress);
        }
        if self.mutated(Mutant::ConfirmsFromOwnCopy) {
            self.confirm(id, poll);
        }
        let reads = if self.mutated(Mutant::ConfirmsByEarlierRead) {
            PendingReads::RunningOrNext
        } else {
            PendingReads::Next
        };
        self.polls.enqueue(self.now, id, poll, reads);
    }

    /// Handles a subscriber that watches another observer from now on and holds this one as its
    /// standby.
    fn become_standby(&mut self, id: ConnectionId, store: &Store) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.is_watched = false;
        }
        self.stop_watching(id);
        self.cancel_snapshot(id, store);
        self.progress
            .record_departure(self.now, id, self.config.capacity as usize);
    }

    /// Reports the number of bytes that are still queued for a connection after some were written.
    /// The caller also has to report when the queue is empty: a subscriber that is behind gets more
    /// changes only after such reports.
    pub fn bytes_queued(&mut self, id: ConnectionId, bytes: usize, store: &Store) {
        self.send_new_changes(store);
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.backlog.report(self.now, bytes);
        self.catch_up(id, store);
        self.serve_snapshot(id, store);
        self.admit_snapshots(store);
    }

    /// Sends new changes to subscribers after commands were applied to the store.
    pub fn store_applied(&mut self, now: Micros, store: &Store) {
        self.now = now;
        self.send_new_changes(store);
    }

    /// Handles the end of a linearizable read. If it succeeded, its polls are confirmed; otherwise
    /// they wait for the next read.
    pub fn read_completed(&mut self, now: Micros, read: ReadId, result: ReadResult, store: &Store) {
        self.now = now;
        self.send_new_changes(store);
        let revision = self.revision;
        for (id, pending) in self.polls.complete(now, read, result) {
            if let Some(poll) = pending.newest() {
                self.confirm(id, poll);
            }
            let claimed = pending.claimed_revision;
            if let Some(theirs) = claimed.filter(|theirs| *theirs > revision) {
                let ours = revision;
                self.close(id, Rejection::FutureRevision { theirs, ours });
            }
        }
        self.begin_read();
    }

    fn confirm(&mut self, id: ConnectionId, poll: PollId) {
        let revision = self.revision;
        self.send(id, ObserverMessage::PollConfirmed { poll, revision }, 0);
    }

    fn begin_read(&mut self) {
        if let Some(read) = self.polls.begin_read(self.now) {
            self.actions.push(ObserverAction::BeginRead(read));
        }
    }

    /// Sends a message. `payload_bytes` is the approximate size of its changes or entries.
    fn send(&mut self, id: ConnectionId, message: ObserverMessage, payload_bytes: usize) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection
            .backlog
            .add(self.now, payload_bytes + SHORT_MESSAGE_BYTES);
        self.actions.push(ObserverAction::Send {
            connection: id,
            message,
        });
    }

    /// Closes a subscriber's connection and tells the subscriber why.
    fn close(&mut self, id: ConnectionId, rejection: Rejection) {
        if self.connections.contains_key(&id) {
            self.forget(id);
            self.actions.push(ObserverAction::Close {
                connection: id,
                rejection,
            });
        }
    }

    /// Removes all state of a connection. If the subscriber served, it counts as departed for a
    /// while (see `progress_table`).
    fn forget(&mut self, id: ConnectionId) {
        self.stop_watching(id);
        self.connections.remove(&id);
        self.polls.forget(id);
        self.snapshots.release(id);
        self.progress
            .record_departure(self.now, id, self.config.capacity as usize);
    }

    /// Takes the actions that have accumulated since the last call.
    pub fn take_actions(&mut self) -> Vec<ObserverAction> {
        std::mem::take(&mut self.actions)
    }

    /// Returns the summed progress of this observer's subscribers.
    #[must_use]
    pub fn progress(&self, now: Micros) -> ProgressSummary {
        let name_of = |id| {
            let connection: &SubscriberConnection = self.connections.get(&id)?;
            Some(connection.name.clone())
        };
        self.progress.summary(now, self.revision, name_of)
    }

    /// Returns the sizes of the observer's collections.
    #[must_use]
    pub fn sizes(&self) -> ObserverSizes {
        let SnapshotLoad { active, queued } = self.snapshots.load();
        ObserverSizes {
            subscribers: self.connections.len(),
            current: self.current.len(),
            awaiting: self.awaiting.len(),
            polls_waiting: self.polls.connections_waiting(),
            polls_reading: self.polls.connections_reading(),
            snapshots_active: active,
            snapshots_queued: queued,
            departed: self.progress.departed(),
        }
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
