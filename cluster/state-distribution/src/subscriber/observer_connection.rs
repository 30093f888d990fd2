//! A connection to one observer, and the polls that the observer has not answered.

use std::collections::VecDeque;

use violetgate_replicated_state::Micros;

use crate::message::PollId;

/// The maximum number of unanswered polls held per connection; the oldest are dropped first.
const MAX_UNANSWERED_POLLS: usize = 16;

/// A poll that was sent.
#[derive(Debug, Clone, Copy)]
struct SentPoll {
    id: PollId,
    /// The staleness guard's id of the confirmation that the answer completes; `None` if an
    /// installed snapshot has replaced the guard since then.
    confirmation: Option<u64>,
    sent_at: Micros,
}

/// A connection to an observer, or an attempt to connect.
#[derive(Debug)]
pub(super) struct ObserverConnection {
    /// Whether the observer has accepted the greeting.
    pub is_open: bool,
    /// Whether the observer has answered a poll on this connection.
    pub has_answered: bool,
    /// When the attempt began, or when the connection opened if it is open.
    pub state_since: Micros,
    /// When changes or a snapshot were last requested on this connection.
    pub requested_at: Micros,
    unanswered: VecDeque<SentPoll>,
    unanswered_since: Option<Micros>,
}

impl ObserverConnection {
    /// Creates an attempt that begins at `now`.
    pub fn new(now: Micros) -> Self {
        ObserverConnection {
            is_open: false,
            has_answered: false,
            state_since: now,
            requested_at: now,
            unanswered: VecDeque::new(),
            unanswered_since: None,
        }
    }

    /// Records that the observer has accepted the greeting.
    pub fn opened(&mut self, now: Micros) {
        self.is_open = true;
        self.state_since = now;
    }

    /// Records a poll that was sent.
    pub fn poll_sent(&mut self, now: Micros, id: PollId, confirmation: u64) {
        self.unanswered.push_back(SentPoll {
            id,
            confirmation: Some(confirmation),
            sent_at: now,
        });
        self.unanswered_since = self.unanswered_since.or(Some(now));
        if self.unanswered.len() > MAX_UNANSWERED_POLLS {
            self.unanswered.pop_front();
        }
    }

    /// Records the answer to a poll, which also answers all earlier polls. Returns the confirmation
    /// that the answer completes.
    pub fn poll_answered(&mut self, id: PollId) -> Option<u64> {
        let position = self.unanswered.iter().position(|sent| sent.id == id)?;
        let answered = self.unanswered.drain(..=position).next_back()?;
        self.unanswered_since = self.unanswered.front().map(|sent| sent.sent_at);
        answered.confirmation
    }

    /// Drops the pending confirmations after the staleness guard was replaced: answers to earlier
    /// polls confirm nothing.
    pub fn forget_confirmations(&mut self) {
        for sent in &mut self.unanswered {
            sent.confirmation = None;
        }
    }

    /// Restarts the timeouts after this process was suspended: polls that stayed unanswered
    /// meanwhile say nothing about the observer.
    pub fn restart_timeouts(&mut self, now: Micros) {
        if let Some(since) = &mut self.unanswered_since {
            *since = now;
        }
        if !self.is_open {
            self.state_since = now;
        }
    }

    /// Returns since when a poll has been unanswered, or `None` if all are answered.
    pub fn unanswered_since(&self) -> Option<Micros> {
        self.unanswered_since
    }

    /// Returns whether a poll has been unanswered for at least `timeout` microseconds.
    pub fn is_overdue(&self, now: Micros, timeout: Micros) -> bool {
        self.unanswered_since
            .is_some_and(|since| now.saturating_sub(since) >= timeout)
    }
}
