//! The leader's view of a peer's log.

use std::collections::VecDeque;

use crate::{Index, Micros};

/// How a leader sends entries to a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) enum ReplicationMode {
    /// The leader doesn't know where the logs match, and sends one message with entries at a time.
    #[default]
    Probe,
    /// The leader knows where the logs match, and sends further messages with entries before
    /// earlier ones are answered.
    Replicate,
}

/// The transfer of a snapshot to a peer.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SnapshotTransfer {
    /// The offset of the latest chunk requested for the peer.
    pub(crate) offset: u64,
    /// The time at which that chunk was last requested.
    pub(crate) sent_at: Micros,
}

/// The replication progress of one peer.
#[derive(Debug, Clone, Default)]
pub(crate) struct Progress {
    /// The index of the next entry to send.
    pub(crate) next_index: Index,
    /// The highest index up to which the peer's log is known to match.
    pub(crate) match_index: Index,
    pub(crate) mode: ReplicationMode,
    /// The index of the last entry of each unanswered message.
    pub(crate) in_flight: VecDeque<Index>,
    /// The latest heartbeat round that the peer has answered.
    pub(crate) answered_round: u64,
    /// The time of the peer's latest response.
    pub(crate) last_response: Micros,
    /// The time at which the oldest unanswered message was sent or entries were last acknowledged,
    /// whichever is later.
    pub(crate) unacknowledged_since: Micros,
    pub(crate) snapshot: Option<SnapshotTransfer>,
}

impl Progress {
    /// Creates the progress of a peer whose log is unknown. Probing begins at `next_index`.
    pub(crate) fn new(next_index: Index, now: Micros) -> Self {
        Progress {
            next_index,
            last_response: now,
            ..Progress::default()
        }
    }

    /// Returns the maximum number of unanswered messages in the current mode.
    pub(crate) fn window(&self, max_inflight: usize) -> usize {
        match self.mode {
            ReplicationMode::Probe => 1,
            ReplicationMode::Replicate => max_inflight,
        }
    }

    /// Returns to probing after the last matching entry if nothing was acknowledged since before
    /// `oldest` although messages are unanswered: the messages or the responses were dropped.
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

    /// Records that the peer has acknowledged all entries up to `index`.
    pub(crate) fn on_matched(&mut self, index: Index, now: Micros) {
        if index > self.match_index {
            // Only new entries show that messages with entries arrive. Heartbeats may be answered
            // even if those messages are dropped.
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

    /// Handles a conflict response. Probing continues at `hint + 1`, limited to the range from the
    /// entry after the last match to the index after the leader's last entry. Returns whether
    /// probing began or moved back. A stale or duplicated response does neither.
    pub(crate) fn on_conflict(&mut self, hint: Index, last_index: Index) -> bool {
        let next_index = (hint + 1).max(self.match_index + 1).min(last_index + 1);
        let changes = self.mode == ReplicationMode::Replicate || next_index < self.next_index;
        self.probe_from(next_index);
        changes
    }

    /// Records that entries up to `end` were sent.
    pub(crate) fn on_sent(&mut self, end: Index, now: Micros) {
        if self.in_flight.is_empty() {
            self.unacknowledged_since = now;
        }
        self.in_flight.push_back(end);
    }

    /// Begins a snapshot transfer, or repeats its current chunk if that was sent at least
    /// `retry_after` ago. Returns the offset of the chunk to send, or `None` if none is due.
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
