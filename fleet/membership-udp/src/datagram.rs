//! Encodes and decodes datagrams. A datagram holds a magic number, the protocol version, the fleet
//! name and one message, all encoded with postcard.

use serde::{Deserialize, Serialize};
use thiserror::Error;
use violetgate_membership::Message;

/// Version of the datagram format. Datagrams with another version are rejected and reported.
pub const PROTOCOL_VERSION: u16 = 1;
/// Maximum length of a datagram, in bytes. Every valid message fits.
pub const MAX_DATAGRAM_BYTES: usize = 8 << 10;
/// Distinguishes the fleet's datagrams from those of other protocols.
const MAGIC: [u8; 4] = *b"VGFL";
/// Maximum number of characters of another fleet's name that an error repeats.
const MAX_REPORTED_NAME_CHARS: usize = 64;

/// Why a datagram is rejected. The error texts tell operators what to check.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum DatagramError {
    /// The datagram doesn't start with the magic number, so it belongs to another protocol.
    #[error("not a datagram of a fleet: find out which program sends to this address")]
    UnknownProtocol,
    /// The sender uses the given version of the datagram format instead of [`PROTOCOL_VERSION`].
    #[error(
        "the sender uses version {0} of the fleet's protocol, this gateway uses version \
         {PROTOCOL_VERSION}: finish the upgrade"
    )]
    UnsupportedVersion(u16),
    /// The sender belongs to the fleet with the given name, which may be truncated.
    #[error("the sender belongs to fleet {0:?}: check its `fleet.name` and `fleet.seeds`")]
    OtherFleet(String),
    /// The fleet name or the message can't be decoded, or bytes follow the message.
    #[error("the datagram can't be decoded: check that all gateways run the same build")]
    Malformed,
}

#[derive(Serialize, Deserialize)]
struct Header {
    magic: [u8; 4],
    version: u16,
}

/// Encodes a datagram. Returns `None` if it would exceed [`MAX_DATAGRAM_BYTES`].
#[must_use]
pub fn encode(fleet: &str, message: &Message) -> Option<Vec<u8>> {
    let header = Header {
        magic: MAGIC,
        version: PROTOCOL_VERSION,
    };
    postcard::to_stdvec(&(header, fleet, message))
        .ok()
        .filter(|bytes| bytes.len() <= MAX_DATAGRAM_BYTES)
}

/// Decodes a datagram and checks that its sender belongs to `fleet`.
///
/// # Errors
///
/// Returns a [`DatagramError`] if the datagram has another protocol, version or fleet, or is
/// malformed.
pub fn decode(fleet: &str, bytes: &[u8]) -> Result<Message, DatagramError> {
    // The header is decoded separately because another version may encode the rest differently.
    let (header, rest) =
        postcard::take_from_bytes::<Header>(bytes).map_err(|_| DatagramError::UnknownProtocol)?;
    if header.magic != MAGIC {
        return Err(DatagramError::UnknownProtocol);
    }
    if header.version != PROTOCOL_VERSION {
        return Err(DatagramError::UnsupportedVersion(header.version));
    }
    let (other_fleet, rest) =
        postcard::take_from_bytes::<&str>(rest).map_err(|_| DatagramError::Malformed)?;
    if other_fleet != fleet {
        let name = other_fleet.chars().take(MAX_REPORTED_NAME_CHARS).collect();
        return Err(DatagramError::OtherFleet(name));
    }
    let (message, rest) = postcard::take_from_bytes(rest).map_err(|_| DatagramError::Malformed)?;
    if rest.is_empty() {
        Ok(message)
    } else {
        Err(DatagramError::Malformed)
    }
}

#[cfg(test)]
mod tests;
