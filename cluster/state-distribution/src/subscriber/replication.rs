//! Applies what the watched observer sends: changes in order, or a snapshot if the changes are
//! compacted away.

use violetgate_raft::NodeId;
use violetgate_replicated_state::{Entries, Micros, Revision, StalenessGuard};

use super::snapshot_download::SnapshotDownload;
use super::Subscriber;
use crate::message::{ChangeBatch, SnapshotChunk, SubscriberMessage};
use crate::mutant::Mutant;
use crate::rejection::Rejection;

/// How long after a request to an observer the answers to earlier requests may still arrive.
const LATE_ANSWER_WINDOW_US: Micros = 1_000_000;

impl Subscriber {
    /// Watches an observer from now on. The observer watched before becomes the standby if its
    /// connection still exists and there is no other standby.
    pub(super) fn watch(&mut self, observer: NodeId) {
        let previous = self.watched.replace(observer).filter(|id| *id != observer);
        if self.standby == Some(observer) {
            self.standby = None;
        }
        if let Some(previous) = previous.filter(|id| self.connections.contains_key(id)) {
            self.send(previous, SubscriberMessage::StopWatching);
            self.standby = self.standby.or(Some(previous));
        }
        self.request_next(observer);
        self.poll_watched(observer);
    }

    /// Requests the next data from the watched observer: changes, or a snapshot chunk.
    fn request_next(&mut self, observer: NodeId) {
        self.note_request(observer);
        let download = self.download.as_ref();
        let cursor = download.and_then(|download| download.cursor().cloned());
        // If no chunk was received yet, changes are requested first: this observer may have those
        // that the previous observer had compacted away.
        if cursor.is_none() && self.has_replica {
            self.download = None;
            let after = self.replica.revision();
            return self.send(observer, SubscriberMessage::Watch { after });
        }
        self.download.get_or_insert_with(SnapshotDownload::default);
        self.send(observer, SubscriberMessage::FetchSnapshot { from: cursor });
    }

    fn note_request(&mut self, observer: NodeId) {
        if let Some(connection) = self.connections.get_mut(&observer) {
            connection.requested_at = self.now;
        }
    }

    /// Applies the changes of a batch that are newer than the replica.
    pub(super) fn receive_changes(&mut self, observer: NodeId, batch: &ChangeBatch) {
        let applied = self.replica.revision();
        if self.download.is_some() || batch.to <= applied {
            return;
        }
        if !is_in_order(batch) {
            return self.protocol_violation(observer, "changes out of order");
        }
        if batch.after > applied && !self.mutated(Mutant::AppliesGaps) {
            if self.may_be_stale(observer) {
                return;
            }
            return self.protocol_violation(observer, "a gap between changes");
        }
        self.replica.apply(batch.to, &batch.changes);
        self.staleness_guard.applied_up_to(batch.to);
    }

    /// Begins a new snapshot: the requested changes, or the revision of the snapshot under way, are
    /// compacted away.
    pub(super) fn receive_compacted(&mut self, observer: NodeId, first: Revision) {
        match &self.download {
            Some(download) if download.cursor().is_none() => return,
            None if first <= self.replica.revision() => return,
            _ => self.download = Some(SnapshotDownload::default()),
        }
        self.note_request(observer);
        self.send(observer, SubscriberMessage::FetchSnapshot { from: None });
    }

    /// Adds a chunk to the snapshot under way, and installs the snapshot after the last chunk.
    pub(super) fn receive_chunk(&mut self, observer: NodeId, chunk: SnapshotChunk) {
        let may_be_stale = self.may_be_stale(observer);
        let Some(mut download) = self.download.take() else {
            if !may_be_stale {
                self.protocol_violation(observer, "a snapshot piece that was not asked for");
            }
            return;
        };
        let SnapshotChunk { revision, last, .. } = chunk;
        let is_older = revision < self.replica.revision();
        match download.add(chunk) {
            // The observer is behind this replica, so the changes after the replica's revision are
            // requested instead.
            Ok(()) if is_older => self.request_next(observer),
            Ok(()) if last => self.install_snapshot(observer, revision, download),
            Ok(()) => {
                self.download = Some(download);
                self.request_next(observer);
            }
            Err(_) if may_be_stale => self.download = Some(download),
            Err(error) => {
                self.download = Some(download);
                self.protocol_violation(observer, &error.to_string());
            }
        }
    }

    /// Replaces the replica with a complete snapshot. The staleness guard is replaced, because an
    /// answer to an earlier poll does not confirm these entries.
    fn install_snapshot(
        &mut self,
        observer: NodeId,
        revision: Revision,
        download: SnapshotDownload,
    ) {
        self.replica = download.into_replica(revision);
        self.has_replica = true;
        self.staleness_guard = StalenessGuard::new(self.config.drain_limit);
        self.staleness_guard.applied_up_to(revision);
        for connection in self.connections.values_mut() {
            connection.forget_confirmations();
        }
        self.request_next(observer);
        self.poll_watched(observer);
    }

    /// Returns whether a message may answer a request before the last one.
    fn may_be_stale(&self, observer: NodeId) -> bool {
        let Some(connection) = self.connections.get(&observer) else {
            return false;
        };
        self.now.saturating_sub(connection.requested_at) < LATE_ANSWER_WINDOW_US
    }

    /// Closes the connection to an observer that broke the protocol.
    fn protocol_violation(&mut self, observer: NodeId, detail: &str) {
        let detail = detail.to_owned();
        let rejection = Rejection::ProtocolViolation { detail };
        self.close_connection(observer, Some(&rejection));
    }
}

/// Returns whether the revisions of the changes are after `after`, at most `to`, and in ascending
/// order.
fn is_in_order(batch: &ChangeBatch) -> bool {
    let mut least = batch.after.saturating_add(1);
    for change in batch.changes.iter() {
        if change.revision < least || change.revision > batch.to {
            return false;
        }
        least = change.revision;
    }
    true
}
