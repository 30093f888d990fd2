//! Reserves loopback addresses that nothing listens on.

use std::fs::File;
use std::io::{Error, ErrorKind, Result};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Mutex;

use rustix::fs::{flock, FlockOperation};
use rustix::io::Errno;

use crate::lock;

/// The start of the reserved range, which lies below the machine's ephemeral ports.
const FIRST_RESERVED_PORT: u32 = 12_000;
const RESERVED_PORTS: u32 = 20_000;
/// The distance between the first ports that two processes with successive ids try.
const PORTS_PER_PROCESS: u32 = 97;
/// The state of a listening socket in `/proc/net/tcp`.
const LISTEN_STATE: &str = "0A";

#[derive(Clone, Copy, PartialEq, Eq)]
enum Protocol {
    Tcp,
    Udp,
}

/// Returns a TCP address on loopback whose port lies below the machine's ephemeral ports: an
/// outgoing connection could take an ephemeral port before the program listens. No address is
/// returned twice, not even to another process that reserves addresses while this one runs.
///
/// # Errors
///
/// Returns an error if every port of the range is in use, the lock files of the ports can't be
/// created, or the kernel's lists of sockets below `/proc/net` can't be read.
pub fn reserve_tcp_address() -> Result<SocketAddr> {
    reserve_address(Protocol::Tcp)
}

/// Returns `N` TCP addresses, each reserved as by [`reserve_tcp_address`].
///
/// # Errors
///
/// Fails for the same reasons as [`reserve_tcp_address`].
pub fn reserve_tcp_addresses<const N: usize>() -> Result<[SocketAddr; N]> {
    let mut addresses = [SocketAddr::from(([127, 0, 0, 1], 0)); N];
    for address in &mut addresses {
        *address = reserve_tcp_address()?;
    }
    Ok(addresses)
}

/// Returns `count` UDP addresses, each reserved as by [`reserve_tcp_address`]. No port is reserved
/// for both TCP and UDP.
///
/// # Errors
///
/// Fails for the same reasons as [`reserve_tcp_address`].
pub fn reserve_udp_addresses(count: usize) -> Result<Vec<SocketAddr>> {
    (0..count).map(|_| reserve_address(Protocol::Udp)).collect()
}

/// Claims ports of the range until one is not in use, and returns its address.
fn reserve_address(protocol: Protocol) -> Result<SocketAddr> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let first = std::process::id().wrapping_mul(PORTS_PER_PROCESS);
    for _ in 0..RESERVED_PORTS {
        let offset = first.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed)) % RESERVED_PORTS;
        let port = u16::try_from(FIRST_RESERVED_PORT + offset).unwrap_or(u16::MAX);
        if claim_port(port)? && !is_port_in_use(protocol, port)? {
            return Ok(SocketAddr::from(([127, 0, 0, 1], port)));
        }
    }
    Err(Error::new(ErrorKind::AddrInUse, "no port is free"))
}

/// Whether a TCP socket listens or a UDP socket is bound at a port, at any address. It does not
/// bind a socket to find out: a child process that another thread starts at that moment would
/// inherit the socket and hold the port until it executes its program.
fn is_port_in_use(protocol: Protocol, port: u16) -> Result<bool> {
    let lists = match protocol {
        Protocol::Tcp => ["tcp", "tcp6"],
        Protocol::Udp => ["udp", "udp6"],
    };
    for list in lists {
        let sockets = match std::fs::read_to_string(Path::new("/proc/net").join(list)) {
            Ok(sockets) => sockets,
            // The machine has no IPv6.
            Err(error) if error.kind() == ErrorKind::NotFound && list.ends_with('6') => continue,
            Err(error) => return Err(error),
        };
        if sockets
            .lines()
            .any(|socket| holds_port(socket, protocol, port))
        {
            return Ok(true);
        }
    }
    Ok(false)
}

/// Whether a line of the kernel's list of sockets describes a listening TCP socket or a bound UDP
/// socket at the port.
fn holds_port(socket: &str, protocol: Protocol, port: u16) -> bool {
    let mut fields = socket.split_whitespace().skip(1);
    let local_port = fields
        .next()
        .and_then(|address| address.rsplit_once(':'))
        .and_then(|(_, digits)| u16::from_str_radix(digits, 16).ok());
    let state = fields.nth(1);
    local_port == Some(port) && (protocol == Protocol::Udp || state == Some(LISTEN_STATE))
}

/// Claims a port for this process until it ends, with a lock on a file that is never removed.
/// Returns `false` if the port is already claimed.
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
