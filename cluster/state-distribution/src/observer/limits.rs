//! What an observer does as time passes: it begins reads, tells of its load, and ends what takes too long.

use violetgate_replicated_state::{Micros, Store};

use super::{ConnectionId, Observer};
use crate::message::{FromObserver, Refusal};

/// How often all connections are looked at.
pub(super) const CHECK_EVERY: Micros = 1_000_000;
/// A subscriber for which more than the bound waits is closed once it has taken nothing for this time.
const TAKES_WITHIN: Micros = 10_000_000;
/// A subscriber that has said nothing for this time is gone, though its connection has not ended.
const SPEAKS_WITHIN: Micros = 30_000_000;

impl Observer {
    /// Time has passed.
    pub fn tick(&mut self, now: Micros, store: &Store) {
        self.now = now;
        self.follow(store);
        if now >= self.check_at {
            self.check_at = now.saturating_add(CHECK_EVERY);
            self.close_stalled();
            self.progress.expire(now);
            self.snapshots.release_idle(now);
            self.admit_snapshots(store);
            self.send_places();
        }
        if now >= self.load_at {
            self.load_at = now.saturating_add(self.config.load_every);
            self.send_load();
        }
        self.begin_read();
    }

    /// When it wants to be told the time again.
    #[must_use]
    pub fn next_tick(&self) -> Micros {
        self.questions
            .next_tick()
            .min(self.check_at)
            .min(self.load_at)
    }

    fn close_stalled(&mut self) {
        let bound = self.config.queue_bytes;
        let mut ended: Vec<(ConnectionId, Refusal)> = Vec::new();
        for (id, connection) in &self.connections {
            if connection.queue.stalled(self.now, bound, TAKES_WITHIN) {
                ended.push((
                    *id,
                    Refusal::TooSlow {
                        queued: connection.queue.bytes as u64,
                    },
                ));
            } else if self.now.saturating_sub(connection.heard_at) >= SPEAKS_WITHIN {
                ended.push((
                    *id,
                    Refusal::Protocol {
                        what: "nothing said for 30 s".to_owned(),
                    },
                ));
            }
        }
        for (id, refusal) in ended {
            self.close(id, refusal);
        }
    }

    fn send_places(&mut self) {
        for (id, place) in self.snapshots.places_to_send() {
            self.send(id, FromObserver::SnapshotQueued { place }, 0);
        }
    }

    fn send_load(&mut self) {
        let (subscribers, capacity) = (self.subscribers(), self.config.capacity);
        let all: Vec<ConnectionId> = self.connections.keys().copied().collect();
        for id in all {
            self.send(
                id,
                FromObserver::Load {
                    subscribers,
                    capacity,
                },
                0,
            );
        }
    }
}
