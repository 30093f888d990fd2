//! Derives the names and addresses of simulated members from their numbers, which start at 0.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use violetgate_membership::MemberName;

/// The port of every simulated member; members differ by IP address.
const PORT: u16 = 7000;

/// Returns the name of a member by its number.
#[must_use]
pub fn member_name(member: usize) -> MemberName {
    format!("front-{member:04}").into()
}

/// Returns the number of a member by its name, or `usize::MAX` if the name does not end in a
/// number.
#[must_use]
pub fn member_number(name: &str) -> usize {
    let number = name.rsplit('-').next();
    number
        .and_then(|number| number.parse().ok())
        .unwrap_or(usize::MAX)
}

/// Returns the address of a member by its number.
pub(crate) fn member_addr(member: usize) -> SocketAddr {
    let [.., high, low] = (member as u32).to_be_bytes();
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 1, high, low)), PORT)
}

/// Returns the number of a member by its address, or `usize::MAX` for an IPv6 address.
pub(crate) fn member_at(addr: SocketAddr) -> usize {
    match addr.ip() {
        IpAddr::V4(ip) => {
            let [_, _, high, low] = ip.octets();
            usize::from(u16::from_be_bytes([high, low]))
        }
        IpAddr::V6(_) => usize::MAX,
    }
}
