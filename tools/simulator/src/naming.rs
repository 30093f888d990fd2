//! The members of a simulated fleet are numbered from 0; their names and addresses follow from
//! that.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use violetgate_membership::MemberName;

/// The port of all members.
const PORT: u16 = 7000;

/// The name of the member of a number.
#[must_use]
pub fn member_name(member: usize) -> MemberName {
    format!("front-{member:04}").into()
}

/// The number of the member of a name; `usize::MAX` if the name is none of a simulated member.
#[must_use]
pub fn member_number(name: &str) -> usize {
    let number = name.rsplit('-').next();
    number
        .and_then(|number| number.parse().ok())
        .unwrap_or(usize::MAX)
}

/// The address of the member of a number.
pub(crate) fn member_addr(member: usize) -> SocketAddr {
    let [.., high, low] = (member as u32).to_be_bytes();
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 1, high, low)), PORT)
}

/// The number of the member at an address.
pub(crate) fn member_at(addr: SocketAddr) -> usize {
    match addr.ip() {
        IpAddr::V4(ip) => {
            let [_, _, high, low] = ip.octets();
            usize::from(u16::from_be_bytes([high, low]))
        }
        IpAddr::V6(_) => usize::MAX,
    }
}
