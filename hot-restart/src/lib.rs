//! The protocol between a running process (the predecessor) and its successor during a hot
//! restart. It decides which process accepts clients and which accepts idempotency keys, and it
//! transfers the predecessor's state to the successor.
//!
//! [`Predecessor`] and [`Successor`] implement the two ends as state machines without I/O: they
//! receive messages and the current time, and return [`Action`]s. [`connection`] carries the
//! messages over a Unix socket. `docs/hot-restart.md` describes the design.
//!
//! Two invariants hold even if messages are lost, late or refused. The two processes never accept
//! idempotency keys at the same time, and at least one process always accepts connections on the
//! clients' port. The predecessor serves as before until it has transferred ownership of clients
//! and keys. If the handover fails, the successor serves beside the predecessor, on a listening
//! socket of its own.
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

/// A point in time or a duration, in microseconds.
pub type Micros = u64;

/// Time in microseconds that either end waits for the other's next message before it gives up the
/// handover. A successor that is ready waits longer; see [`Successor::handle_timeout`].
pub const STEP_TIMEOUT_US: Micros = 2_000_000;

/// An operation that the caller has to carry out. Actions must be carried out in the order in which
/// they are returned.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Action {
    /// Send this message.
    Send(Message),
    /// Send this message together with the listening sockets.
    SendWithSockets(Message),
    /// Create the state part with this number and send it as [`Message::StatePart`].
    SendPart(u32),
    /// Accept clients from now on.
    StartAcceptingClients,
    /// Stop accepting clients.
    StopAcceptingClients,
    /// Accept idempotency keys from now on.
    StartAcceptingKeys,
    /// Stop accepting idempotency keys.
    StopAcceptingKeys,
    /// Send [`Message::TransferOwnership`] with the changes to the state since the parts were
    /// created. From the moment the changes are collected, no new client or key may be accepted.
    SendOwnership,
    /// Keep the listening sockets passed with the last message.
    KeepSockets,
    /// Add a part of the predecessor's state to this process's own.
    AdoptPart {
        /// The part's number, from 0.
        number: u32,
        /// The encoded content of the part.
        bytes: Vec<u8>,
    },
    /// Apply changes to the predecessor's state: those since the parts were created, or the
    /// completion of a request that was in flight at the transfer of ownership.
    AdoptChanges(Vec<u8>),
    /// Listen on a new socket beside the predecessor, because the handover failed.
    ListenOnOwnSocket,
    /// Close the connection to the other process.
    Disconnect,
}
