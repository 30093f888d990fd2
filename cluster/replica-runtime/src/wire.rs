//! The protocol between replicas: a hello and its answer, then frames that hold one message each.
//! This module does no I/O.
//!
//! Messages are encoded by postcard, which encodes fields and variants by position: their order is
//! part of the protocol, their names are not.

mod codec;
mod hello;
mod peer_message;
#[cfg(test)]
#[expect(
    clippy::unwrap_used,
    clippy::indexing_slicing,
    reason = "a test fails by a panic"
)]
mod tests;

pub(crate) use codec::{decode_frame, encode_frame, Decoded, FRAME_HEADER_BYTES};
pub(crate) use hello::{Hello, Welcome};
pub use peer_message::{Call, PeerMessage};

/// The version of this protocol. A replica of another version is rejected.
pub(crate) const PROTOCOL_VERSION: u16 = 1;
/// The maximum length of a message in a frame, in bytes. A transaction of 128 entries of 64 KiB
/// fits.
pub(crate) const MAX_FRAME_BYTES: usize = 16 << 20;
/// The maximum length of a hello or of the answer to one, in bytes.
pub(crate) const MAX_HELLO_BYTES: usize = 1 << 10;
