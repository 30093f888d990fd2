//! A datagram of the fleet: who is meant by it, in what version, and one message. It does no I/O.

use serde::{Deserialize, Serialize};
use thiserror::Error;
use violetgate_membership::Message;

/// The version of this protocol. A front end of another one is turned away, and the log says so.
pub const VERSION: u16 = 1;
/// The longest datagram: what 16 claims with the longest names come to, with room.
pub const LONGEST: usize = 8 << 10;
/// `VGFL`, so that whatever speaks something else is noticed at once.
const MAGIC: [u8; 4] = *b"VGFL";

/// Why a datagram is not heeded.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Refused {
    /// It is none of the fleet's.
    #[error("no datagram of a fleet: something else sends to this address")]
    Stranger,
    /// Another version.
    #[error("it speaks version {0} of the fleet's protocol, this is version {VERSION}: finish the upgrade")]
    Version(u16),
    /// Another fleet.
    #[error("it belongs to fleet {0:?}: check `fleet.name` and `fleet.seeds` in its settings")]
    Fleet(String),
    /// It can't be read.
    #[error("it can't be read: check that all front ends run the same build")]
    Garbage,
}

#[derive(Serialize, Deserialize)]
struct Head {
    magic: [u8; 4],
    version: u16,
}

/// Writes a datagram; `None`: the message is longer than any that is sent.
#[must_use]
pub fn write(fleet: &str, message: &Message) -> Option<Vec<u8>> {
    let head = Head {
        magic: MAGIC,
        version: VERSION,
    };
    postcard::to_stdvec(&(head, fleet, message))
        .ok()
        .filter(|bytes| bytes.len() <= LONGEST)
}

/// Reads a datagram of this fleet.
///
/// # Errors
///
/// It is none that can be heeded; the error says what to look at.
pub fn read(fleet: &str, bytes: &[u8]) -> Result<Message, Refused> {
    // The head comes first and by itself: the rest may have another form in another version.
    let (head, rest) = postcard::take_from_bytes::<Head>(bytes).map_err(|_| Refused::Stranger)?;
    if head.magic != MAGIC {
        return Err(Refused::Stranger);
    }
    if head.version != VERSION {
        return Err(Refused::Version(head.version));
    }
    let (theirs, rest) = postcard::take_from_bytes::<&str>(rest).map_err(|_| Refused::Garbage)?;
    if theirs != fleet {
        return Err(Refused::Fleet(theirs.chars().take(64).collect()));
    }
    let (message, rest) = postcard::take_from_bytes(rest).map_err(|_| Refused::Garbage)?;
    if rest.is_empty() {
        Ok(message)
    } else {
        Err(Refused::Garbage)
    }
}

#[cfg(test)]
#[allow(clippy::unwrap_used, clippy::indexing_slicing)]
mod tests {
    use super::*;
    use violetgate_membership::{Body, Claim, State, MOST_CLAIMS};

    fn message(claims: usize) -> Message {
        let name: String = "n".repeat(64);
        let claim = Claim {
            name: name.as_str().into(),
            addr: "[2001:db8::ffff:ffff]:65535".parse().unwrap(),
            life: u64::MAX,
            turn: u32::MAX,
            state: State::Suspect,
            by: Some(name.as_str().into()),
        };
        Message {
            body: Body::PingFor(u64::MAX, name.as_str().into(), claim.addr),
            claims: vec![claim; claims],
        }
    }

    /// The longest message fits, what is cut or bent anywhere is turned away, and so are strangers, by what they are.
    #[test]
    fn only_whole_datagrams_of_this_fleet_are_read() {
        let longest = message(MOST_CLAIMS);
        let bytes = write("wards", &longest).unwrap();
        assert_eq!(read("wards", &bytes), Ok(longest));
        for end in 0..bytes.len() {
            assert!(read("wards", &bytes[..end]).is_err(), "cut at {end}");
        }
        assert_eq!(
            read("others", &bytes),
            Err(Refused::Fleet("wards".to_owned()))
        );
        assert_eq!(read("wards", b"GET / HTTP/1.1"), Err(Refused::Stranger));
        let mut newer = bytes.clone();
        newer[4] = 9;
        assert_eq!(read("wards", &newer), Err(Refused::Version(9)));
        let more = [&bytes[..], b"x"].concat();
        assert_eq!(read("wards", &more), Err(Refused::Garbage));
        for at in 0..bytes.len() {
            let mut bent = bytes.clone();
            bent[at] ^= 0x41;
            let _ = read("wards", &bent);
        }
    }
}
