//! Questions of freshness: one linearizable read upstream carries all that arrived before it began.
//!
//! A question that arrives while a read runs waits for the next one. At most one read runs; the next one begins once
//! that has ended and [`read_every`](super::ObserverConfig::read_every) has passed since it began. Questions whose
//! read failed wait for the next read, until they are [`QUESTION_COUNTS`] old.

use std::collections::{BTreeMap, VecDeque};

use violetgate_replicated_state::{Micros, Revision};

use super::{ConnectionId, ReadId};

/// The most questions that are kept of one connection; the oldest are dropped.
pub(super) const QUESTIONS_OF_ONE: usize = 8;
/// A read that has not ended after this time is given up and another one begins.
const READ_WITHIN: Micros = 400_000;
/// The pause after a read that failed.
const PAUSE_AFTER_FAILURE: Micros = 100_000;
/// Questions older than this are dropped: the subscriber has asked again.
const QUESTION_COUNTS: Micros = 1_000_000;

/// What one connection waits for.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(super) struct Asked {
    /// The subscriber's numbers of its questions, with the time of their arrival, oldest first.
    questions: VecDeque<(u64, Micros)>,
    /// A revision that the subscriber claims to hold, to be compared with the one that the read confirms.
    pub claimed: Option<Revision>,
}

impl Asked {
    /// The newest question; its answer also answers those before it.
    pub fn newest(&self) -> Option<u64> {
        self.questions.back().map(|(question, _)| *question)
    }

    fn keep_newest(&mut self) {
        while self.questions.len() > QUESTIONS_OF_ONE {
            self.questions.pop_front();
        }
    }
}

/// What waits for a read, by connection.
pub(super) type Batch = BTreeMap<ConnectionId, Asked>;

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct RunningRead {
    id: ReadId,
    began: Micros,
    batch: Batch,
}

/// All questions of an observer's subscribers.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Questions {
    read_every: Micros,
    waiting: Batch,
    running: Option<RunningRead>,
    last_read: ReadId,
    begin_at: Micros,
}

impl Questions {
    pub fn new(read_every: Micros, now: Micros) -> Self {
        Questions {
            read_every,
            waiting: Batch::new(),
            running: None,
            last_read: 0,
            begin_at: now,
        }
    }

    /// A question has arrived. Only a mutant has it answered by a read that began `earlier`.
    pub fn ask(&mut self, now: Micros, connection: ConnectionId, question: u64, earlier: bool) {
        let running = self.running.as_mut().filter(|_| earlier);
        let batch = running.map_or(&mut self.waiting, |read| &mut read.batch);
        let asked = batch.entry(connection).or_default();
        asked.questions.push_back((question, now));
        asked.keep_newest();
    }

    /// A subscriber claims to hold a revision: only a read that begins from now on can show whether there is one.
    pub fn check_revision(&mut self, connection: ConnectionId, claimed: Revision) {
        let asked = self.waiting.entry(connection).or_default();
        asked.claimed = asked.claimed.max(Some(claimed));
    }

    /// A connection has ended.
    pub fn forget(&mut self, connection: ConnectionId) {
        self.waiting.remove(&connection);
        if let Some(running) = &mut self.running {
            running.batch.remove(&connection);
        }
    }

    /// Begins a read for all that waits, if it is time for one.
    pub fn begin(&mut self, now: Micros) -> Option<ReadId> {
        if self
            .running
            .as_ref()
            .is_some_and(|read| now >= read.began.saturating_add(READ_WITHIN))
        {
            self.give_up(now);
        }
        if self.running.is_some() || self.waiting.is_empty() || now < self.begin_at {
            return None;
        }
        self.last_read += 1;
        self.begin_at = now.saturating_add(self.read_every);
        let batch = std::mem::take(&mut self.waiting);
        self.running = Some(RunningRead {
            id: self.last_read,
            began: now,
            batch,
        });
        Some(self.last_read)
    }

    /// A read has ended: what it confirms. One that was given up confirms nothing any more.
    pub fn ended(&mut self, now: Micros, read: ReadId, current: bool) -> Batch {
        let Some(running) = self.running.take_if(|running| running.id == read) else {
            return Batch::new();
        };
        if current {
            return running.batch;
        }
        self.begin_at = self.begin_at.max(now.saturating_add(PAUSE_AFTER_FAILURE));
        self.put_back(now, running.batch);
        Batch::new()
    }

    fn give_up(&mut self, now: Micros) {
        if let Some(running) = self.running.take() {
            self.put_back(now, running.batch);
        }
    }

    /// Questions without an answer wait for the next read, before those that came since.
    fn put_back(&mut self, now: Micros, batch: Batch) {
        for (connection, mut old) in batch {
            old.questions
                .retain(|(_, at)| now.saturating_sub(*at) < QUESTION_COUNTS);
            let newer = self.waiting.remove(&connection).unwrap_or_default();
            old.questions.extend(newer.questions);
            old.keep_newest();
            old.claimed = old.claimed.max(newer.claimed);
            if old.claimed.is_some() || !old.questions.is_empty() {
                self.waiting.insert(connection, old);
            }
        }
    }

    /// When a read is to begin or to be given up.
    pub fn next_tick(&self) -> Micros {
        match &self.running {
            Some(running) => running.began.saturating_add(READ_WITHIN),
            None if self.waiting.is_empty() => Micros::MAX,
            None => self.begin_at,
        }
    }

    /// Connections that wait, and those whose read runs.
    pub fn sizes(&self) -> (usize, usize) {
        (
            self.waiting.len(),
            self.running
                .as_ref()
                .map_or(0, |running| running.batch.len()),
        )
    }
}
