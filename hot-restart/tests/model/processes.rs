//! The state of the model: both processes and the messages in flight between them.

use violetgate_hot_restart::{Action, Message, Predecessor, Successor};

pub const PART_COUNT: u32 = 2;

/// A fault that a test injects into the model.
#[derive(Clone, Copy, PartialEq)]
pub enum Fault {
    None,
    /// The successor accepts keys as soon as it listens beside the predecessor.
    SuccessorAcceptsKeysBesidePredecessor,
    /// The predecessor keeps accepting keys after it has transferred ownership.
    PredecessorKeepsAcceptingKeys,
    /// The predecessor does not notice that the successor has died.
    PredecessorMissesDisconnect,
}

/// Whether a process accepts clients and idempotency keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Accepts {
    pub clients: bool,
    pub keys: bool,
}

impl Accepts {
    pub const ALL: Accepts = Accepts {
        clients: true,
        keys: true,
    };
    pub const NOTHING: Accepts = Accepts {
        clients: false,
        keys: false,
    };
}

/// A message, or the end of the connection, that the receiver has not handled yet.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum InFlight {
    Message(Message),
    Disconnect,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Processes {
    pub predecessor: Option<Predecessor>,
    pub successor: Option<Successor>,
    pub to_predecessor: Vec<InFlight>,
    pub to_successor: Vec<InFlight>,
    pub predecessor_accepts: Accepts,
    pub successor_accepts: Accepts,
    pub adopted_parts: u32,
    /// Number of successors started.
    pub starts: u8,
    /// Whether the successor knows that the predecessor's process has exited.
    pub knows_exit: bool,
}

impl Processes {
    /// Creates a state in which one process serves and a first successor has connected to it.
    pub fn new(fault: Fault) -> Self {
        let mut processes = Processes {
            predecessor: Some(Predecessor::new()),
            successor: None,
            to_predecessor: vec![],
            to_successor: vec![],
            predecessor_accepts: Accepts::ALL,
            successor_accepts: Accepts::NOTHING,
            adopted_parts: 0,
            starts: 0,
            knows_exit: false,
        };
        processes.start_successor();
        processes.carry_out_actions(fault);
        processes
    }

    pub fn start_successor(&mut self) {
        self.successor = Some(Successor::start(0));
        self.adopted_parts = 0;
        self.knows_exit = false;
        self.starts += 1;
    }

    pub fn kill_predecessor(&mut self) {
        self.predecessor = None;
        self.predecessor_accepts = Accepts::NOTHING;
        self.to_successor.push(InFlight::Disconnect);
    }

    pub fn kill_successor(&mut self) {
        self.successor = None;
        self.successor_accepts = Accepts::NOTHING;
        self.to_predecessor.push(InFlight::Disconnect);
    }

    /// Delivers the oldest item in flight. Returns `None` if the predecessor is dead.
    pub fn deliver_to_predecessor(&mut self, fault: Fault) -> Option<()> {
        let in_flight = self.to_predecessor.remove(0);
        let predecessor = self.predecessor.as_mut()?;
        match in_flight {
            InFlight::Message(message) => predecessor.handle_message(&message, PART_COUNT, 0),
            InFlight::Disconnect if fault == Fault::PredecessorMissesDisconnect => {}
            InFlight::Disconnect => predecessor.handle_disconnect(),
        }
        Some(())
    }

    /// Delivers the oldest item in flight. Returns `None` if the successor is dead.
    pub fn deliver_to_successor(&mut self) -> Option<()> {
        let in_flight = self.to_successor.remove(0);
        let successor = self.successor.as_mut()?;
        match in_flight {
            InFlight::Message(message) => successor.handle_message(message, 0),
            InFlight::Disconnect => successor.handle_disconnect(),
        }
        Some(())
    }

    pub fn carry_out_actions(&mut self, fault: Fault) {
        let actions = self.predecessor.as_mut().map(Predecessor::take_actions);
        for action in actions.unwrap_or_default() {
            self.carry_out_for_predecessor(action, fault);
        }
        let actions = self.successor.as_mut().map(Successor::take_actions);
        for action in actions.unwrap_or_default() {
            self.carry_out_for_successor(action, fault);
        }
        // Messages to a dead process are lost.
        if self.predecessor.is_none() {
            self.to_predecessor.clear();
        }
        if self.successor.is_none() {
            self.to_successor.clear();
        }
    }

    fn carry_out_for_predecessor(&mut self, action: Action, fault: Fault) {
        let accepts = &mut self.predecessor_accepts;
        let message = match action {
            Action::Send(message) | Action::SendWithSockets(message) => message,
            Action::SendPart(number) => Message::StatePart {
                number,
                bytes: vec![],
            },
            Action::SendOwnership => Message::TransferOwnership(vec![]),
            Action::StartAcceptingClients => return accepts.clients = true,
            Action::StopAcceptingClients => return accepts.clients = false,
            Action::StartAcceptingKeys => return accepts.keys = true,
            Action::StopAcceptingKeys => {
                accepts.keys = fault == Fault::PredecessorKeepsAcceptingKeys;
                return;
            }
            Action::Disconnect => {
                self.to_predecessor.clear();
                return self.to_successor.push(InFlight::Disconnect);
            }
            other => panic!("unexpected action of the predecessor: {other:?}"),
        };
        self.to_successor.push(InFlight::Message(message));
    }

    fn carry_out_for_successor(&mut self, action: Action, fault: Fault) {
        let accepts = &mut self.successor_accepts;
        match action {
            Action::Send(message) => self.to_predecessor.push(InFlight::Message(message)),
            Action::StartAcceptingClients => accepts.clients = true,
            Action::StopAcceptingClients => accepts.clients = false,
            Action::StartAcceptingKeys => accepts.keys = true,
            Action::StopAcceptingKeys => accepts.keys = false,
            Action::ListenOnOwnSocket => {
                accepts.keys |= fault == Fault::SuccessorAcceptsKeysBesidePredecessor;
            }
            Action::AdoptPart { number, .. } => {
                assert_eq!(number, self.adopted_parts);
                self.adopted_parts += 1;
            }
            Action::Disconnect => {
                self.to_successor.clear();
                self.to_predecessor.push(InFlight::Disconnect);
            }
            Action::KeepSockets | Action::AdoptChanges(_) => {}
            other => panic!("unexpected action of the successor: {other:?}"),
        }
    }
}
