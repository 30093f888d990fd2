//! Snapshots in pieces, each asked for, a bounded number of them at once.

use violetgate_replicated_state::{Store, MAX_KEY};

use super::batch::snapshot_piece;
use super::connection::SnapshotRequest;
use super::{ConnectionId, Observer};
use crate::message::{FromObserver, Refusal, SnapshotPlace};

impl Observer {
    /// A subscriber wants a piece. It is sent at once, or in its turn.
    pub(super) fn request_snapshot(
        &mut self,
        id: ConnectionId,
        from: Option<SnapshotPlace>,
        store: &Store,
    ) {
        let length = from.as_ref().map_or(0, |place| place.after.len());
        if length > MAX_KEY {
            let what = format!("a snapshot from a key of {length} bytes");
            return self.close(id, Refusal::Protocol { what });
        }
        self.stop_watching(id);
        let ahead = from
            .as_ref()
            .map(|place| place.revision)
            .filter(|revision| *revision > self.revision);
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.snapshot = Some(SnapshotRequest { from });
        }
        match ahead {
            Some(revision) => self.wait_for(id, revision),
            None => self.serve_snapshot(id, store),
        }
    }

    /// Answers the request of a connection, if there is one, a slot is free and little enough waits for it.
    pub(super) fn serve_snapshot(&mut self, id: ConnectionId, store: &Store) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let Some(request) = &connection.snapshot else {
            return;
        };
        let ahead = request
            .from
            .as_ref()
            .is_some_and(|place| place.revision > self.revision);
        if ahead {
            return;
        }
        if !self.snapshots.take(self.now, id) {
            if let Some(place) = self.snapshots.enqueue(id) {
                self.send(id, FromObserver::SnapshotQueued { place }, 0);
            }
            return;
        }
        if connection.queue.bytes > self.config.queue_bytes {
            return;
        }
        let Some(request) = connection.snapshot.take() else {
            return;
        };
        self.send_piece(id, request.from.as_ref(), store);
    }

    fn send_piece(&mut self, id: ConnectionId, from: Option<&SnapshotPlace>, store: &Store) {
        match snapshot_piece(store, from, self.config.piece_bytes) {
            // The last piece does not free the slot yet: that does the subscriber's next message, which shows that it
            // has arrived. So what waits for all subscribers at once is bounded.
            Ok((piece, bytes)) => self.send(id, piece, bytes),
            Err(compacted) => self.send_compacted(id, compacted),
        }
    }

    /// A subscriber wants no snapshot any more.
    pub(super) fn drop_snapshot(&mut self, id: ConnectionId, store: &Store) {
        self.forget_ahead(id);
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.snapshot = None;
        }
        self.snapshots.release(id);
        self.admit_snapshots(store);
    }

    /// Gives free slots to those that wait.
    pub(super) fn admit_snapshots(&mut self, store: &Store) {
        while let Some(id) = self.snapshots.admit(self.now) {
            self.serve_snapshot(id, store);
        }
    }
}
