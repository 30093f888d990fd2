//! The hello of a connecting replica, its checks, and the answer to it.

use std::net::SocketAddr;

use serde::{Deserialize, Deserializer, Serialize};
use violetgate_raft::NodeId;

use super::PROTOCOL_VERSION;

/// The first bytes of a hello, which identify the protocol.
const MAGIC: [u8; 4] = *b"VGCL";

/// The first message on a connection, sent by the replica that connects.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Hello {
    /// Always `VGCL`. A client of another protocol is recognised by other first bytes.
    pub magic: [u8; 4],
    /// The sender's [`PROTOCOL_VERSION`].
    pub version: u16,
    /// The name of the cluster that the sender belongs to.
    pub cluster: String,
    /// The id of the replica that connects.
    pub from: NodeId,
    /// The id of the replica that it connects to.
    pub to: NodeId,
    /// The random id of the connecting replica's disk.
    pub disk_id: u64,
    /// The address at which the connecting replica listens, for answers to it. Hellos of versions
    /// before end in front of this field, and those versions ignore it.
    #[serde(deserialize_with = "none_if_absent")]
    pub listen: Option<SocketAddr>,
}

/// Decodes a field that was added at the end of a message. It is `None` if the message ends before
/// it.
fn none_if_absent<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<SocketAddr>, D::Error> {
    Ok(Option::deserialize(deserializer).unwrap_or(None))
}

/// The answer to a hello.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Welcome {
    /// The reason why the hello is rejected, for the other side's log. `None` means that it is
    /// accepted and messages may follow.
    pub rejected: Option<String>,
    /// The random id of the answering replica's disk.
    pub disk_id: u64,
}

/// The reason why a hello is rejected. Its `Display` text is sent to the other side.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(crate) enum HelloRejection {
    /// The other side uses another protocol.
    #[error("this is no member")]
    NotAReplica,
    /// The other side uses another version of the protocol.
    #[error("it speaks version {theirs}, this is version {PROTOCOL_VERSION}")]
    WrongVersion { theirs: u16 },
    /// The other side belongs to another cluster.
    #[error("it belongs to cluster {theirs:?}, this is {ours:?}")]
    WrongCluster { theirs: String, ours: String },
    /// The hello is addressed to another replica.
    #[error("it looks for member {wanted}, this is {actual}")]
    WrongReplica { wanted: NodeId, actual: NodeId },
    /// The other side uses this replica's id.
    #[error("it has this member's id, {id}")]
    DuplicateId { id: NodeId },
    /// The other side's disk is not the committed one. It may have lost its vote, and could vote
    /// twice in a term.
    #[error("member {id} had another disk: it may have forgotten its votes")]
    OtherDisk { id: NodeId },
}

impl Hello {
    pub fn new(cluster: &str, from: NodeId, to: NodeId, disk_id: u64) -> Self {
        Hello {
            magic: MAGIC,
            version: PROTOCOL_VERSION,
            cluster: cluster.to_owned(),
            from,
            to,
            disk_id,
            listen: None,
        }
    }

    /// Checks the hello at the replica that receives it. `known_disk` is the committed disk id of
    /// the sender, if there is one.
    pub fn check(
        &self,
        cluster: &str,
        own_id: NodeId,
        known_disk: Option<u64>,
    ) -> Result<(), HelloRejection> {
        if self.magic != MAGIC {
            return Err(HelloRejection::NotAReplica);
        }
        if self.version != PROTOCOL_VERSION {
            let theirs = self.version;
            return Err(HelloRejection::WrongVersion { theirs });
        }
        if self.cluster != cluster {
            return Err(HelloRejection::WrongCluster {
                theirs: self.cluster.clone(),
                ours: cluster.to_owned(),
            });
        }
        if self.to != own_id {
            return Err(HelloRejection::WrongReplica {
                wanted: self.to,
                actual: own_id,
            });
        }
        if self.from == own_id {
            return Err(HelloRejection::DuplicateId { id: own_id });
        }
        if known_disk.is_some_and(|known| known != self.disk_id) {
            return Err(HelloRejection::OtherDisk { id: self.from });
        }
        Ok(())
    }
}
