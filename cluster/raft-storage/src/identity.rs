//! Whose folder it is.

use serde::{Deserialize, Serialize};

/// The file with the identity.
pub(crate) const IDENTITY_FILE: &str = "member";

/// The owner of a folder. Without its disk a replica has no record of its votes, and has to join
/// again under another id.
///
/// It is stored by postcard: the order of the fields is the format.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The name of the cluster.
    pub cluster: String,
    /// The id of the replica.
    pub replica_id: u64,
    /// A random number from when the folder was made: another disk under the same id has another
    /// one. The runtime calls it the disk's id.
    pub incarnation: u64,
}
