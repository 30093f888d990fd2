//! Snapshot transfers: each chunk is requested by the subscriber, and a bounded number of
//! transfers is under way.
//!
//! A request is answered at once if its revision is applied here, a slot is free and the
//! subscriber's queue is short enough. Otherwise it waits for that.

use violetgate_replicated_state::{Store, MAX_KEY_BYTES};

use super::batch::{snapshot_chunk, SizedChunk};
use super::subscriber_connection::SnapshotRequest;
use super::{ConnectionId, Observer};
use crate::message::{ObserverMessage, SnapshotCursor};
use crate::rejection::Rejection;

impl Observer {
    /// A subscriber requests a chunk.
    pub(super) fn request_snapshot(
        &mut self,
        id: ConnectionId,
        from: Option<SnapshotCursor>,
        store: &Store,
    ) {
        let key_bytes = from.as_ref().map_or(0, |cursor| cursor.after_key.len());
        if key_bytes > MAX_KEY_BYTES {
            let detail = format!("a snapshot from a key of {key_bytes} bytes");
            return self.close(id, Rejection::ProtocolViolation { detail });
        }
        self.stop_watching(id);
        let revision = from.as_ref().map(|cursor| cursor.revision);
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.snapshot = Some(SnapshotRequest { from });
        }
        match revision.filter(|revision| *revision > self.revision) {
            Some(revision) => self.wait_for_revision(id, revision),
            None => self.serve_snapshot(id, store),
        }
    }

    /// Answers the request of a connection, if there is one and nothing stands against it.
    pub(super) fn serve_snapshot(&mut self, id: ConnectionId, store: &Store) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let Some(request) = &connection.snapshot else {
            return;
        };
        let cursor = request.from.as_ref();
        if cursor.is_some_and(|cursor| cursor.revision > self.revision) {
            return;
        }
        if !self.snapshots.try_acquire(self.now, id) {
            if let Some(position) = self.snapshots.enqueue(id) {
                self.send(id, ObserverMessage::SnapshotQueued { position }, 0);
            }
            return;
        }
        if connection.backlog.bytes() > self.config.send_queue_bytes {
            return;
        }
        if let Some(request) = connection.snapshot.take() {
            self.send_chunk(id, request.from.as_ref(), store);
        }
    }

    fn send_chunk(&mut self, id: ConnectionId, from: Option<&SnapshotCursor>, store: &Store) {
        match snapshot_chunk(store, from, self.config.chunk_bytes) {
            // The last chunk does not free the slot: the subscriber's next message does, which
            // shows that the chunk has arrived. This bounds what is queued for all subscribers
            // together.
            Ok(SizedChunk { chunk, bytes }) => {
                self.send(id, ObserverMessage::SnapshotChunk(chunk), bytes);
            }
            Err(compacted) => self.send_compacted(id, compacted),
        }
    }

    /// A subscriber wants no snapshot any more.
    pub(super) fn cancel_snapshot(&mut self, id: ConnectionId, store: &Store) {
        self.forget_awaited_revision(id);
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.snapshot = None;
        }
        self.snapshots.release(id);
        self.admit_snapshots(store);
    }

    /// Gives free slots to queued requests.
    pub(super) fn admit_snapshots(&mut self, store: &Store) {
        while let Some(id) = self.snapshots.admit_next(self.now) {
            self.serve_snapshot(id, store);
        }
    }
}
