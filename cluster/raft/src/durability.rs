//! Nothing is sent before it is durable: writes in progress, and the messages that wait for them.

use std::collections::VecDeque;

use crate::{Action, Entry, Index, Message, NodeId, RaftNode, StorageWrite};

/// A write that the caller has not confirmed yet.
#[derive(Debug, Clone, Copy)]
struct InProgressWrite {
    sequence: u64,
    /// The last entry of the log once the write is done.
    last_index: Index,
}

/// A message that must not leave before a write is durable.
#[derive(Debug)]
struct HeldMessage {
    after_write: u64,
    to: NodeId,
    message: Message,
}

/// Which writes are in progress, and what depends on them.
#[derive(Debug)]
pub(crate) struct WriteTracker {
    last_sequence: u64,
    in_progress: VecDeque<InProgressWrite>,
    /// The last entry that is durable here.
    durable: Index,
    held: VecDeque<HeldMessage>,
}

impl WriteTracker {
    /// All entries up to `durable` are on disk.
    pub(crate) fn new(durable: Index) -> Self {
        WriteTracker {
            last_sequence: 0,
            in_progress: VecDeque::new(),
            durable,
            held: VecDeque::new(),
        }
    }

    /// The last entry that is durable here.
    pub(crate) fn durable(&self) -> Index {
        self.durable
    }

    /// Begins a write after which the log ends at `last_index`; its sequence number.
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

    /// The latest write got more entries, up to `last_index`.
    fn extend_latest(&mut self, last_index: Index) {
        if let Some(latest) = self.in_progress.back_mut() {
            latest.last_index = last_index;
        }
    }

    /// All writes up to `sequence` are durable; the log ends at `last_index` now.
    fn complete(&mut self, sequence: u64, last_index: Index) {
        while let Some(write) = self.in_progress.front().copied() {
            if write.sequence > sequence {
                break;
            }
            self.in_progress.pop_front();
            self.durable = self.durable.max(write.last_index.min(last_index));
        }
    }

    /// The next message that waited for a write up to `sequence`.
    fn release(&mut self, sequence: u64) -> Option<HeldMessage> {
        let is_due = self
            .held
            .front()
            .is_some_and(|held| held.after_write <= sequence);
        is_due.then(|| self.held.pop_front()).flatten()
    }

    /// A snapshot up to `index` is durable and has replaced the log, which ends at `last_index`.
    pub(crate) fn snapshot_installed(&mut self, index: Index, last_index: Index) {
        self.durable = self.durable.min(last_index).max(index);
        for write in &mut self.in_progress {
            write.last_index = write.last_index.max(index);
        }
    }
}

impl RaftNode {
    /// All writes up to this sequence number are durable.
    pub fn persisted(&mut self, sequence: u64) {
        self.writes.complete(sequence, self.log.last_index());
        while let Some(held) = self.writes.release(sequence) {
            self.deliver(held.to, held.message);
        }
        self.advance_commit();
    }

    /// Writes the term and the vote.
    pub(crate) fn persist_hard_state(&mut self) {
        let hard_state = Some(self.hard_state);
        self.persist(StorageWrite {
            hard_state,
            ..StorageWrite::default()
        });
    }

    /// Writes entries, after the removal of those from `truncate_from` on.
    pub(crate) fn persist_entries(&mut self, truncate_from: Option<Index>, append: Vec<Entry>) {
        self.persist(StorageWrite {
            truncate_from,
            append,
            ..StorageWrite::default()
        });
    }

    /// Writes an entry that the leader has appended. Entries appended between two calls of
    /// [`RaftNode::take_actions`] are one write where nothing else came between them.
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

    /// Sends a message that depends on all writes so far: it is sent once they are durable. A node
    /// may send to itself.
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
