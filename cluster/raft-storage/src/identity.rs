//! The identity file, which states the replica that owns a folder.

use serde::{Deserialize, Serialize};

/// The name of the file that holds the [`Identity`].
pub(crate) const IDENTITY_FILE: &str = "member";

/// The replica that owns a folder. A replica that has lost its disk has no record of its votes, and
/// must join again under another id.
///
/// The identity is encoded by postcard, so the order of the fields is part of the stored format.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The name of the cluster.
    pub cluster: String,
    /// The id of the replica in its cluster.
    pub replica_id: u64,
    /// A random number chosen when the folder was created. It tells apart two disks with the same
    /// replica id, so the replica runtime calls it the disk id.
    pub incarnation: u64,
}
