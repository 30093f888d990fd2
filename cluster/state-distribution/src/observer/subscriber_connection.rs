//! What an observer knows of one subscriber.

use violetgate_replicated_state::{Micros, Revision};

use super::send_backlog::SendBacklog;
use crate::message::{SnapshotCursor, SubscriberMessage};

/// The most messages that a subscriber may send in a second, not counting requests to continue a
/// snapshot.
pub(super) const MAX_MESSAGES_PER_SECOND: u32 = 100;
const SECOND_US: Micros = 1_000_000;

/// Which changes a subscriber was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Watch {
    /// It wants none.
    Off,
    /// All that this observer has.
    Current,
    /// All up to this revision, which is older than the observer's.
    Behind(Revision),
    /// None: it holds this revision, which this observer does not have yet.
    AwaitingRevision(Revision),
}

/// A request for a snapshot chunk that is not answered yet.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct SnapshotRequest {
    pub from: Option<SnapshotCursor>,
}

/// One subscriber.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct SubscriberConnection {
    pub name: String,
    pub watch: Watch,
    pub snapshot: Option<SnapshotRequest>,
    pub backlog: SendBacklog,
    /// The subscriber watches this observer, rather than holding it as its standby: its progress
    /// counts here.
    pub is_watched: bool,
    pub last_message_at: Micros,
    /// The current second of the rate limit, and the messages counted in it.
    second_began_at: Micros,
    messages_in_second: u32,
}

impl SubscriberConnection {
    pub fn new(name: String, now: Micros) -> Self {
        SubscriberConnection {
            name,
            watch: Watch::Off,
            snapshot: None,
            backlog: SendBacklog::new(now),
            is_watched: false,
            last_message_at: now,
            second_began_at: now,
            messages_in_second: 0,
        }
    }

    /// Counts a message; whether the subscriber is within its rate limit.
    pub fn count_message(&mut self, now: Micros, message: &SubscriberMessage) -> bool {
        self.last_message_at = now;
        if matches!(message, SubscriberMessage::FetchSnapshot { from: Some(_) }) {
            return true;
        }
        if now.saturating_sub(self.second_began_at) >= SECOND_US {
            self.second_began_at = now;
            self.messages_in_second = 0;
        }
        self.messages_in_second += 1;
        self.messages_in_second <= MAX_MESSAGES_PER_SECOND
    }

    /// The revision that this connection waits for the observer to apply.
    pub fn awaited_revision(&self) -> Option<Revision> {
        if let Watch::AwaitingRevision(revision) = self.watch {
            return Some(revision);
        }
        let cursor = self.snapshot.as_ref()?.from.as_ref()?;
        Some(cursor.revision)
    }
}
