//! The running process, which hands over.

use crate::message::{Message, Refusal, VersionRange, SUPPORTED_VERSIONS};
use crate::{Action, Micros, STEP_TIMEOUT_US};

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Phase {
    /// No successor has called.
    Serving,
    /// The sockets are passed, and state parts are being sent.
    Transferring { part_count: u32, deadline: Micros },
    /// The successor owns clients and keys.
    HandedOver,
    /// The process is ending and hands nothing over.
    ShuttingDown,
}

/// The predecessor's end of a handover.
///
/// It accepts clients and keys until it has transferred ownership, and again once the successor is
/// known to be dead.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Predecessor {
    phase: Phase,
    pending_actions: Vec<Action>,
}

impl Default for Predecessor {
    fn default() -> Self {
        Self::new()
    }
}

impl Predecessor {
    /// A serving process without a successor.
    #[must_use]
    pub fn new() -> Self {
        Predecessor {
            phase: Phase::Serving,
            pending_actions: Vec::new(),
        }
    }

    /// Returns what has to be done since the last call, in order.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.pending_actions)
    }

    /// Whether the successor owns clients and keys; requests in flight are still answered here.
    #[must_use]
    pub fn has_handed_over(&self) -> bool {
        self.phase == Phase::HandedOver
    }

    /// When [`Predecessor::handle_timeout`] has to be called, if it has to be.
    #[must_use]
    pub fn next_timeout(&self) -> Option<Micros> {
        match self.phase {
            Phase::Transferring { deadline, .. } => Some(deadline),
            Phase::Serving | Phase::HandedOver | Phase::ShuttingDown => None,
        }
    }

    /// Checks whether a handover may begin. A refused one changes nothing.
    ///
    /// # Errors
    ///
    /// [`Refusal::HandoverInProgress`] while another successor has one, [`Refusal::ShuttingDown`]
    /// at the end.
    pub fn check_available(&self) -> Result<(), Refusal> {
        match self.phase {
            Phase::Serving => Ok(()),
            Phase::Transferring { .. } | Phase::HandedOver => Err(Refusal::HandoverInProgress),
            Phase::ShuttingDown => Err(Refusal::ShuttingDown),
        }
    }

    /// Handles a message of the successor; `part_count` is how many parts the state has now.
    pub fn handle_message(&mut self, message: &Message, part_count: u32, now: Micros) {
        let deadline = now.saturating_add(STEP_TIMEOUT_US);
        match (self.phase, message) {
            (
                Phase::Serving,
                Message::Hello {
                    min_version,
                    max_version,
                },
            ) => {
                let theirs = VersionRange {
                    min: *min_version,
                    max: *max_version,
                };
                self.offer(theirs, part_count, deadline);
            }
            (Phase::ShuttingDown, Message::Hello { .. }) => self.refuse(Refusal::ShuttingDown),
            (Phase::Transferring { part_count, .. }, Message::PartsReceived { next })
                if *next <= part_count =>
            {
                self.phase = Phase::Transferring {
                    part_count,
                    deadline,
                };
                if *next < part_count {
                    self.pending_actions.push(Action::SendPart(*next));
                }
            }
            (Phase::Transferring { .. }, Message::Ready) => self.hand_over(),
            (Phase::HandedOver, _) => {}
            // A successor that sends anything else can't be trusted with the port.
            _ => self.abort_transfer(),
        }
    }

    fn offer(&mut self, theirs: VersionRange, part_count: u32, deadline: Micros) {
        let Some(version) = SUPPORTED_VERSIONS.newest_common(theirs) else {
            return self.refuse(Refusal::NoCommonVersion);
        };
        self.phase = Phase::Transferring {
            part_count,
            deadline,
        };
        let offer = Message::Offer {
            version,
            part_count,
        };
        self.pending_actions.push(Action::SendWithSockets(offer));
    }

    fn refuse(&mut self, refusal: Refusal) {
        let refuse = Action::Send(Message::Refuse(refusal));
        self.pending_actions.extend([refuse, Action::Disconnect]);
    }

    /// Nothing may be accepted between the making of the last state and the end of accepting.
    fn hand_over(&mut self) {
        self.phase = Phase::HandedOver;
        self.pending_actions.extend([
            Action::StopAcceptingKeys,
            Action::StopAcceptingClients,
            Action::SendOwnership,
        ]);
    }

    /// A request that was in flight at the transfer has completed; `bytes` is what the successor
    /// has to know of it.
    pub fn report_completion(&mut self, bytes: Vec<u8>) {
        if self.phase == Phase::HandedOver {
            let completed = Message::InFlightCompleted(bytes);
            self.pending_actions.push(Action::Send(completed));
        }
    }

    /// No request is in flight any more.
    pub fn report_drained(&mut self) {
        if self.phase == Phase::HandedOver {
            self.pending_actions.push(Action::Send(Message::Drained));
        }
    }

    /// The connection has closed. A successor holds it open for as long as it lives, so it has
    /// died.
    pub fn handle_disconnect(&mut self) {
        let had_handed_over = self.phase == Phase::HandedOver;
        if self.phase != Phase::ShuttingDown {
            self.phase = Phase::Serving;
        }
        if had_handed_over {
            self.pending_actions
                .extend([Action::StartAcceptingKeys, Action::StartAcceptingClients]);
        }
    }

    /// Gives the transfer up if its deadline has passed.
    pub fn handle_timeout(&mut self, now: Micros) {
        if self.next_timeout().is_some_and(|deadline| deadline <= now) {
            self.abort_transfer();
        }
    }

    /// The process is to end. A transfer under way is given up: the successor falls back to a
    /// socket of its own.
    pub fn shut_down(&mut self) {
        if self.phase == Phase::HandedOver {
            return;
        }
        self.abort_transfer();
        self.phase = Phase::ShuttingDown;
    }

    fn abort_transfer(&mut self) {
        if matches!(self.phase, Phase::Transferring { .. }) {
            self.phase = Phase::Serving;
            self.pending_actions.push(Action::Disconnect);
        }
    }
}
