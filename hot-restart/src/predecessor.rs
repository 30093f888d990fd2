//! The predecessor: the running process, which hands over its sockets and state to the successor.

use crate::message::{Message, Refusal, VersionRange, SUPPORTED_VERSIONS};
use crate::{Action, Micros, STEP_TIMEOUT_US};

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Phase {
    /// The process serves clients, and no handover is under way.
    Serving,
    /// The sockets have been passed, and state parts are being sent.
    Transferring { part_count: u32, deadline: Micros },
    /// The successor owns clients and keys.
    HandedOver,
    /// The process is shutting down and refuses handovers.
    ShuttingDown,
}

/// State machine of the predecessor's end of a handover.
///
/// The predecessor accepts clients and keys until it transfers ownership. It accepts them again if
/// the successor dies afterwards.
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
    /// Creates the state machine of a process that serves clients and has no successor.
    #[must_use]
    pub fn new() -> Self {
        Predecessor {
            phase: Phase::Serving,
            pending_actions: Vec::new(),
        }
    }

    /// Returns the actions added since the last call, in the order in which they must be carried
    /// out.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.pending_actions)
    }

    /// Returns whether the successor owns clients and keys. This process still answers the requests
    /// that were in flight at the transfer of ownership.
    #[must_use]
    pub fn has_handed_over(&self) -> bool {
        self.phase == Phase::HandedOver
    }

    /// Returns the time at which [`Predecessor::handle_timeout`] must be called, or `None` if no
    /// timeout is pending.
    #[must_use]
    pub fn next_timeout(&self) -> Option<Micros> {
        match self.phase {
            Phase::Transferring { deadline, .. } => Some(deadline),
            Phase::Serving | Phase::HandedOver | Phase::ShuttingDown => None,
        }
    }

    /// Checks whether a handover can begin now, without changing any state.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal::HandoverInProgress`] while a handover to another successor is under way
    /// or complete, and [`Refusal::ShuttingDown`] after [`Predecessor::shut_down`].
    pub fn check_available(&self) -> Result<(), Refusal> {
        match self.phase {
            Phase::Serving => Ok(()),
            Phase::Transferring { .. } | Phase::HandedOver => Err(Refusal::HandoverInProgress),
            Phase::ShuttingDown => Err(Refusal::ShuttingDown),
        }
    }

    /// Handles a message from the successor. `part_count` is the current number of state parts.
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
            // A successor that violates the protocol must not get ownership of the clients' port.
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

    /// Transfers ownership. Accepting stops first, because the successor would not learn of
    /// anything accepted after the last changes to the state have been collected.
    fn hand_over(&mut self) {
        self.phase = Phase::HandedOver;
        self.pending_actions.extend([
            Action::StopAcceptingKeys,
            Action::StopAcceptingClients,
            Action::SendOwnership,
        ]);
    }

    /// Reports to the successor that a request that was in flight at the transfer of ownership has
    /// completed. `bytes` is the encoded change to the state.
    pub fn report_completion(&mut self, bytes: Vec<u8>) {
        if self.phase == Phase::HandedOver {
            let completed = Message::InFlightCompleted(bytes);
            self.pending_actions.push(Action::Send(completed));
        }
    }

    /// Reports to the successor that this process has no requests in flight any more.
    pub fn report_drained(&mut self) {
        if self.phase == Phase::HandedOver {
            self.pending_actions.push(Action::Send(Message::Drained));
        }
    }

    /// Handles the end of the connection. A successor that owns clients and keys keeps the
    /// connection open for as long as it lives, so it is dead and this process accepts both again.
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

    /// Aborts the transfer if its deadline has passed.
    pub fn handle_timeout(&mut self, now: Micros) {
        if self.next_timeout().is_some_and(|deadline| deadline <= now) {
            self.abort_transfer();
        }
    }

    /// Prepares for shutdown. A transfer under way is aborted, and the successor then listens on a
    /// socket of its own. Has no effect after a completed handover.
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
