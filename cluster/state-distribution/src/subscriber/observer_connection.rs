//! A connection to one observer, and the polls that it has not answered.

use std::collections::VecDeque;

use violetgate_replicated_state::Micros;

use crate::message::PollId;

/// The most unanswered polls that are held of one connection; the oldest are dropped first.
const MAX_UNANSWERED_POLLS: usize = 16;

/// A poll that was sent.
#[derive(Debug, Clone, Copy)]
struct SentPoll {
    id: PollId,
    /// The confirmation that the answer completes at the staleness guard; `None`: the guard was
    /// replaced since.
    confirmation: Option<u64>,
    sent_at: Micros,
}

/// A connection, or an attempt at one.
#[derive(Debug)]
pub(super) struct ObserverConnection {
    /// The observer has accepted the greeting.
    pub is_open: bool,
    /// The observer has answered a poll.
    pub has_answered: bool,
    /// When the attempt began, or the connection opened.
    pub state_since: Micros,
    /// When changes or a snapshot were last requested on it.
    pub requested_at: Micros,
    unanswered: VecDeque<SentPoll>,
    unanswered_since: Option<Micros>,
}

impl ObserverConnection {
    /// An attempt that begins now.
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

    /// The greeting was accepted.
    pub fn opened(&mut self, now: Micros) {
        self.is_open = true;
        self.state_since = now;
    }

    /// A poll was sent.
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

    /// A poll was answered, and with it all before it. Returns the confirmation that it completes.
    pub fn poll_answered(&mut self, id: PollId) -> Option<u64> {
        let position = self.unanswered.iter().position(|sent| sent.id == id)?;
        let answered = self.unanswered.drain(..=position).next_back()?;
        self.unanswered_since = self.unanswered.front().map(|sent| sent.sent_at);
        answered.confirmation
    }

    /// The staleness guard was replaced: answers to polls sent before confirm nothing.
    pub fn forget_confirmations(&mut self) {
        for sent in &mut self.unanswered {
            sent.confirmation = None;
        }
    }

    /// This process was suspended: the observer is not to blame for what stayed unanswered
    /// meanwhile.
    pub fn restart_timeouts(&mut self, now: Micros) {
        if let Some(since) = &mut self.unanswered_since {
            *since = now;
        }
        if !self.is_open {
            self.state_since = now;
        }
    }

    /// Since when a poll is unanswered.
    pub fn unanswered_since(&self) -> Option<Micros> {
        self.unanswered_since
    }

    /// Whether a poll has been unanswered for at least this many microseconds.
    pub fn is_overdue(&self, now: Micros, timeout: Micros) -> bool {
        self.unanswered_since
            .is_some_and(|since| now.saturating_sub(since) >= timeout)
    }
}
