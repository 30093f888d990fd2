//! What an observer knows of one subscriber.

use violetgate_replicated_state::{Micros, Revision};

use crate::message::{FromSubscriber, SnapshotPlace};

/// The most messages that a subscriber may send in a second, snapshot pieces that it goes on with aside.
const MESSAGES_A_SECOND: u32 = 100;
const SECOND: Micros = 1_000_000;

/// Whether a subscriber is sent changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Watch {
    /// It wants none.
    Off,
    /// It was sent all that this observer has.
    Current,
    /// It was sent all up to a revision that is older.
    Behind(Revision),
    /// It holds a revision that this observer does not have yet.
    Ahead(Revision),
}

/// A request for a snapshot piece that is not answered yet.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct SnapshotRequest {
    pub from: Option<SnapshotPlace>,
}

/// Bytes that wait in the carrier, as far as is known: what it reported last, and what was sent since.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct SendQueue {
    pub bytes: usize,
    reported: usize,
    /// When the carrier last got rid of anything, or had nothing to send.
    taken_at: Micros,
}

impl SendQueue {
    pub fn sent(&mut self, now: Micros, bytes: usize) {
        if self.bytes == 0 {
            self.taken_at = now;
        }
        self.bytes = self.bytes.saturating_add(bytes);
    }

    pub fn report(&mut self, now: Micros, bytes: usize) {
        if bytes < self.bytes.max(self.reported) {
            self.taken_at = now;
        }
        (self.bytes, self.reported) = (bytes, bytes);
    }

    /// Whether more than `bound` bytes wait and nothing was taken for `patience`.
    pub fn stalled(&self, now: Micros, bound: usize, patience: Micros) -> bool {
        self.bytes > bound && now.saturating_sub(self.taken_at) >= patience
    }
}

/// One subscriber.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Connection {
    pub name: String,
    pub watch: Watch,
    pub snapshot: Option<SnapshotRequest>,
    pub queue: SendQueue,
    /// It follows this observer, rather than holding it in reserve: its progress counts here.
    pub follows: bool,
    /// When it last said anything.
    pub heard_at: Micros,
    second_began: Micros,
    messages: u32,
}

impl Connection {
    pub fn new(name: String, now: Micros) -> Self {
        Connection {
            name,
            watch: Watch::Off,
            snapshot: None,
            queue: SendQueue {
                bytes: 0,
                reported: 0,
                taken_at: now,
            },
            follows: false,
            heard_at: now,
            second_began: now,
            messages: 0,
        }
    }

    /// Counts a message; whether the subscriber sends no more than it may.
    pub fn count(&mut self, now: Micros, message: &FromSubscriber) -> bool {
        self.heard_at = now;
        if matches!(message, FromSubscriber::Snapshot { from: Some(_) }) {
            return true;
        }
        if now.saturating_sub(self.second_began) >= SECOND {
            (self.second_began, self.messages) = (now, 0);
        }
        self.messages += 1;
        self.messages <= MESSAGES_A_SECOND
    }

    /// The revision that this connection waits for the observer to reach.
    pub fn waits_for(&self) -> Option<Revision> {
        let snapshot = self
            .snapshot
            .as_ref()
            .and_then(|request| request.from.as_ref());
        match self.watch {
            Watch::Ahead(revision) => Some(revision),
            _ => snapshot.map(|place| place.revision),
        }
    }
}
