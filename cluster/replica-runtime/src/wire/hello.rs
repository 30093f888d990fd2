//! The greetings between replicas, and which of them are accepted.

use serde::{Deserialize, Serialize};
use violetgate_raft::NodeId;

use super::PROTOCOL_VERSION;

/// The first bytes of a greeting.
const MAGIC: [u8; 4] = *b"VGCL";

/// The greeting of the replica that connects.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Hello {
    /// `VGCL`: another protocol is recognised by its first bytes.
    pub magic: [u8; 4],
    /// [`PROTOCOL_VERSION`].
    pub version: u16,
    /// The cluster's name.
    pub cluster: String,
    /// The replica that connects.
    pub from: NodeId,
    /// The replica that it means to reach.
    pub to: NodeId,
    /// The random id of the disk of the replica that connects.
    pub disk_id: u64,
}

/// The answer to a greeting.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Welcome {
    /// Why the greeting is rejected, for the log of the other side; `None`: it is accepted, and
    /// frames may follow.
    pub rejected: Option<String>,
    /// The random id of this replica's disk.
    pub disk_id: u64,
}

/// Why a greeting is rejected. The text is sent to the other side.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(crate) enum HelloRejection {
    /// The other side speaks another protocol.
    #[error("this is no member")]
    NotAReplica,
    /// It speaks another version.
    #[error("it speaks version {theirs}, this is version {PROTOCOL_VERSION}")]
    WrongVersion { theirs: u16 },
    /// It belongs to another cluster.
    #[error("it belongs to cluster {theirs:?}, this is {ours:?}")]
    WrongCluster { theirs: String, ours: String },
    /// It means another replica.
    #[error("it looks for member {wanted}, this is {actual}")]
    WrongReplica { wanted: NodeId, actual: NodeId },
    /// It has this replica's id.
    #[error("it has this member's id, {id}")]
    DuplicateId { id: NodeId },
    /// Its disk is not the one that the cluster knows: it may have forgotten its vote, and vote
    /// twice.
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
        }
    }

    /// Checks the greeting at a replica. `known_disk` is the disk of the greeting replica, if the
    /// cluster knows it.
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
