//! Freshness polls: how often each observer is polled, and what happens when no answer arrives.
//!
//! The watched observer is polled every [`poll_interval`](super::SubscriberConfig::poll_interval),
//! the standby less often. A confirmation counts from the moment at which its poll was sent. When
//! the watched observer has not answered a poll for
//! [`poll_timeout`](super::SubscriberConfig::poll_timeout), the standby is polled as well, and
//! becomes the watched observer if it answers first. A connection whose polls stay unanswered
//! longer is closed.

use violetgate_raft::NodeId;
use violetgate_replicated_state::{Entries, Micros, Revision};

use super::Subscriber;
use crate::message::{PollId, SubscriberMessage, SubscriberProgress};
use crate::mutant::Mutant;

/// The number of poll intervals between two polls of the standby.
const POLL_INTERVALS_PER_STANDBY_POLL: u64 = 8;
/// The maximum of the answer timeout, which doubles with each connection closed for unanswered
/// polls.
const MAX_ANSWER_TIMEOUT_US: Micros = 30_000_000;
/// The maximum number of times that the answer timeout doubles, so that the shift can't overflow.
const MAX_TIMEOUT_DOUBLINGS: u32 = 16;

impl Subscriber {
    /// Polls an observer. If it confirms the poll, the age of the replica is measured from now.
    pub(super) fn poll(&mut self, observer: NodeId) {
        let serving = self.may_route(self.now).is_ok();
        let Some(connection) = self.connections.get_mut(&observer) else {
            return;
        };
        let confirmation = self.staleness_guard.begin_confirmation(self.now);
        self.last_poll += 1;
        connection.poll_sent(self.now, self.last_poll, confirmation);
        let progress = SubscriberProgress {
            applied: self.replica.revision(),
            serving,
        };
        let poll = self.last_poll;
        self.send(observer, SubscriberMessage::Poll { poll, progress });
    }

    /// Polls the watched observer now, and next after an interval.
    pub(super) fn poll_watched(&mut self, watched: NodeId) {
        self.poll(watched);
        self.next_poll_at = self.now.saturating_add(self.config.poll_interval);
    }

    /// Polls the standby now, and next after its longer interval.
    pub(super) fn poll_standby(&mut self, standby: NodeId) {
        self.poll(standby);
        let interval = self.config.poll_interval;
        let interval = interval.saturating_mul(POLL_INTERVALS_PER_STANDBY_POLL);
        self.next_standby_poll_at = self.now.saturating_add(interval);
    }

    /// Polls the watched observer and the standby if their polls are due.
    pub(super) fn send_due_polls(&mut self) {
        let now = self.now;
        if let Some(watched) = self.watched.filter(|_| now >= self.next_poll_at) {
            self.poll_watched(watched);
        }
        if let Some(standby) = self.standby.filter(|_| now >= self.next_standby_poll_at) {
            self.poll_standby(standby);
        }
    }

    /// Handles the confirmation of a poll. It counts as soon as its revision is applied here.
    pub(super) fn receive_confirmation(
        &mut self,
        observer: NodeId,
        poll: PollId,
        revision: Revision,
    ) {
        let Some(connection) = self.connections.get_mut(&observer) else {
            return;
        };
        if !std::mem::replace(&mut connection.has_answered, true) {
            self.attempt_backoff = self.config.backoff.initial;
        }
        if let Some(confirmation) = connection.poll_answered(poll) {
            self.staleness_guard
                .confirmation_answered(confirmation, revision);
            if self.mutated(Mutant::AgeFromConfirmation) {
                let late = self.staleness_guard.begin_confirmation(self.now);
                self.staleness_guard.confirmation_answered(late, revision);
            }
        }
        self.directory.record_answer(observer);
        self.closes_since_answer = 0;
        if self.standby == Some(observer) && self.is_watched_overdue() {
            self.watch(observer);
        }
    }

    /// Polls the standby if the watched observer has not answered in time, and closes connections
    /// whose answer timeout has passed.
    pub(super) fn check_answers(&mut self) {
        if let Some(standby) = self.standby {
            if self.is_overdue(standby, self.standby_answer_timeout()) {
                self.close_unanswered(standby);
            } else if self.is_watched_overdue() && self.unanswered_since(Some(standby)).is_none() {
                self.poll(standby);
            }
        }
        let timeout = self.watched_answer_timeout();
        if let Some(watched) = self.watched.filter(|id| self.is_overdue(*id, timeout)) {
            self.close_unanswered(watched);
        }
    }

    fn close_unanswered(&mut self, observer: NodeId) {
        self.closes_since_answer = self.closes_since_answer.saturating_add(1);
        self.close_connection(observer, None);
    }

    fn is_watched_overdue(&self) -> bool {
        let timeout = self.config.poll_timeout;
        let watched = self.watched;
        watched.is_some_and(|watched| self.is_overdue(watched, timeout))
    }

    fn is_overdue(&self, observer: NodeId, timeout: Micros) -> bool {
        let connection = self.connections.get(&observer);
        connection.is_some_and(|connection| connection.is_overdue(self.now, timeout))
    }

    /// Returns the time without an answer after which the standby's connection is closed.
    fn standby_answer_timeout(&self) -> Micros {
        self.answer_timeout(self.config.poll_timeout)
    }

    /// Returns the time without an answer after which the watched observer's connection is closed.
    fn watched_answer_timeout(&self) -> Micros {
        self.answer_timeout(self.config.drain_limit.saturating_mul(2))
    }

    /// Doubles a timeout for each connection that was closed for unanswered polls, up to a limit.
    /// If no observer can answer, changing the observer does not help.
    fn answer_timeout(&self, initial: Micros) -> Micros {
        let doublings = self.closes_since_answer.min(MAX_TIMEOUT_DOUBLINGS);
        let factor = 1_u64.checked_shl(doublings).unwrap_or(1);
        initial
            .saturating_mul(factor)
            .min(MAX_ANSWER_TIMEOUT_US.max(initial))
    }

    /// Returns when the next poll is due or the next answer becomes overdue.
    pub(super) fn next_poll_tick(&self) -> Micros {
        let mut next = Micros::MAX;
        if self.watched.is_some() {
            next = next.min(self.next_poll_at).min(self.next_answer_check());
        }
        if self.standby.is_some() {
            next = next.min(self.next_standby_poll_at);
        }
        next
    }

    fn next_answer_check(&self) -> Micros {
        let mut next = Micros::MAX;
        if let Some(since) = self.unanswered_since(self.watched) {
            next = next.min(since.saturating_add(self.watched_answer_timeout()));
            if self.standby.is_some() && self.unanswered_since(self.standby).is_none() {
                next = next.min(since.saturating_add(self.config.poll_timeout));
            }
        }
        if let Some(since) = self.unanswered_since(self.standby) {
            next = next.min(since.saturating_add(self.standby_answer_timeout()));
        }
        next
    }

    fn unanswered_since(&self, observer: Option<NodeId>) -> Option<Micros> {
        self.connections.get(&observer?)?.unanswered_since()
    }
}
