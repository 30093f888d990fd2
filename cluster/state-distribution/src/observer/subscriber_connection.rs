//! The state that an observer holds for one connected subscriber.

use violetgate_replicated_state::{Micros, Revision};

use super::send_backlog::SendBacklog;
use crate::message::{SnapshotCursor, SubscriberMessage};

/// The maximum number of messages that a subscriber may send in a second, not counting requests to
/// continue a snapshot.
pub(super) const MAX_MESSAGES_PER_SECOND: u32 = 100;
const SECOND_US: Micros = 1_000_000;

/// The state of a subscriber's watch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Watch {
    /// The subscriber does not watch.
    Off,
    /// The subscriber was sent all changes that this observer has.
    Current,
    /// The subscriber was sent all changes up to this revision, and may lack later ones.
    Behind(Revision),
    /// The subscriber holds this revision, which this observer has not applied yet.
    AwaitingRevision(Revision),
}

/// A request for a snapshot chunk that is not answered yet.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct SnapshotRequest {
    pub from: Option<SnapshotCursor>,
}

/// The connection of one subscriber.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct SubscriberConnection {
    pub name: String,
    pub watch: Watch,
    pub snapshot: Option<SnapshotRequest>,
    pub backlog: SendBacklog,
    /// Whether the subscriber watches this observer, rather than holding it as its standby. Only
    /// the progress of a subscriber that watches counts here.
    pub is_watched: bool,
    pub last_message_at: Micros,
    /// When the current second of the rate limit began.
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

    /// Counts a message, and returns whether the subscriber is within its rate limit.
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

    /// Returns the revision that the observer has to apply before it can serve this connection.
    pub fn awaited_revision(&self) -> Option<Revision> {
        if let Watch::AwaitingRevision(revision) = self.watch {
            return Some(revision);
        }
        let cursor = self.snapshot.as_ref()?.from.as_ref()?;
        Some(cursor.revision)
    }
}
