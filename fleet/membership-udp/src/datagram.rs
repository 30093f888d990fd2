//! The form of a datagram: a magic number, the protocol's version, the fleet's name and one
//! message, by postcard.

use serde::{Deserialize, Serialize};
use thiserror::Error;
use violetgate_membership::Message;

/// The version of this protocol. A gateway of another one is rejected, and the log says so.
pub const PROTOCOL_VERSION: u16 = 1;
/// The longest datagram, in bytes: more than any message needs.
pub const MAX_DATAGRAM_BYTES: usize = 8 << 10;
/// `VGFL`: distinguishes the fleet's datagrams from those of other protocols.
const MAGIC: [u8; 4] = *b"VGFL";
/// How much of another fleet's name is repeated in an error, in characters.
const MAX_REPORTED_NAME_CHARS: usize = 64;

/// Why a datagram is rejected. The texts say what an operator can check.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum DatagramError {
    /// It is of another protocol.
    #[error("no datagram of a fleet: something else sends to this address")]
    UnknownProtocol,
    /// It has another version.
    #[error("it speaks version {0} of the fleet's protocol, this is version {PROTOCOL_VERSION}: finish the upgrade")]
    UnsupportedVersion(u16),
    /// It is of another fleet.
    #[error("it belongs to fleet {0:?}: check `fleet.name` and `fleet.seeds` in its settings")]
    OtherFleet(String),
    /// It can't be decoded.
    #[error("it can't be read: check that all front ends run the same build")]
    Malformed,
}

#[derive(Serialize, Deserialize)]
struct Header {
    magic: [u8; 4],
    version: u16,
}

/// Encodes a datagram; `None` if the message is longer than any that may be sent.
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

/// Decodes a datagram of this fleet.
///
/// # Errors
///
/// [`DatagramError`] if the datagram is rejected.
pub fn decode(fleet: &str, bytes: &[u8]) -> Result<Message, DatagramError> {
    // The header is decoded by itself: what follows may have another form in another version.
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
