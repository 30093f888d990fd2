//! The successor: the new process, which takes over the predecessor's sockets and state.

use crate::message::{Message, MAX_PART_BYTES, SUPPORTED_VERSIONS};
use crate::{Action, Micros, STEP_TIMEOUT_US};

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Phase {
    /// A handover has been requested, and the predecessor has not answered yet.
    Requested { deadline: Micros },
    /// The sockets and all state parts before `next` have arrived.
    Receiving {
        next: u32,
        part_count: u32,
        deadline: Micros,
    },
    /// All parts have arrived, and the successor waits for the transfer of ownership.
    Ready { deadline: Micros },
    /// The successor owns clients and keys: it accepts clients and requests with idempotency keys.
    /// The predecessor may still report the completion of requests that were in flight at the
    /// transfer.
    Owner,
    /// The successor serves clients on its own socket. The predecessor owns the keys until its
    /// process exits.
    BesidePredecessor,
}

/// State machine of the successor's end of a handover.
///
/// The successor accepts clients once it owns them, or on its own socket if the handover fails. It
/// accepts keys once it owns them, or once the predecessor's process has exited.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Successor {
    phase: Phase,
    pending_actions: Vec<Action>,
}

impl Successor {
    /// Creates the state machine, with the request for a handover as its first action.
    #[must_use]
    pub fn start(now: Micros) -> Self {
        let hello = Message::Hello {
            min_version: SUPPORTED_VERSIONS.min,
            max_version: SUPPORTED_VERSIONS.max,
        };
        let deadline = now.saturating_add(STEP_TIMEOUT_US);
        Successor {
            phase: Phase::Requested { deadline },
            pending_actions: vec![Action::Send(hello)],
        }
    }

    /// Returns the actions added since the last call, in the order in which they must be carried
    /// out.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.pending_actions)
    }

    /// Returns whether the successor owns clients and keys.
    #[must_use]
    pub fn is_owner(&self) -> bool {
        self.phase == Phase::Owner
    }

    /// Returns the time at which [`Successor::handle_timeout`] must be called, or `None` if no
    /// timeout is pending.
    #[must_use]
    pub fn next_timeout(&self) -> Option<Micros> {
        match self.phase {
            Phase::Requested { deadline }
            | Phase::Receiving { deadline, .. }
            | Phase::Ready { deadline } => Some(deadline),
            Phase::Owner | Phase::BesidePredecessor => None,
        }
    }

    /// Handles a message from the predecessor.
    pub fn handle_message(&mut self, message: Message, now: Micros) {
        let deadline = now.saturating_add(STEP_TIMEOUT_US);
        match (self.phase, message) {
            (
                Phase::Requested { .. },
                Message::Offer {
                    version,
                    part_count,
                },
            ) if SUPPORTED_VERSIONS.contains(version) => {
                self.pending_actions.push(Action::KeepSockets);
                self.confirm_parts(0, part_count, deadline);
            }
            (
                Phase::Receiving {
                    next, part_count, ..
                },
                Message::StatePart { number, bytes },
            ) if number == next && next < part_count && bytes.len() <= MAX_PART_BYTES => {
                self.pending_actions
                    .push(Action::AdoptPart { number, bytes });
                self.confirm_parts(next + 1, part_count, deadline);
            }
            (Phase::Ready { .. }, Message::TransferOwnership(bytes)) => self.become_owner(bytes),
            (Phase::Owner, Message::InFlightCompleted(bytes)) => {
                self.pending_actions.push(Action::AdoptChanges(bytes));
            }
            (Phase::Owner | Phase::BesidePredecessor, _) => {}
            // The predecessor has refused the handover or violated the protocol.
            _ => self.serve_beside_predecessor(),
        }
    }

    fn confirm_parts(&mut self, next: u32, part_count: u32, deadline: Micros) {
        let received = Message::PartsReceived { next };
        self.pending_actions.push(Action::Send(received));
        self.phase = if next < part_count {
            Phase::Receiving {
                next,
                part_count,
                deadline,
            }
        } else {
            self.pending_actions.push(Action::Send(Message::Ready));
            Phase::Ready { deadline }
        };
    }

    fn become_owner(&mut self, changes: Vec<u8>) {
        self.phase = Phase::Owner;
        self.pending_actions.extend([
            Action::AdoptChanges(changes),
            Action::StartAcceptingKeys,
            Action::StartAcceptingClients,
        ]);
    }

    /// Handles the end of the connection: the predecessor has closed it or died.
    pub fn handle_disconnect(&mut self) {
        match self.phase {
            Phase::Owner | Phase::BesidePredecessor => {}
            // A transfer of ownership may have been lost. That is safe: the predecessor either is
            // dead or has resumed serving, and keys are accepted here only after it has exited.
            Phase::Requested { .. } | Phase::Receiving { .. } | Phase::Ready { .. } => {
                self.serve_beside_predecessor();
            }
        }
    }

    /// Handles the exit of the predecessor's process. If the handover failed, the successor becomes
    /// the owner and accepts keys from now on.
    pub fn handle_predecessor_exit(&mut self) {
        if self.phase == Phase::BesidePredecessor {
            self.phase = Phase::Owner;
            self.pending_actions.push(Action::StartAcceptingKeys);
        }
    }

    /// Gives up the handover if its deadline has passed. A successor that is ready extends the
    /// deadline instead, because the transfer of ownership may be under way.
    pub fn handle_timeout(&mut self, now: Micros) {
        if self.next_timeout().is_none_or(|deadline| deadline > now) {
            return;
        }
        if matches!(self.phase, Phase::Ready { .. }) {
            // The predecessor may already have transferred ownership and stopped accepting, so the
            // successor can't give up any more. The wait ends when the transfer arrives, or when
            // the connection closes because the predecessor disconnects or dies.
            let deadline = now.saturating_add(STEP_TIMEOUT_US);
            self.phase = Phase::Ready { deadline };
            return;
        }
        self.pending_actions.push(Action::Disconnect);
        self.serve_beside_predecessor();
    }

    fn serve_beside_predecessor(&mut self) {
        self.phase = Phase::BesidePredecessor;
        self.pending_actions
            .extend([Action::ListenOnOwnSocket, Action::StartAcceptingClients]);
    }
}
