//! Freshness polls: one linearizable read answers all polls that arrived before it began.
//!
//! A poll that arrives while a read is under way waits for the next read, because a read proves
//! nothing about the time after its beginning. At most one read is under way. The next read begins
//! when that read has ended, and at least
//! [`min_read_interval`](super::ObserverConfig::min_read_interval) after that read began. Polls
//! whose read failed wait for the next read until they are older than [`POLL_LIFETIME_US`].

use std::collections::{BTreeMap, VecDeque};

use violetgate_replicated_state::{Micros, Revision};

use super::{ConnectionId, ReadId, ReadResult};
use crate::message::PollId;

/// The maximum number of polls that wait on one connection; the oldest are dropped first.
pub(super) const MAX_POLLS_PER_CONNECTION: usize = 8;
/// A read that has not ended within this time is abandoned, so that another read can begin.
const READ_TIMEOUT_US: Micros = 400_000;
/// The minimum delay between the failure of a read and the beginning of the next read.
const FAILED_READ_DELAY_US: Micros = 100_000;
/// Polls older than this are dropped: the subscriber has sent a newer poll by then.
const POLL_LIFETIME_US: Micros = 1_000_000;

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Poll {
    id: PollId,
    received_at: Micros,
}

/// The polls of one connection that wait for a read, and the revision that its subscriber claims to
/// hold and this observer has not applied.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(super) struct PendingPolls {
    /// The polls, oldest first.
    polls: VecDeque<Poll>,
    /// A revision that the subscriber claims to hold, to be compared with the revision that the
    /// read confirms.
    pub claimed_revision: Option<Revision>,
}

impl PendingPolls {
    /// Returns the newest poll. Its confirmation covers the earlier polls.
    pub fn newest(&self) -> Option<PollId> {
        self.polls.back().map(|poll| poll.id)
    }

    fn push(&mut self, poll: Poll) {
        self.polls.push_back(poll);
        self.drop_excess();
    }

    fn drop_excess(&mut self) {
        while self.polls.len() > MAX_POLLS_PER_CONNECTION {
            self.polls.pop_front();
        }
    }

    /// Drops expired polls, and appends newer polls and their claimed revision.
    fn merge(&mut self, now: Micros, newer: PendingPolls) {
        let counts = |poll: &Poll| now.saturating_sub(poll.received_at) < POLL_LIFETIME_US;
        self.polls.retain(counts);
        self.polls.extend(newer.polls);
        self.drop_excess();
        self.claimed_revision = self.claimed_revision.max(newer.claimed_revision);
    }

    fn is_empty(&self) -> bool {
        self.claimed_revision.is_none() && self.polls.is_empty()
    }
}

/// The polls that one read answers, by connection.
pub(super) type PollBatch = BTreeMap<ConnectionId, PendingPolls>;

/// Which reads may answer a poll that arrives now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PendingReads {
    /// The next read to begin: the only correct choice.
    Next,
    /// The read under way, if there is one, otherwise the next read. Only a mutant uses this.
    RunningOrNext,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct RunningRead {
    id: ReadId,
    began_at: Micros,
    batch: PollBatch,
}

impl RunningRead {
    fn times_out_at(&self) -> Micros {
        self.began_at.saturating_add(READ_TIMEOUT_US)
    }
}

/// The polls of all subscribers of an observer.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct PollQueue {
    min_read_interval: Micros,
    waiting: PollBatch,
    running: Option<RunningRead>,
    last_read: ReadId,
    next_read_at: Micros,
}

impl PollQueue {
    pub fn new(min_read_interval: Micros, now: Micros) -> Self {
        PollQueue {
            min_read_interval,
            waiting: PollBatch::new(),
            running: None,
            last_read: 0,
            next_read_at: now,
        }
    }

    /// Adds a poll that has arrived.
    pub fn enqueue(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        id: PollId,
        reads: PendingReads,
    ) {
        let batch = match (&mut self.running, reads) {
            (Some(running), PendingReads::RunningOrNext) => &mut running.batch,
            _ => &mut self.waiting,
        };
        let received_at = now;
        batch
            .entry(connection)
            .or_default()
            .push(Poll { id, received_at });
    }

    /// Queues a check of a revision that a subscriber claims to hold. Only a read that begins from
    /// now on can show whether the revision exists.
    pub fn check_revision(&mut self, connection: ConnectionId, claimed: Revision) {
        let pending = self.waiting.entry(connection).or_default();
        pending.claimed_revision = pending.claimed_revision.max(Some(claimed));
    }

    /// Removes the polls of a connection that has ended.
    pub fn forget(&mut self, connection: ConnectionId) {
        self.waiting.remove(&connection);
        if let Some(running) = &mut self.running {
            running.batch.remove(&connection);
        }
    }

    /// Begins a read for all waiting polls and checks, if a read is due. Abandons the read under
    /// way first if it has timed out.
    pub fn begin_read(&mut self, now: Micros) -> Option<ReadId> {
        if let Some(timed_out) = self.running.take_if(|read| now >= read.times_out_at()) {
            self.requeue(now, timed_out.batch);
        }
        if self.running.is_some() || self.waiting.is_empty() || now < self.next_read_at {
            return None;
        }
        self.last_read += 1;
        self.next_read_at = now.saturating_add(self.min_read_interval);
        self.running = Some(RunningRead {
            id: self.last_read,
            began_at: now,
            batch: std::mem::take(&mut self.waiting),
        });
        Some(self.last_read)
    }

    /// Handles the end of a read, and returns the polls that it confirms. An abandoned read
    /// confirms none.
    pub fn complete(&mut self, now: Micros, read: ReadId, result: ReadResult) -> PollBatch {
        let Some(running) = self.running.take_if(|running| running.id == read) else {
            return PollBatch::new();
        };
        match result {
            ReadResult::Current => running.batch,
            ReadResult::Failed => {
                let delayed = now.saturating_add(FAILED_READ_DELAY_US);
                self.next_read_at = self.next_read_at.max(delayed);
                self.requeue(now, running.batch);
                PollBatch::new()
            }
        }
    }

    /// Makes polls without an answer wait for the next read, ahead of polls that arrived later.
    fn requeue(&mut self, now: Micros, batch: PollBatch) {
        for (connection, mut pending) in batch {
            let newer = self.waiting.remove(&connection).unwrap_or_default();
            pending.merge(now, newer);
            if !pending.is_empty() {
                self.waiting.insert(connection, pending);
            }
        }
    }

    /// Returns when the next read has to begin, or when the read under way has to be abandoned.
    pub fn next_tick(&self) -> Micros {
        match &self.running {
            Some(running) => running.times_out_at(),
            None if self.waiting.is_empty() => Micros::MAX,
            None => self.next_read_at,
        }
    }

    /// Returns the number of connections whose polls wait for the next read.
    pub fn connections_waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of connections whose polls are answered by the read under way.
    pub fn connections_reading(&self) -> usize {
        let running = self.running.as_ref();
        running.map_or(0, |running| running.batch.len())
    }
}
