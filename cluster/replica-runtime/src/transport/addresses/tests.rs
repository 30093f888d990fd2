//! Tests which of several known addresses is used.

use super::*;

fn at(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// An address in a replica's own settings overrides what the replica has learned, and the address
/// that another replica has named on an open connection overrides its recorded one.
#[test]
fn own_settings_override_announced_addresses_and_those_recorded_ones() {
    let mut addresses = PeerAddresses::default();
    addresses.set_recorded(BTreeMap::from([(3, at(1)), (4, at(2)), (5, at(3))]));
    addresses.set_configured(BTreeMap::from([(4, at(9))]));
    addresses.announce(1, 4, at(4));
    addresses.announce(2, 5, at(5));
    addresses.announce(3, 6, at(6));
    let expected = [(3, at(1)), (4, at(9)), (5, at(5)), (6, at(6))];
    assert_eq!(addresses.in_use(), BTreeMap::from(expected));
    assert!(addresses.withdraw(2) && addresses.withdraw(3));
    assert!(!addresses.withdraw(3));
    let expected = [(3, at(1)), (4, at(9)), (5, at(3))];
    assert_eq!(addresses.in_use(), BTreeMap::from(expected));
}
