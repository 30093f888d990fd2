//! What members write on a connection: a greeting each, then frames of one message. It does no I/O.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use violetgate_raft::{MembershipChange, Message, NodeId};
use violetgate_replica::Response;
use violetgate_replicated_state::Operation;
use violetgate_state_distribution::ProgressSummary;

/// The version of this protocol. A member of another one is turned away, and says so in its log.
pub const PROTOCOL_VERSION: u16 = 1;
/// The longest frame: a transaction of 128 entries of 64 KiB fits.
pub const LONGEST: usize = 16 << 20;
/// The longest greeting.
pub const GREETING: usize = 1 << 10;
/// Bytes before a frame: its length.
pub const HEAD: usize = 4;

/// What a member may be asked to agree on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Call {
    /// A command. Its request id makes it safe to ask again.
    Propose {
        /// The request's id.
        request: String,
        /// Who asks.
        who: String,
        /// What for.
        step: Operation,
    },
    /// A step of the membership.
    ChangeMembership(MembershipChange),
    /// Leadership is to be handed over.
    TransferLeadership(NodeId),
}

/// What stands in a frame after the greeting.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// Of the consensus.
    Raft(Message),
    /// A call that the receiver is to carry out, as it is taken for the leader.
    ForwardCall {
        /// The sender's id of the call.
        id: u64,
        /// The call.
        call: Call,
    },
    /// The answer to a forwarded call.
    CallAnswer {
        /// The id that the call was sent with.
        id: u64,
        /// The answer.
        answer: Response,
    },
    /// How far the sender's subscribers are. A member from before observers ends a connection over it, so that every
    /// member is upgraded before the first one serves subscribers; only such a one sends it.
    Progress(ProgressSummary),
}

/// What the one that connects says first.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// `VGCL`, so that whoever speaks something else is noticed at once.
    pub magic: [u8; 4],
    /// [`PROTOCOL_VERSION`].
    pub version: u16,
    /// The cluster.
    pub cluster: String,
    /// Who connects.
    pub from: NodeId,
    /// Whom it means to reach.
    pub to: NodeId,
    /// What was drawn when the disk of the one that connects was made.
    pub born: u64,
}

/// The answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Welcome {
    /// Why not; nothing: frames may follow.
    pub rejected: Option<String>,
    /// What was drawn when this member's disk was made.
    pub born: u64,
}

impl Hello {
    /// A greeting.
    #[must_use]
    pub fn new(cluster: &str, from: NodeId, to: NodeId, born: u64) -> Self {
        Hello {
            magic: *b"VGCL",
            version: PROTOCOL_VERSION,
            cluster: cluster.to_owned(),
            from,
            to,
            born,
        }
    }

    /// Why one that greets like this is turned away by this member, which knows by what number the disk of that
    /// member goes, if it does.
    #[must_use]
    pub fn refused(&self, cluster: &str, me: NodeId, known: Option<u64>) -> Option<String> {
        if self.magic != *b"VGCL" {
            Some("this is no member".to_owned())
        } else if self.version != PROTOCOL_VERSION {
            Some(format!(
                "it speaks version {}, this is version {PROTOCOL_VERSION}",
                self.version
            ))
        } else if self.cluster != cluster {
            Some(format!(
                "it belongs to cluster {:?}, this is {cluster:?}",
                self.cluster
            ))
        } else if self.to != me {
            Some(format!("it looks for member {}, this is {me}", self.to))
        } else if self.from == me {
            Some(format!("it has this member's id, {me}"))
        } else if known.is_some_and(|born| born != self.born) {
            Some(format!(
                "member {} had another disk: it may have forgotten its votes",
                self.from
            ))
        } else {
            None
        }
    }
}

/// Appends a frame. False: it would be too long, and nothing was appended.
pub fn put(out: &mut Vec<u8>, value: &impl Serialize) -> bool {
    let Some(frame) = frame(value) else {
        return false;
    };
    out.extend_from_slice(&frame);
    true
}

/// A frame by itself; `None`: it would be too long.
pub fn frame(value: &impl Serialize) -> Option<Vec<u8>> {
    let mut frame = postcard::to_extend(value, vec![0; HEAD]).ok()?;
    let length = frame
        .len()
        .checked_sub(HEAD)
        .filter(|length| *length <= LONGEST)?;
    let length = u32::try_from(length).ok()?;
    frame
        .get_mut(..HEAD)?
        .copy_from_slice(&length.to_le_bytes());
    Some(frame)
}

/// What stands at the start of the bytes read: a frame and its size, `None` while it is not whole.
///
/// # Errors
///
/// No frame begins like that.
pub fn take<T: DeserializeOwned>(
    bytes: &[u8],
    longest: usize,
) -> Result<Option<(T, usize)>, &'static str> {
    let Some((length, rest)) = bytes.split_first_chunk() else {
        return Ok(None);
    };
    let length = u32::from_le_bytes(*length) as usize;
    if length > longest {
        return Err("frame_too_long");
    }
    let Some(body) = rest.get(..length) else {
        return Ok(None);
    };
    let value = postcard::from_bytes(body).map_err(|_| "garbage")?;
    Ok(Some((value, HEAD + length)))
}

#[cfg(test)]
#[allow(clippy::unwrap_used, clippy::indexing_slicing)]
mod tests;
