//! The protocol between a running process and its successor during a hot restart: who accepts
//! clients, who accepts idempotency keys, and what the predecessor knows that the successor needs.
//!
//! [`Predecessor`] and [`Successor`] are the two ends as state machines without I/O: messages and
//! the time go in, [`Action`]s come out. [`connection`] carries the messages over a Unix socket.
//! `docs/hot-restart.md` is the design.
//!
//! Two invariants hold whatever is lost, late or refused: never do both processes accept
//! idempotency keys, and the clients' port is never without a process that accepts. Until the
//! predecessor has transferred ownership it serves as before; a successor whose handover fails
//! serves on a listening socket of its own beside the predecessor.
//!
//! ```
//! use violetgate_hot_restart::{Action, Message, Predecessor, Successor};
//!
//! let mut successor = Successor::start(0);
//! let mut predecessor = Predecessor::new();
//! let hello = match successor.take_actions().remove(0) {
//!     Action::Send(message) => message,
//!     other => unreachable!("{other:?}"),
//! };
//! predecessor.handle_message(&hello, 0, 1_000);
//! let offer = Message::Offer { version: 1, part_count: 0 };
//! assert_eq!(predecessor.take_actions(), [Action::SendWithSockets(offer.clone())]);
//! successor.handle_message(offer, 2_000);
//! let received = Message::PartsReceived { next: 0 };
//! assert_eq!(
//!     successor.take_actions(),
//!     [Action::KeepSockets, Action::Send(received), Action::Send(Message::Ready)]
//! );
//! ```

pub mod connection;
mod message;
mod predecessor;
mod successor;

pub use message::{Message, Refusal, VersionRange, MAX_PART_BYTES, SUPPORTED_VERSIONS};
pub use predecessor::Predecessor;
pub use successor::Successor;

/// A moment or a span in microseconds.
pub type Micros = u64;

/// How long either end waits for the other's next message before it gives up the handover, in
/// microseconds.
pub const STEP_TIMEOUT_US: Micros = 2_000_000;

/// What the program has to do, in the order given.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Action {
    /// Send this message.
    Send(Message),
    /// Send this message together with the listening sockets.
    SendWithSockets(Message),
    /// Make the state part of this number and send it as [`Message::StatePart`].
    SendPart(u32),
    /// Accept clients from now on.
    StartAcceptingClients,
    /// Accept no further clients.
    StopAcceptingClients,
    /// Accept idempotency keys from now on.
    StartAcceptingKeys,
    /// Accept no further idempotency keys.
    StopAcceptingKeys,
    /// Send [`Message::TransferOwnership`] with what has changed since the parts were made. Nothing
    /// new may be accepted once that is made.
    SendOwnership,
    /// Keep the listening sockets that came with the last message.
    KeepSockets,
    /// Take over a part of the predecessor's state.
    AdoptPart {
        /// The part's number, from 0.
        number: u32,
        /// Its content.
        bytes: Vec<u8>,
    },
    /// Take over what has changed since the parts were made, or what has completed since the
    /// transfer.
    AdoptChanges(Vec<u8>),
    /// Listen on a socket of one's own beside the predecessor: the handover has failed.
    ListenOnOwnSocket,
    /// Close the connection to the other process.
    Disconnect,
}
