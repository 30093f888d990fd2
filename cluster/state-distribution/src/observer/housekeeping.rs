//! Periodic work of an observer: it closes connections that are stalled or silent, reports its load
//! to subscribers, and begins linearizable reads.

use violetgate_replicated_state::{Micros, Store};

use super::subscriber_connection::SubscriberConnection;
use super::{ConnectionId, Observer};
use crate::message::ObserverMessage;
use crate::rejection::Rejection;

/// How often all connections are checked.
pub(super) const CHECK_INTERVAL_US: Micros = 1_000_000;
/// A subscriber whose send queue is over its bound and that has read nothing for this time is
/// disconnected.
const STALL_TIMEOUT_US: Micros = 10_000_000;
/// A subscriber that has sent no message for this time is considered dead and is disconnected, even
/// if its connection has not ended.
const SILENCE_TIMEOUT_US: Micros = 30_000_000;
const SECOND_US: Micros = 1_000_000;

impl Observer {
    /// Performs the periodic work that is due at `now`.
    pub fn tick(&mut self, now: Micros, store: &Store) {
        self.now = now;
        self.send_new_changes(store);
        if now >= self.next_check_at {
            self.next_check_at = now.saturating_add(CHECK_INTERVAL_US);
            self.close_unresponsive();
            self.progress.expire(now);
            self.snapshots.release_idle(now);
            self.admit_snapshots(store);
            self.send_queue_positions();
        }
        if now >= self.next_load_report_at {
            self.next_load_report_at = now.saturating_add(self.config.load_report_interval);
            self.send_load_reports();
        }
        self.begin_read();
    }

    /// Returns when [`Observer::tick`] has to be called next.
    #[must_use]
    pub fn next_tick(&self) -> Micros {
        self.polls
            .next_tick()
            .min(self.next_check_at)
            .min(self.next_load_report_at)
    }

    fn close_unresponsive(&mut self) {
        let unresponsive: Vec<(ConnectionId, Rejection)> = self
            .connections
            .iter()
            .filter_map(|(id, connection)| Some((*id, self.unresponsive(connection)?)))
            .collect();
        for (id, rejection) in unresponsive {
            self.close(id, rejection);
        }
    }

    fn unresponsive(&self, connection: &SubscriberConnection) -> Option<Rejection> {
        let backlog = &connection.backlog;
        if backlog.is_stalled(self.now, self.config.send_queue_bytes, STALL_TIMEOUT_US) {
            let queued_bytes = backlog.bytes() as u64;
            return Some(Rejection::TooSlow { queued_bytes });
        }
        let silent_for = self.now.saturating_sub(connection.last_message_at);
        (silent_for >= SILENCE_TIMEOUT_US).then(|| Rejection::ProtocolViolation {
            detail: format!("nothing said for {} s", SILENCE_TIMEOUT_US / SECOND_US),
        })
    }

    fn send_queue_positions(&mut self) {
        for update in self.snapshots.position_updates() {
            let position = update.position;
            let message = ObserverMessage::SnapshotQueued { position };
            self.send(update.connection, message, 0);
        }
    }

    fn send_load_reports(&mut self) {
        let report = ObserverMessage::LoadReport {
            subscribers: self.subscriber_count(),
            capacity: self.config.capacity,
        };
        let connections: Vec<ConnectionId> = self.connections.keys().copied().collect();
        for id in connections {
            self.send(id, report.clone(), 0);
        }
    }
}
