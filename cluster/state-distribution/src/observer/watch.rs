//! Sending changes: those that are current get each batch as it comes; the others catch up at their own pace.

use violetgate_replicated_state::{Compacted, Revision, Store};

use super::batch::{changes_after, ChangeBatch};
use super::connection::Watch;
use super::{ConnectionId, Observer};
use crate::message::FromObserver;
use crate::mutant::Mutant;

impl Observer {
    /// Sends what the store has more than at the last call. It costs as much as there are subscribers that are
    /// current; each batch is read once.
    pub(super) fn follow(&mut self, store: &Store) {
        if store.revision() <= self.revision {
            return;
        }
        while self.revision < store.revision() && !self.current.is_empty() {
            match changes_after(store, self.revision, self.config.piece_bytes) {
                Ok(Some(batch)) => self.broadcast(&batch),
                Ok(None) => break,
                Err(compacted) => self.all_compacted(compacted),
            }
        }
        self.revision = store.revision();
        self.progress.revision_arrived(self.now, self.revision);
        self.resume_ahead(store);
    }

    fn broadcast(&mut self, batch: &ChangeBatch) {
        let bound = self.config.queue_bytes;
        let mut held_back = Vec::new();
        for id in &self.current {
            let Some(connection) = self.connections.get_mut(id) else {
                continue;
            };
            if connection.queue.bytes > bound {
                connection.watch = Watch::Behind(self.revision);
                held_back.push(*id);
            } else {
                connection.queue.sent(self.now, batch.bytes);
                self.out
                    .push(super::ObserverAction::Send(*id, batch.message()));
            }
        }
        if self.mutated(Mutant::SkipsHeldBack) {
            held_back.clear();
        }
        for id in held_back {
            self.current.remove(&id);
        }
        self.revision = batch.to;
    }

    fn all_compacted(&mut self, compacted: Compacted) {
        for id in std::mem::take(&mut self.current) {
            self.send_compacted(id, compacted);
        }
    }

    pub(super) fn send_compacted(&mut self, id: ConnectionId, compacted: Compacted) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.watch = Watch::Off;
        }
        self.send(
            id,
            FromObserver::Compacted {
                first: compacted.first_revision,
            },
            0,
        );
    }

    /// A subscriber wants all changes after a revision.
    pub(super) fn watch(&mut self, id: ConnectionId, after: Revision, store: &Store) {
        self.stop_watching(id);
        self.drop_snapshot(id, store);
        self.set_watch(id, Watch::Behind(after));
        self.catch_up(id, store);
    }

    /// Takes a connection out of those that are sent changes.
    pub(super) fn stop_watching(&mut self, id: ConnectionId) {
        self.current.remove(&id);
        self.forget_ahead(id);
        self.set_watch(id, Watch::Off);
    }

    fn set_watch(&mut self, id: ConnectionId, watch: Watch) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.watch = watch;
        }
    }

    /// Sends the next changes to one that is behind, as far as little enough waits for it.
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
                self.set_watch(id, Watch::Ahead(position));
                self.wait_for(id, position);
                return;
            }
            if connection.queue.bytes >= self.catch_up_bytes() {
                return;
            }
            match changes_after(store, position, self.config.piece_bytes) {
                Ok(Some(batch)) => {
                    self.send(id, batch.message(), batch.bytes);
                    self.set_watch(id, Watch::Behind(batch.to));
                }
                Ok(None) => self.set_watch(id, Watch::Behind(self.revision)),
                Err(compacted) => self.send_compacted(id, compacted),
            }
        }
    }

    /// The most bytes that may wait for a subscriber before it is sent more of what it lacks.
    fn catch_up_bytes(&self) -> usize {
        self.config.piece_bytes.min(self.config.queue_bytes).max(1)
    }

    /// A subscriber holds a revision that is not here yet: it waits, and a read shows whether there is one.
    pub(super) fn wait_for(&mut self, id: ConnectionId, revision: Revision) {
        self.ahead.insert((revision, id));
        self.questions.check_revision(id, revision);
    }

    pub(super) fn forget_ahead(&mut self, id: ConnectionId) {
        let revision = self
            .connections
            .get(&id)
            .and_then(super::Connection::waits_for);
        if let Some(revision) = revision {
            self.ahead.remove(&(revision, id));
        }
    }

    /// Goes on with those whose revision has come.
    fn resume_ahead(&mut self, store: &Store) {
        while let Some((revision, id)) = self.ahead.first().copied() {
            if revision > self.revision {
                return;
            }
            self.ahead.pop_first();
            if let Some(connection) = self.connections.get_mut(&id) {
                if connection.watch == Watch::Ahead(revision) {
                    connection.watch = Watch::Behind(revision);
                }
            }
            self.catch_up(id, store);
            self.serve_snapshot(id, store);
        }
    }
}
