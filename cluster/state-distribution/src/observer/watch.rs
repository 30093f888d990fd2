//! Sends changes to subscribers. Subscribers that are current get each batch as it is applied;
//! subscribers that are behind catch up as fast as they read.

use violetgate_replicated_state::{Compacted, Revision, Store};

use super::batch::{changes_after, SizedBatch};
use super::subscriber_connection::{SubscriberConnection, Watch};
use super::{ConnectionId, Observer, ObserverAction, ObserverConfig};
use crate::message::ObserverMessage;
use crate::mutant::Mutant;

impl Observer {
    /// Sends the changes that the store has applied since the last call. Each batch is read from
    /// the store once, for all subscribers that are current.
    pub(super) fn send_new_changes(&mut self, store: &Store) {
        if store.revision() <= self.revision {
            return;
        }
        while self.revision < store.revision() && !self.current.is_empty() {
            match changes_after(store, self.revision, self.config.chunk_bytes) {
                Ok(Some(batch)) => self.broadcast(&batch),
                Ok(None) => break,
                Err(compacted) => self.send_compacted_to_current(compacted),
            }
        }
        self.revision = store.revision();
        self.progress.revision_arrived(self.now, self.revision);
        self.resume_awaiting(store);
    }

    fn broadcast(&mut self, sized: &SizedBatch) {
        let max_queued = self.config.send_queue_bytes;
        let mut held_back = Vec::new();
        for id in &self.current {
            let Some(connection) = self.connections.get_mut(id) else {
                continue;
            };
            if connection.backlog.bytes() > max_queued {
                connection.watch = Watch::Behind(self.revision);
                held_back.push(*id);
            } else {
                connection.backlog.add(self.now, sized.bytes);
                self.actions.push(ObserverAction::Send {
                    connection: *id,
                    message: sized.message(),
                });
            }
        }
        if self.mutated(Mutant::SkipsHeldBack) {
            held_back.clear();
        }
        for id in held_back {
            self.current.remove(&id);
        }
        self.revision = sized.batch.to;
    }

    fn send_compacted_to_current(&mut self, compacted: Compacted) {
        for id in std::mem::take(&mut self.current) {
            self.send_compacted(id, compacted);
        }
    }

    pub(super) fn send_compacted(&mut self, id: ConnectionId, compacted: Compacted) {
        self.set_watch(id, Watch::Off);
        let first = compacted.first_revision;
        self.send(id, ObserverMessage::Compacted { first }, 0);
    }

    /// Begins a watch: the subscriber is sent all changes after a revision.
    pub(super) fn watch(&mut self, id: ConnectionId, after: Revision, store: &Store) {
        self.stop_watching(id);
        self.cancel_snapshot(id, store);
        self.set_watch(id, Watch::Behind(after));
        self.catch_up(id, store);
    }

    /// Ends the watch of a connection: it is sent no more changes.
    pub(super) fn stop_watching(&mut self, id: ConnectionId) {
        self.current.remove(&id);
        self.forget_awaited_revision(id);
        self.set_watch(id, Watch::Off);
    }

    fn set_watch(&mut self, id: ConnectionId, watch: Watch) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.watch = watch;
        }
    }

    /// Sends the next changes to a subscriber that is behind, until it is current or
    /// [`Observer::max_catch_up_bytes`] are queued for it.
    pub(super) fn catch_up(&mut self, id: ConnectionId, store: &Store) {
        loop {
            let Some(connection) = self.connections.get(&id) else {
                return;
            };
            let Watch::Behind(position) = connection.watch else {
                return;
            };
            if position == self.revision {
                self.set_watch(id, Watch::Current);
                self.current.insert(id);
                return;
            }
            if position > self.revision {
                self.set_watch(id, Watch::AwaitingRevision(position));
                self.wait_for_revision(id, position);
                return;
            }
            if connection.backlog.bytes() >= self.max_catch_up_bytes() {
                return;
            }
            match changes_after(store, position, self.config.chunk_bytes) {
                Ok(Some(sized)) => {
                    self.send(id, sized.message(), sized.bytes);
                    self.set_watch(id, Watch::Behind(sized.batch.to));
                }
                Ok(None) => self.set_watch(id, Watch::Behind(self.revision)),
                Err(compacted) => self.send_compacted(id, compacted),
            }
        }
    }

    /// Returns the number of queued bytes at which the observer stops sending changes to a
    /// subscriber that is behind. It is at most the size of a chunk.
    fn max_catch_up_bytes(&self) -> usize {
        let ObserverConfig {
            chunk_bytes,
            send_queue_bytes,
            ..
        } = self.config;
        chunk_bytes.min(send_queue_bytes).max(1)
    }

    /// Makes a subscriber wait until the observer has applied the revision that the subscriber
    /// holds. A linearizable read checks that this revision exists.
    pub(super) fn wait_for_revision(&mut self, id: ConnectionId, revision: Revision) {
        self.awaiting.insert((revision, id));
        self.polls.check_revision(id, revision);
    }

    pub(super) fn forget_awaited_revision(&mut self, id: ConnectionId) {
        let connection = self.connections.get(&id);
        if let Some(revision) = connection.and_then(SubscriberConnection::awaited_revision) {
            self.awaiting.remove(&(revision, id));
        }
    }

    /// Serves the subscribers whose awaited revision has been applied.
    fn resume_awaiting(&mut self, store: &Store) {
        while let Some((revision, id)) = self.awaiting.first().copied() {
            if revision > self.revision {
                return;
            }
            self.awaiting.pop_first();
            if let Some(connection) = self.connections.get_mut(&id) {
                if connection.watch == Watch::AwaitingRevision(revision) {
                    connection.watch = Watch::Behind(revision);
                }
            }
            self.catch_up(id, store);
            self.serve_snapshot(id, store);
        }
    }
}
