//! Loopback addresses that nothing listens on.

use std::io::Result;
use std::net::{SocketAddr, TcpListener, UdpSocket};

/// Any free port of the loopback interface.
const ANY_PORT: &str = "127.0.0.1:0";

/// Returns different TCP addresses that are free now; another process may take one before it is
/// used.
///
/// # Errors
///
/// The machine has no free port.
pub fn free_tcp_addresses<const N: usize>() -> Result<[SocketAddr; N]> {
    // All are bound at the same time, so that no address is returned twice.
    let listeners: Vec<TcpListener> = (0..N)
        .map(|_| TcpListener::bind(ANY_PORT))
        .collect::<Result<_>>()?;
    let mut addresses = [SocketAddr::from(([127, 0, 0, 1], 0)); N];
    for (address, listener) in addresses.iter_mut().zip(&listeners) {
        *address = listener.local_addr()?;
    }
    Ok(addresses)
}

/// Returns `count` different UDP addresses that are free now; another process may take one before
/// it is used.
///
/// # Errors
///
/// The machine has no free port.
pub fn free_udp_addresses(count: usize) -> Result<Vec<SocketAddr>> {
    let sockets: Vec<UdpSocket> = (0..count)
        .map(|_| UdpSocket::bind(ANY_PORT))
        .collect::<Result<_>>()?;
    sockets.iter().map(UdpSocket::local_addr).collect()
}
