//! Freshness polls: one linearizable read answers all polls that arrived before it began.
//!
//! A poll that arrives while a read is under way waits for the next one: a read proves nothing
//! about the time after its beginning. At most one read is under way. The next begins once that
//! has ended, and no sooner than [`min_read_interval`](super::ObserverConfig::min_read_interval)
//! after its beginning. Polls whose read failed wait for the next read until they are older than
//! [`POLL_LIFETIME_US`].

use std::collections::{BTreeMap, VecDeque};

use violetgate_replicated_state::{Micros, Revision};

use super::{ConnectionId, ReadId, ReadResult};
use crate::message::PollId;

/// The most polls that wait on one connection; the oldest are dropped first.
pub(super) const MAX_POLLS_PER_CONNECTION: usize = 8;
/// A read that has not ended within this time is abandoned, so that another can begin.
const READ_TIMEOUT_US: Micros = 400_000;
/// The delay before the read after a failed one.
const FAILED_READ_DELAY_US: Micros = 100_000;
/// Polls older than this are dropped: the subscriber has sent another since.
const POLL_LIFETIME_US: Micros = 1_000_000;

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Poll {
    id: PollId,
    received_at: Micros,
}

/// What one connection waits for.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(super) struct PendingPolls {
    /// Oldest first.
    polls: VecDeque<Poll>,
    /// A revision that the subscriber claims to hold, to be compared with the one that the read
    /// confirms.
    pub claimed_revision: Option<Revision>,
}

impl PendingPolls {
    /// The newest poll; its confirmation covers those before it.
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

    /// Drops the polls that are too old, and appends newer ones.
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
    /// The next one to begin: the only sound choice.
    Next,
    /// The one under way, if there is one: what a mutant does.
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

    /// A poll has arrived.
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

    /// A subscriber claims to hold a revision. Only a read that begins from now on can show
    /// whether it exists.
    pub fn check_revision(&mut self, connection: ConnectionId, claimed: Revision) {
        let pending = self.waiting.entry(connection).or_default();
        pending.claimed_revision = pending.claimed_revision.max(Some(claimed));
    }

    /// A connection has ended.
    pub fn forget(&mut self, connection: ConnectionId) {
        self.waiting.remove(&connection);
        if let Some(running) = &mut self.running {
            running.batch.remove(&connection);
        }
    }

    /// Begins a read for all that waits, if one is due.
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

    /// A read has ended: the polls that it confirms. One that was abandoned confirms none.
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

    /// Polls without an answer wait for the next read, before those that arrived since.
    fn requeue(&mut self, now: Micros, batch: PollBatch) {
        for (connection, mut pending) in batch {
            let newer = self.waiting.remove(&connection).unwrap_or_default();
            pending.merge(now, newer);
            if !pending.is_empty() {
                self.waiting.insert(connection, pending);
            }
        }
    }

    /// When a read has to begin or to be abandoned.
    pub fn next_tick(&self) -> Micros {
        match &self.running {
            Some(running) => running.times_out_at(),
            None if self.waiting.is_empty() => Micros::MAX,
            None => self.next_read_at,
        }
    }

    /// Connections whose polls wait for the next read.
    pub fn connections_waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Connections whose polls are answered by the read that is under way.
    pub fn connections_reading(&self) -> usize {
        let running = self.running.as_ref();
        running.map_or(0, |running| running.batch.len())
    }
}
