//! Linearizable reads: reads by clients, and the confirmations of the staleness guard.

use std::collections::BTreeMap;

use violetgate_raft::{Index, ProposalError};
use violetgate_replicated_state::Micros;

use crate::config::MAX_WAITING_CALLS;
use crate::{CallId, Replica, Response};

/// Maximum number of confirmations that wait for a read index. The oldest is dropped first.
const MAX_CONFIRMATIONS: usize = 16;

/// The origin of a waiting read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PendingRead {
    /// A client's read, by the id of its call.
    Client(CallId),
    /// A confirmation of the staleness guard, by its id.
    Confirmation(u64),
}

/// The reads that are not served yet.
#[derive(Debug)]
pub(crate) struct PendingReads {
    /// The id of the latest read. Ids go to the leader and back by its answers, which can arrive
    /// after a restart of this replica.
    last_id: u64,
    /// Reads that wait for a read index, by the read ids that were passed to Raft.
    awaiting_index: BTreeMap<u64, PendingRead>,
    /// Reads that wait for their read index to be applied.
    awaiting_apply: Vec<(Index, PendingRead)>,
}

impl PendingReads {
    /// Creates an empty collection whose ids follow `last_id`.
    pub(crate) fn new(last_id: u64) -> Self {
        PendingReads {
            last_id,
            awaiting_index: BTreeMap::new(),
            awaiting_apply: Vec::new(),
        }
    }

    fn is_full(&self) -> bool {
        self.awaiting_index.len() + self.awaiting_apply.len() >= MAX_WAITING_CALLS
    }

    /// Adds a read and returns its id.
    fn insert(&mut self, read: PendingRead) -> u64 {
        self.last_id = self.last_id.wrapping_add(1);
        if matches!(read, PendingRead::Confirmation(_)) {
            self.bound_confirmations();
        }
        self.awaiting_index.insert(self.last_id, read);
        self.last_id
    }

    fn bound_confirmations(&mut self) {
        let reads = self.awaiting_index.iter();
        let confirmations: Vec<u64> = reads
            .filter(|(_, read)| matches!(read, PendingRead::Confirmation(_)))
            .map(|(id, _)| *id)
            .collect();
        if let [oldest, ..] = confirmations.as_slice() {
            if confirmations.len() >= MAX_CONFIRMATIONS {
                self.awaiting_index.remove(oldest);
            }
        }
    }

    /// Removes and returns the reads whose read index is at most `applied`.
    fn take_applied(&mut self, applied: Index) -> Vec<(Index, PendingRead)> {
        let (ready, rest) = std::mem::take(&mut self.awaiting_apply)
            .into_iter()
            .partition(|(index, _)| *index <= applied);
        self.awaiting_apply = rest;
        ready
    }

    pub(crate) fn cancel(&mut self, call: CallId) {
        let cancelled = PendingRead::Client(call);
        self.awaiting_index.retain(|_, read| *read != cancelled);
        self.awaiting_apply.retain(|(_, read)| *read != cancelled);
    }
}

impl Replica {
    /// Requests a linearizable read for a client. The response is [`Response::ReadReady`] once the
    /// store may be read. If messages are dropped there may be no response, and the caller has to
    /// repeat the read.
    pub fn read(&mut self, call: CallId) {
        if self.reads.is_full() {
            return self.respond(call, Response::Rejected(ProposalError::Busy));
        }
        self.request_read_index(PendingRead::Client(call));
    }

    /// Begins a linearizable read that confirms for the staleness guard how recent the local state
    /// is.
    pub(crate) fn begin_confirmation(&mut self, now: Micros) {
        let id = self.guard.begin_confirmation(now);
        self.request_read_index(PendingRead::Confirmation(id));
    }

    fn request_read_index(&mut self, read: PendingRead) {
        let read_id = self.reads.insert(read);
        self.raft.read_index(read_id);
    }

    pub(crate) fn on_read_ready(&mut self, read_id: u64, index: Index) {
        if let Some(read) = self.reads.awaiting_index.remove(&read_id) {
            self.reads.awaiting_apply.push((index, read));
            self.complete_reads();
        }
    }

    pub(crate) fn on_read_failed(&mut self, read_id: u64) {
        match self.reads.awaiting_index.remove(&read_id) {
            Some(PendingRead::Client(call)) => {
                self.respond(call, Response::NotLeader(self.raft.leader()));
            }
            Some(PendingRead::Confirmation(id)) => self.guard.confirmation_failed(id),
            None => {}
        }
    }

    /// Answers the reads and confirmations whose read index is applied.
    pub(crate) fn complete_reads(&mut self) {
        let applied = self.applied.index;
        self.guard.applied_up_to(applied);
        for (index, read) in self.reads.take_applied(applied) {
            match read {
                PendingRead::Client(call) => self.respond(call, Response::ReadReady),
                PendingRead::Confirmation(id) => self.guard.confirmation_answered(id, index),
            }
        }
    }
}
