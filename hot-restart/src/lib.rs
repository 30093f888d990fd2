//! What two processes of one front end say to each other at an upgrade: who listens, who takes idempotency keys, and what
//! the old one knows that the new one has to know. Input in, actions out, time injected; docs/handover.md is the design.
//!
//! [`Old`] and [`New`] are the two ends, without I/O; [`carrier`] carries what they say. At every step each knows whether it takes clients and whether it takes keys. It
//! must never let both take keys, nor leave the clients' port to nobody: whatever is lost, late or refused, the old
//! process goes on as it was, and the new one falls back to a port of its own beside it.

pub mod carrier;
mod new;
mod old;

pub use new::New;
pub use old::Old;

use serde::{Deserialize, Serialize};

/// A moment or a span in microseconds.
pub type Micros = u64;

/// The versions of this protocol that this program speaks.
pub const VERSIONS: (u16, u16) = (1, 1);
/// How long either waits for the other's next word before it gives the hand-over up.
pub const PATIENCE: Micros = 2_000_000;
/// The longest part of the state.
pub const LONGEST: usize = 64 << 10;

/// Why the old process hands nothing over.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Refusal {
    /// No version is spoken by both.
    Version,
    /// Another process is being handed to, or was.
    Taken,
    /// It is on its way out, or can't.
    Leaving,
}

/// What one says to the other.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// New to old: I am here, and speak these versions.
    Hello {
        /// The least.
        least: u16,
        /// The most.
        most: u16,
    },
    /// Old to new: no.
    Refuse(Refusal),
    /// Old to new: the listening sockets come with this, and so many parts after it.
    Offer {
        /// The version that both speak.
        version: u16,
        /// Parts of the state.
        parts: u32,
    },
    /// Old to new: the next part of the state.
    Part {
        /// Its number, from 0.
        number: u32,
        /// What it holds.
        bytes: Vec<u8>,
    },
    /// New to old: I hold the sockets and all parts before this one.
    Holds(u32),
    /// New to old: I am ready to serve.
    Ready,
    /// Old to new: what has changed since the parts, and from here on all is yours.
    Yours(Vec<u8>),
    /// Old to new: something that was under way when I said so has ended.
    Ended(Vec<u8>),
    /// Old to new: nothing is left here.
    Done,
}

/// What is to be done, in this order.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Action {
    /// Say this.
    Say(Message),
    /// Say this, with the listening sockets.
    Pass(Message),
    /// Say the part of this number; the program makes it.
    SayPart(u32),
    /// Take clients from now on, or no longer.
    Accept(bool),
    /// Take keys from now on, or no longer.
    Keys(bool),
    /// Say [`Message::Yours`] with what has changed since the parts; nothing new may be taken after it is made.
    SayYours,
    /// Hold the sockets that came.
    Hold,
    /// Take a part of the state in.
    Adopt(u32, Vec<u8>),
    /// Take in what has changed since, or what has ended.
    AdoptLast(Vec<u8>),
    /// Listen on a port of one's own beside the other process: the hand-over has come to nothing.
    ListenBeside,
    /// End the conversation.
    HangUp,
}
