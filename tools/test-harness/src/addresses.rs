//! Loopback addresses that nothing listens on.

use std::fs::File;
use std::io::{Error, ErrorKind, Result};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Mutex;

use rustix::fs::{flock, FlockOperation};
use rustix::io::Errno;

use crate::lock;

/// Any free port of the loopback interface.
const ANY_PORT: &str = "127.0.0.1:0";
/// Ports below those that the machine gives to connections.
const FIRST_RESERVED_PORT: u32 = 12_000;
const RESERVED_PORTS: u32 = 20_000;
/// By how far the first ports of two processes with successive ids lie apart.
const PORTS_PER_PROCESS: u32 = 97;

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

/// Returns a TCP address whose port lies below those that the machine gives to connections, since
/// one of them could take it before the program listens. No address is returned twice, also not to
/// another process that reserves addresses while this one runs.
///
/// # Errors
///
/// Every port of the range is in use, or the files that mark reserved ports can't be made.
pub fn reserve_tcp_address() -> Result<SocketAddr> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let first = std::process::id().wrapping_mul(PORTS_PER_PROCESS);
    for _ in 0..RESERVED_PORTS {
        let offset = first.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed)) % RESERVED_PORTS;
        let port = u16::try_from(FIRST_RESERVED_PORT + offset).unwrap_or(u16::MAX);
        if !claim_port(port)? {
            continue;
        }
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener.local_addr();
        }
    }
    Err(Error::new(ErrorKind::AddrInUse, "no reserved port is free"))
}

/// Claims a port for this process until it ends, by a lock on a file that is never removed. False:
/// another process has claimed it.
fn claim_port(port: u16) -> Result<bool> {
    static CLAIMS: Mutex<Vec<File>> = Mutex::new(Vec::new());
    let folder = std::env::temp_dir().join("violetgate-test-ports");
    std::fs::create_dir_all(&folder)?;
    let file = File::options()
        .create(true)
        .append(true)
        .open(folder.join(port.to_string()))?;
    match flock(&file, FlockOperation::NonBlockingLockExclusive) {
        Ok(()) => {
            lock(&CLAIMS).push(file);
            Ok(true)
        }
        Err(Errno::WOULDBLOCK) => Ok(false),
        Err(error) => Err(error.into()),
    }
}
