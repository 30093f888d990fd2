//! The addresses at which other replicas are reached, by where they were learned.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use violetgate_raft::NodeId;

#[cfg(test)]
mod tests;

/// A replica and the address that it has named in its hello.
#[derive(Debug, Clone, Copy)]
struct Announcement {
    from: NodeId,
    address: SocketAddr,
}

/// The known addresses of other replicas.
#[derive(Debug, Default)]
pub(super) struct PeerAddresses {
    /// The addresses in this replica's own settings. They override all others.
    configured: BTreeMap<NodeId, SocketAddr>,
    /// The addresses in the replicated state or in the log.
    recorded: BTreeMap<NodeId, SocketAddr>,
    /// The addresses named by the hellos of open connections, by the connection's number. They
    /// override recorded ones, as a replica that has moved can't record its new address before a
    /// leader reaches it there.
    announced: BTreeMap<u64, Announcement>,
}

impl PeerAddresses {
    pub fn set_configured(&mut self, addresses: BTreeMap<NodeId, SocketAddr>) {
        self.configured = addresses;
    }

    pub fn set_recorded(&mut self, addresses: BTreeMap<NodeId, SocketAddr>) {
        self.recorded = addresses;
    }

    /// Adds the address that a replica has named on a connection.
    pub fn announce(&mut self, connection: u64, from: NodeId, address: SocketAddr) {
        let announcement = Announcement { from, address };
        self.announced.insert(connection, announcement);
    }

    /// Removes the address that was named on a connection which has ended. Returns whether there
    /// was one.
    pub fn withdraw(&mut self, connection: u64) -> bool {
        self.announced.remove(&connection).is_some()
    }

    /// Returns the address to use for each replica.
    pub fn in_use(&self) -> BTreeMap<NodeId, SocketAddr> {
        let mut addresses = self.recorded.clone();
        let announced = self.announced.values();
        addresses.extend(announced.map(|it| (it.from, it.address)));
        addresses.extend(&self.configured);
        addresses
    }
}
