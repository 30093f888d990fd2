//! The process that takes over.

use crate::{Action, Message, Micros, LONGEST, PATIENCE, VERSIONS};

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Step {
    /// It has asked.
    Asked { until: Micros },
    /// It holds the sockets and the parts before this one.
    Holding {
        next: u32,
        parts: u32,
        until: Micros,
    },
    /// It is ready, and waits for the word that all is its own.
    Ready { until: Micros },
    /// All is its own; the old one may still tell of what ends there.
    Owner,
    /// It listens beside the old one, which goes on as it was: keys are that one's until it is gone.
    Beside,
}

/// The new process's end. It takes clients once all is its own, or beside the old one where the hand-over comes to
/// nothing; it takes keys once they are its own, or the old process is gone.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct New {
    step: Step,
    out: Vec<Action>,
}

impl New {
    /// One that has found an old process to talk to.
    #[must_use]
    pub fn ask(now: Micros) -> Self {
        let hello = Message::Hello {
            least: VERSIONS.0,
            most: VERSIONS.1,
        };
        New {
            step: Step::Asked {
                until: now.saturating_add(PATIENCE),
            },
            out: vec![Action::Say(hello)],
        }
    }

    /// What is to be done.
    pub fn actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.out)
    }

    /// Whether all is its own.
    #[must_use]
    pub fn is_owner(&self) -> bool {
        self.step == Step::Owner
    }

    /// When it wants to be told the time.
    #[must_use]
    pub fn next_tick(&self) -> Option<Micros> {
        match self.step {
            Step::Asked { until } | Step::Holding { until, .. } | Step::Ready { until } => {
                Some(until)
            }
            Step::Owner | Step::Beside => None,
        }
    }

    /// The other says something.
    pub fn hear(&mut self, message: Message, now: Micros) {
        let until = now.saturating_add(PATIENCE);
        match (self.step, message) {
            (Step::Asked { .. }, Message::Offer { version, parts })
                if (VERSIONS.0..=VERSIONS.1).contains(&version) =>
            {
                self.out.push(Action::Hold);
                self.hold(0, parts, until);
            }
            (Step::Holding { next, parts, .. }, Message::Part { number, bytes })
                if number == next && next < parts && bytes.len() <= LONGEST =>
            {
                self.out.push(Action::Adopt(number, bytes));
                self.hold(next + 1, parts, until);
            }
            (Step::Ready { .. }, Message::Yours(bytes)) => {
                self.step = Step::Owner;
                self.out.extend([
                    Action::AdoptLast(bytes),
                    Action::Keys(true),
                    Action::Accept(true),
                ]);
            }
            (Step::Owner, Message::Ended(bytes)) => self.out.push(Action::AdoptLast(bytes)),
            (Step::Owner | Step::Beside, _) => {}
            // A refusal, or what makes no sense here.
            _ => self.beside(),
        }
    }

    fn hold(&mut self, next: u32, parts: u32, until: Micros) {
        self.out.push(Action::Say(Message::Holds(next)));
        self.step = if next < parts {
            Step::Holding { next, parts, until }
        } else {
            self.out.push(Action::Say(Message::Ready));
            Step::Ready { until }
        };
    }

    /// The conversation is over without a last word: the old process has hung up, or died.
    pub fn lost(&mut self) {
        match self.step {
            // It is the owner, and was told all that it will be told.
            Step::Owner | Step::Beside => {}
            // Whether the last word was on its way is not known: whoever was to say it is gone, or goes on as it was.
            Step::Asked { .. } | Step::Holding { .. } | Step::Ready { .. } => self.beside(),
        }
    }

    /// The old process is gone: its mark is.
    pub fn gone(&mut self) {
        if self.step == Step::Beside {
            self.step = Step::Owner;
            self.out.push(Action::Keys(true));
        }
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Micros) {
        if self.next_tick().is_none_or(|at| at > now) {
            return;
        }
        match self.step {
            // The last word may be under way, and with it all would be its own: it can't be turned down, only waited
            // for. The old one hangs up, or dies, or says it.
            Step::Ready { .. } => {
                self.step = Step::Ready {
                    until: now.saturating_add(PATIENCE),
                }
            }
            _ => {
                self.out.push(Action::HangUp);
                self.beside();
            }
        }
    }

    fn beside(&mut self) {
        self.step = Step::Beside;
        self.out
            .extend([Action::ListenBeside, Action::Accept(true)]);
    }
}
