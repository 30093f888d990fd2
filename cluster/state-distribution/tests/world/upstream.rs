//! Simulates the voters as an observer sees them: a history of commands that it applies late, and
//! reads that may be slow or fail.

use violetgate_raft::NodeId;
use violetgate_replicated_state::{Command, Mutation, Operation, Txn};
use violetgate_state_distribution::*;

use super::trace::Record;
use super::{check, Event, World, MS};

impl World {
    /// Adds a command to the history that the voters have agreed on.
    pub fn agree(&mut self, step: Operation) {
        let command = Command {
            request_id: None,
            actor: "test".to_owned(),
            time: self.now,
            operation: step,
        };
        self.agreed_store.apply(&command);
        self.history.push(command);
        let revision = self.agreed_store.revision() as usize;
        if self.agreed_at.len() <= revision {
            self.agreed_at.push(self.now);
            self.fingerprints
                .push(check::fingerprint(&self.agreed_store));
        }
        let ids: Vec<NodeId> = self.observers.keys().copied().collect();
        ids.into_iter().for_each(|id| self.schedule_apply(id));
    }

    pub fn put(&mut self, keys: &[(u64, usize)]) {
        let put = |(key, bytes): &(u64, usize)| Mutation::Put {
            key: format!("key-{key:03}"),
            value: vec![(self.now % 251) as u8; *bytes],
            lease: None,
        };
        let then = keys.iter().map(put).collect();
        self.agree(Operation::Txn(Txn {
            then,
            ..Txn::default()
        }));
    }

    pub(super) fn schedule_apply(&mut self, id: NodeId) {
        let most = self.apply_delay;
        let at = self.now + 1 + self.random(most);
        let process = self.observers.get_mut(&id).unwrap();
        if !process.apply_scheduled && process.applied < self.history.len() {
            process.apply_scheduled = true;
            self.schedule(at, Event::Apply(id));
        }
    }

    pub(super) fn apply(&mut self, id: NodeId) {
        let some = 1 + self.random(4) as usize;
        let process = self.observers.get_mut(&id).unwrap();
        process.apply_scheduled = false;
        if process.core.is_none() {
            return;
        }
        if process.paused_until > self.now || self.cut_upstream.contains(&id) {
            process.apply_scheduled = true;
            return self.schedule(self.now + 50 * MS, Event::Apply(id));
        }
        let to = (process.applied + some).min(self.history.len());
        for command in &self.history[process.applied..to] {
            process.store.apply(command);
        }
        process.applied = to;
        self.trace(id, Record::Applied(to));
        let process = self.observers.get_mut(&id).unwrap();
        process
            .core
            .as_mut()
            .unwrap()
            .store_applied(self.now, &process.store);
        self.end_reads(id);
        self.schedule_apply(id);
        self.after_observer(id);
    }

    pub(super) fn begin_read(&mut self, id: NodeId, read: ReadId) {
        let starts = self.observers[&id].starts;
        self.seen.reads += 1;
        let most = self.read_delay;
        let at = self.now + 1 + self.random(most);
        if self.cut_upstream.contains(&id) {
            // Half of the reads fail, the others never end.
            if self.random(2) == 0 {
                self.schedule(at + 100 * MS, Event::ReadFailed(id, starts, read));
            }
        } else if self.random(1_000) < self.failed_reads_per_thousand {
            self.schedule(at, Event::ReadFailed(id, starts, read));
        } else {
            self.schedule(at, Event::ReadConfirmed(id, starts, read));
        }
    }

    pub(super) fn read_confirmed(&mut self, id: NodeId, starts: u64, read: ReadId) {
        let process = self.observers.get_mut(&id).unwrap();
        if process.starts != starts || process.core.is_none() {
            return;
        }
        process.reads.push((self.history.len(), read));
        if process.paused_until <= self.now {
            self.end_reads(id);
            self.after_observer(id);
        }
    }

    /// Completes the reads whose commands the observer has applied.
    fn end_reads(&mut self, id: NodeId) {
        let process = self.observers.get_mut(&id).unwrap();
        let applied = process.applied;
        let (done, rest) = process
            .reads
            .drain(..)
            .partition(|(index, _)| *index <= applied);
        process.reads = rest;
        let done: Vec<(usize, ReadId)> = done;
        for (_, read) in done {
            self.read_completed(id, read, true);
        }
    }

    pub(super) fn read_failed(&mut self, id: NodeId, starts: u64, read: ReadId) {
        let process = self.observers.get_mut(&id).unwrap();
        if process.starts != starts {
            return;
        }
        if process.core.is_some() {
            self.read_completed(id, read, false);
            self.after_observer(id);
        }
    }

    fn read_completed(&mut self, id: NodeId, read: ReadId, current: bool) {
        let process = self.observers.get_mut(&id).unwrap();
        if let Some(core) = &mut process.core {
            let result = if current {
                ReadResult::Current
            } else {
                ReadResult::Failed
            };
            core.read_completed(self.now, read, result, &process.store);
            self.trace(id, Record::ReadEnded(read, current));
        }
    }
}
