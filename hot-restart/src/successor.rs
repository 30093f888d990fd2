//! The new process, which takes over.

use crate::message::{Message, MAX_PART_BYTES, SUPPORTED_VERSIONS};
use crate::{Action, Micros, STEP_TIMEOUT_US};

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Phase {
    /// A handover is requested.
    Requested { deadline: Micros },
    /// It has the sockets and all state parts before `next`.
    Receiving {
        next: u32,
        part_count: u32,
        deadline: Micros,
    },
    /// It can serve and waits for the transfer of ownership.
    Ready { deadline: Micros },
    /// It owns clients and keys; the predecessor may still report what completes there.
    Owner,
    /// It serves clients on its own socket; keys belong to the predecessor until that has ended.
    BesidePredecessor,
}

/// The successor's end of a handover.
///
/// It accepts clients once it owns them, or on its own socket where the handover fails; it accepts
/// keys once it owns them, or once the predecessor has ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Successor {
    phase: Phase,
    pending_actions: Vec<Action>,
}

impl Successor {
    /// Requests a handover from a running process.
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

    /// Returns what has to be done since the last call, in order.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.pending_actions)
    }

    /// Whether it owns clients and keys.
    #[must_use]
    pub fn is_owner(&self) -> bool {
        self.phase == Phase::Owner
    }

    /// When [`Successor::handle_timeout`] has to be called, if it has to be.
    #[must_use]
    pub fn next_timeout(&self) -> Option<Micros> {
        match self.phase {
            Phase::Requested { deadline }
            | Phase::Receiving { deadline, .. }
            | Phase::Ready { deadline } => Some(deadline),
            Phase::Owner | Phase::BesidePredecessor => None,
        }
    }

    /// Handles a message of the predecessor.
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
            // A refusal, or a message that is out of turn.
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

    /// The connection has closed: the predecessor has disconnected, or died.
    pub fn handle_disconnect(&mut self) {
        match self.phase {
            Phase::Owner | Phase::BesidePredecessor => {}
            // Whether a transfer was under way is unknown: its sender is dead, or serves as before.
            Phase::Requested { .. } | Phase::Receiving { .. } | Phase::Ready { .. } => {
                self.serve_beside_predecessor();
            }
        }
    }

    /// The predecessor's process has ended.
    pub fn handle_predecessor_exit(&mut self) {
        if self.phase == Phase::BesidePredecessor {
            self.phase = Phase::Owner;
            self.pending_actions.push(Action::StartAcceptingKeys);
        }
    }

    /// Gives the handover up if its deadline has passed, unless the transfer of ownership may be
    /// under way.
    pub fn handle_timeout(&mut self, now: Micros) {
        if self.next_timeout().is_none_or(|deadline| deadline > now) {
            return;
        }
        if matches!(self.phase, Phase::Ready { .. }) {
            // A transfer that is under way can't be refused any more, only waited for: the
            // predecessor sends it, disconnects, or dies.
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
