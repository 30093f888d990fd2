//! What a leader knows of another node's log.

use std::collections::VecDeque;

use crate::{Index, Micros};

/// Whether it is known where the peer's log matches the leader's.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) enum ReplicationMode {
    /// Not known yet: one message at a time.
    #[default]
    Probe,
    /// Known: entries are pipelined.
    Replicate,
}

/// A snapshot on its way to a peer.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SnapshotTransfer {
    /// The first byte of the chunk that is out.
    pub(crate) offset: u64,
    /// When the chunk was last sent.
    pub(crate) sent_at: Micros,
}

/// The replication progress of one peer.
#[derive(Debug, Clone, Default)]
pub(crate) struct Progress {
    /// The next entry to send.
    pub(crate) next_index: Index,
    /// The last entry that the peer is known to have.
    pub(crate) match_index: Index,
    pub(crate) mode: ReplicationMode,
    /// The last entry of each message that is unanswered.
    pub(crate) in_flight: VecDeque<Index>,
    /// The latest heartbeat round that the peer has answered.
    pub(crate) answered_round: u64,
    /// When the peer last answered anything.
    pub(crate) last_response: Micros,
    /// When the oldest unanswered message was sent, or entries were last acknowledged.
    pub(crate) unacknowledged_since: Micros,
    pub(crate) snapshot: Option<SnapshotTransfer>,
}

impl Progress {
    /// A peer of which nothing is known: probing begins at `next_index`.
    pub(crate) fn new(next_index: Index, now: Micros) -> Self {
        Progress {
            next_index,
            last_response: now,
            ..Progress::default()
        }
    }

    /// The most unanswered messages for now.
    pub(crate) fn window(&self, max_inflight: usize) -> usize {
        match self.mode {
            ReplicationMode::Probe => 1,
            ReplicationMode::Replicate => max_inflight,
        }
    }

    /// Probes again from where the logs are known to match if messages that were sent before
    /// `oldest` are unanswered: they, or the answers to them, were dropped.
    pub(crate) fn restart_if_timed_out(&mut self, oldest: Micros) {
        if !self.in_flight.is_empty() && self.unacknowledged_since < oldest {
            self.probe_from(self.match_index + 1);
        }
    }

    fn probe_from(&mut self, next_index: Index) {
        self.in_flight.clear();
        self.mode = ReplicationMode::Probe;
        self.next_index = next_index;
    }

    /// The peer has acknowledged all entries up to `index`.
    pub(crate) fn on_matched(&mut self, index: Index, now: Micros) {
        if index > self.match_index {
            // Only this shows that messages arrive; heartbeats are answered all the same.
            self.match_index = index;
            self.unacknowledged_since = now;
        }
        let match_index = self.match_index;
        self.in_flight.retain(|end| *end > match_index);
        if self.mode == ReplicationMode::Probe {
            self.in_flight.clear();
            self.mode = ReplicationMode::Replicate;
            self.next_index = match_index + 1;
        }
        self.next_index = self.next_index.max(match_index + 1);
    }

    /// The peer's log doesn't match before `next_index`; probing goes on at or below `hint + 1`.
    /// Returns whether that changes anything: a stale or duplicated answer doesn't.
    pub(crate) fn on_conflict(&mut self, hint: Index, last_index: Index) -> bool {
        let next_index = (hint + 1).max(self.match_index + 1).min(last_index + 1);
        let changes = self.mode == ReplicationMode::Replicate || next_index < self.next_index;
        self.probe_from(next_index);
        changes
    }

    /// Entries up to `end` were sent.
    pub(crate) fn on_sent(&mut self, end: Index, now: Micros) {
        if self.in_flight.is_empty() {
            self.unacknowledged_since = now;
        }
        self.in_flight.push_back(end);
    }

    /// Begins or repeats the transfer of a snapshot: the offset of the chunk to send now, if it is
    /// time.
    pub(crate) fn snapshot_chunk_due(&mut self, now: Micros, retry_after: Micros) -> Option<u64> {
        let offset = match self.snapshot {
            Some(transfer) if now < transfer.sent_at + retry_after => return None,
            Some(transfer) => transfer.offset,
            None => 0,
        };
        self.snapshot = Some(SnapshotTransfer {
            offset,
            sent_at: now,
        });
        Some(offset)
    }
}
