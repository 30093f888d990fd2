//! Snapshot transfers: each chunk is requested by the subscriber, and the number of concurrent
//! transfers is bounded.
//!
//! A request is answered at once if the observer has applied its revision, a slot is free, and the
//! subscriber's send queue is short enough. Otherwise it waits until all three hold.

use violetgate_replicated_state::{Store, MAX_KEY_BYTES};

use super::batch::{snapshot_chunk, SizedChunk};
use super::subscriber_connection::SnapshotRequest;
use super::{ConnectionId, Observer};
use crate::message::{ObserverMessage, SnapshotCursor};
use crate::rejection::Rejection;

impl Observer {
    /// Handles a request for a snapshot chunk.
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

    /// Answers the pending request of a connection, if there is one that can be answered now.
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
            // The last chunk does not free the slot. The subscriber's next message does, because it
            // shows that the chunk has arrived. Only subscribers with a slot have chunks queued, so
            // the number of slots bounds the bytes queued for all subscribers together.
            Ok(SizedChunk { chunk, bytes }) => {
                self.send(id, ObserverMessage::SnapshotChunk(chunk), bytes);
            }
            Err(compacted) => self.send_compacted(id, compacted),
        }
    }

    /// Drops the snapshot request of a connection, and frees its slot or its place in the queue.
    pub(super) fn cancel_snapshot(&mut self, id: ConnectionId, store: &Store) {
        self.forget_awaited_revision(id);
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.snapshot = None;
        }
        self.snapshots.release(id);
        self.admit_snapshots(store);
    }

    /// Assigns free slots to queued requests, and answers those requests.
    pub(super) fn admit_snapshots(&mut self, store: &Store) {
        while let Some(id) = self.snapshots.admit_next(self.now) {
            self.serve_snapshot(id, store);
        }
    }
}
