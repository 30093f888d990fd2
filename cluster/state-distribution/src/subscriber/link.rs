//! A connection to one observer, and the questions that it has not answered.

use std::collections::VecDeque;

use violetgate_replicated_state::Micros;

/// The most unanswered questions that are kept of one connection.
const MOST_QUESTIONS: usize = 16;

/// A question that was sent.
#[derive(Debug, Clone, Copy)]
struct Sent {
    question: u64,
    /// The gate's name of it; `None`: the gate waits for it no more.
    gate: Option<u64>,
    at: Micros,
}

/// A connection.
#[derive(Debug)]
pub(super) struct Link {
    /// The greeting was answered.
    pub open: bool,
    /// It has answered a question.
    pub proved: bool,
    /// When it was tried, or opened.
    pub since: Micros,
    /// When this observer was last asked for changes or for a snapshot.
    pub followed_at: Micros,
    questions: VecDeque<Sent>,
    unanswered_since: Option<Micros>,
}

impl Link {
    pub fn new(now: Micros) -> Self {
        let questions = VecDeque::new();
        Link {
            open: false,
            proved: false,
            since: now,
            followed_at: now,
            questions,
            unanswered_since: None,
        }
    }

    /// A question was sent.
    pub fn asked(&mut self, now: Micros, question: u64, gate: u64) {
        self.questions.push_back(Sent {
            question,
            gate: Some(gate),
            at: now,
        });
        self.unanswered_since = self.unanswered_since.or(Some(now));
        if self.questions.len() > MOST_QUESTIONS {
            self.questions.pop_front();
        }
    }

    /// A question was answered, and with it all before it: the gate's name of it.
    pub fn answered(&mut self, question: u64) -> Option<u64> {
        let place = self
            .questions
            .iter()
            .position(|sent| sent.question == question)?;
        let sent = self.questions.drain(..=place).next_back()?;
        self.unanswered_since = self.questions.front().map(|sent| sent.at);
        sent.gate
    }

    /// The gate has begun anew: answers to what was asked before count for nothing.
    pub fn forget_gate(&mut self) {
        for sent in &mut self.questions {
            sent.gate = None;
        }
    }

    /// This process stood still: what was unanswered meanwhile is not the observer's silence.
    pub fn excuse(&mut self, now: Micros) {
        if let Some(since) = &mut self.unanswered_since {
            *since = now;
        }
        if !self.open {
            self.since = now;
        }
    }

    /// Since when a question is not answered.
    pub fn unanswered_since(&self) -> Option<Micros> {
        self.unanswered_since
    }

    /// Whether a question has waited for this time.
    pub fn overdue(&self, now: Micros, within: Micros) -> bool {
        self.unanswered_since
            .is_some_and(|at| now.saturating_sub(at) >= within)
    }
}
