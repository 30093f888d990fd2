//! Tracks the writes in progress, and holds messages back until the writes that they depend on are
//! durable.

use std::collections::VecDeque;

use crate::{Action, Entry, Index, Message, NodeId, RaftNode, StorageWrite};

/// A write that the caller has not reported as durable yet.
#[derive(Debug, Clone, Copy)]
struct InProgressWrite {
    sequence: u64,
    /// The last index of the log once the write is durable.
    last_index: Index,
}

/// A message that must not be sent before the write `after_write` is durable.
#[derive(Debug)]
struct HeldMessage {
    after_write: u64,
    to: NodeId,
    message: Message,
}

/// The writes in progress and the messages that depend on them.
#[derive(Debug)]
pub(crate) struct WriteTracker {
    last_sequence: u64,
    in_progress: VecDeque<InProgressWrite>,
    /// The last index that is durable on this node.
    durable: Index,
    held: VecDeque<HeldMessage>,
}

impl WriteTracker {
    /// Creates a tracker for a log whose entries up to `durable` are on disk.
    pub(crate) fn new(durable: Index) -> Self {
        WriteTracker {
            last_sequence: 0,
            in_progress: VecDeque::new(),
            durable,
            held: VecDeque::new(),
        }
    }

    /// Returns the last index that is durable on this node.
    pub(crate) fn durable(&self) -> Index {
        self.durable
    }

    /// Begins a write after which the log ends at `last_index`, and returns its sequence number.
    fn begin(&mut self, truncate_from: Option<Index>, last_index: Index) -> u64 {
        self.last_sequence += 1;
        if let Some(from) = truncate_from {
            let remaining = from.saturating_sub(1);
            self.durable = self.durable.min(remaining);
            for write in &mut self.in_progress {
                write.last_index = write.last_index.min(remaining);
            }
        }
        self.in_progress.push_back(InProgressWrite {
            sequence: self.last_sequence,
            last_index,
        });
        self.last_sequence
    }

    /// Records that entries up to `last_index` were added to the latest write.
    fn extend_latest(&mut self, last_index: Index) {
        if let Some(latest) = self.in_progress.back_mut() {
            latest.last_index = last_index;
        }
    }

    /// Records that all writes up to `sequence` are durable. `last_index` is the current end of
    /// the log.
    fn complete(&mut self, sequence: u64, last_index: Index) {
        while let Some(write) = self.in_progress.front().copied() {
            if write.sequence > sequence {
                break;
            }
            self.in_progress.pop_front();
            self.durable = self.durable.max(write.last_index.min(last_index));
        }
    }

    /// Removes and returns the next held message whose write is at most `sequence`.
    fn release(&mut self, sequence: u64) -> Option<HeldMessage> {
        let is_due = self
            .held
            .front()
            .is_some_and(|held| held.after_write <= sequence);
        is_due.then(|| self.held.pop_front()).flatten()
    }

    /// Records that a snapshot up to `index` is durable and has replaced the log, which now ends at
    /// `last_index`.
    pub(crate) fn snapshot_installed(&mut self, index: Index, last_index: Index) {
        self.durable = self.durable.min(last_index).max(index);
        for write in &mut self.in_progress {
            write.last_index = write.last_index.max(index);
        }
    }
}

impl RaftNode {
    /// Reports that all writes up to `sequence` are durable. Messages that waited for them are
    /// sent, and entries may become committed.
    pub fn persisted(&mut self, sequence: u64) {
        self.writes.complete(sequence, self.log.last_index());
        while let Some(held) = self.writes.release(sequence) {
            self.deliver(held.to, held.message);
        }
        self.advance_commit();
    }

    /// Requests a write of the term and the vote.
    pub(crate) fn persist_hard_state(&mut self) {
        let hard_state = Some(self.hard_state);
        self.persist(StorageWrite {
            hard_state,
            ..StorageWrite::default()
        });
    }

    /// Requests a write that removes the entries from `truncate_from` on, then appends `append`.
    pub(crate) fn persist_entries(&mut self, truncate_from: Option<Index>, append: Vec<Entry>) {
        self.persist(StorageWrite {
            truncate_from,
            append,
            ..StorageWrite::default()
        });
    }

    /// Requests a write of an entry that the leader has appended. Entries appended between two
    /// calls of [`RaftNode::take_actions`] share one write if no other action comes between them.
    pub(crate) fn persist_appended(&mut self, entry: Entry) {
        match self.actions.last_mut() {
            Some(Action::Persist(write))
                if write.truncate_from.is_none() && !write.append.is_empty() =>
            {
                self.writes.extend_latest(entry.index);
                write.append.push(entry);
            }
            _ => self.persist_entries(None, vec![entry]),
        }
    }

    fn persist(&mut self, mut write: StorageWrite) {
        write.sequence = self
            .writes
            .begin(write.truncate_from, self.log.last_index());
        self.actions.push(Action::Persist(write));
    }

    /// Sends a message once all writes requested so far are durable. A node may send a message to
    /// itself.
    pub(crate) fn send_when_durable(&mut self, to: NodeId, message: Message) {
        if self.writes.in_progress.is_empty() {
            self.deliver(to, message);
        } else {
            let after_write = self.writes.last_sequence;
            self.writes.held.push_back(HeldMessage {
                after_write,
                to,
                message,
            });
        }
    }

    fn deliver(&mut self, to: NodeId, message: Message) {
        if to == self.id {
            self.step(to, message);
        } else {
            self.send_now(to, message);
        }
    }
}
