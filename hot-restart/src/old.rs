//! The process that hands over.

use crate::{Action, Message, Micros, Refusal, PATIENCE, VERSIONS};

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Step {
    /// Nobody has come.
    Alone,
    /// Sockets are passed, and parts up to this one are said.
    Passing { parts: u32, until: Micros },
    /// All is the other's.
    Given,
    /// It ends, and hands nothing over.
    Leaving,
}

/// The old process's end. It takes clients and keys until it has said that all is the other's, and again once the other
/// is surely gone.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Old {
    step: Step,
    out: Vec<Action>,
}

impl Default for Old {
    fn default() -> Self {
        Self::new()
    }
}

impl Old {
    /// One that serves, and to which nobody has come.
    #[must_use]
    pub fn new() -> Self {
        Old {
            step: Step::Alone,
            out: Vec::new(),
        }
    }

    /// What is to be done.
    pub fn actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.out)
    }

    /// Whether all is the other's: what is here is answered, and nothing new is taken.
    #[must_use]
    pub fn has_given(&self) -> bool {
        self.step == Step::Given
    }

    /// When it wants to be told the time.
    #[must_use]
    pub fn next_tick(&self) -> Option<Micros> {
        match self.step {
            Step::Passing { until, .. } => Some(until),
            _ => None,
        }
    }

    /// Whether another conversation may begin; if not, why. One that is refused changes nothing.
    ///
    /// # Errors
    ///
    /// Another process is being handed to, or this one leaves.
    pub fn may_begin(&self) -> Result<(), Refusal> {
        match self.step {
            Step::Alone => Ok(()),
            Step::Passing { .. } | Step::Given => Err(Refusal::Taken),
            Step::Leaving => Err(Refusal::Leaving),
        }
    }

    /// The other says something. `parts` is how many the state has now.
    pub fn hear(&mut self, message: &Message, parts: u32, now: Micros) {
        let until = now.saturating_add(PATIENCE);
        match (self.step, message) {
            (Step::Alone, Message::Hello { least, most }) => {
                let version = VERSIONS.1.min(*most);
                if version < VERSIONS.0.max(*least) {
                    self.out
                        .push(Action::Say(Message::Refuse(Refusal::Version)));
                    self.out.push(Action::HangUp);
                    return;
                }
                self.step = Step::Passing { parts, until };
                self.out
                    .push(Action::Pass(Message::Offer { version, parts }));
            }
            (Step::Leaving, Message::Hello { .. }) => {
                self.out
                    .push(Action::Say(Message::Refuse(Refusal::Leaving)));
                self.out.push(Action::HangUp);
            }
            (Step::Passing { parts, .. }, Message::Holds(next)) if *next <= parts => {
                self.step = Step::Passing { parts, until };
                if *next < parts {
                    self.out.push(Action::SayPart(*next));
                }
            }
            (Step::Passing { .. }, Message::Ready) => {
                self.step = Step::Given;
                // Nothing may be taken between the making of the last word and the end of taking.
                self.out
                    .extend([Action::Keys(false), Action::Accept(false), Action::SayYours]);
            }
            (Step::Given, _) => {}
            // What makes no sense here can't be trusted further.
            _ => self.give_up(),
        }
    }

    /// Something that was under way when all was given has ended; what the other has to know of it.
    pub fn ended(&mut self, bytes: Vec<u8>) {
        if self.step == Step::Given {
            self.out.push(Action::Say(Message::Ended(bytes)));
        }
    }

    /// Nothing is left here.
    pub fn done(&mut self) {
        if self.step == Step::Given {
            self.out.push(Action::Say(Message::Done));
        }
    }

    /// The conversation is over without a last word: the other process has died, as it holds it for as long as it lives.
    pub fn lost(&mut self) {
        let given = self.step == Step::Given;
        if self.step != Step::Leaving {
            self.step = Step::Alone;
        }
        if given {
            self.out.extend([Action::Keys(true), Action::Accept(true)]);
        }
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Micros) {
        if self.next_tick().is_some_and(|at| at <= now) {
            self.give_up();
        }
    }

    /// It is told to end. What is being passed is given up: the other one falls back to a port of its own.
    pub fn leave(&mut self) {
        match self.step {
            Step::Given => {}
            Step::Passing { .. } => {
                self.give_up();
                self.step = Step::Leaving;
            }
            Step::Alone | Step::Leaving => self.step = Step::Leaving,
        }
    }

    fn give_up(&mut self) {
        if matches!(self.step, Step::Passing { .. }) {
            self.step = Step::Alone;
            self.out.push(Action::HangUp);
        }
    }
}
