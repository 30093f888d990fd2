//! The network between the instances of a cluster: a TCP relay for each ordered pair of members,
//! whose link can be cut.
//!
//! Bytes that are sent over a cut link are dropped. A connection that dropped bytes is closed when
//! the link is up again, because the rest of its stream would be incomplete.

use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Result, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::Arc;
use std::time::Duration;

/// The time within which an idle connection notices that its link was cut or the network dropped.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);
const BUFFER_BYTES: usize = 64 * 1024;

/// Whether a link forwards bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkState {
    /// The link forwards bytes.
    Up,
    /// The link drops bytes.
    Cut,
}

/// The direction of a link, as the ids of the two members.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Direction {
    from: u64,
    to: u64,
}

/// The state of a link, shared by its relay and by [`ClusterNetwork`], which cuts it.
#[derive(Clone)]
struct LinkControl {
    is_cut: Arc<AtomicBool>,
    has_ended: Arc<AtomicBool>,
}

impl LinkControl {
    fn is_cut(&self) -> bool {
        self.is_cut.load(SeqCst)
    }

    fn has_ended(&self) -> bool {
        self.has_ended.load(SeqCst)
    }
}

struct Link {
    relay_addr: SocketAddr,
    control: LinkControl,
}

/// The links between all members of a cluster. The relays end when it is dropped.
pub struct ClusterNetwork {
    links: BTreeMap<Direction, Link>,
    has_ended: Arc<AtomicBool>,
}

impl Drop for ClusterNetwork {
    fn drop(&mut self) {
        self.has_ended.store(true, SeqCst);
    }
}

impl ClusterNetwork {
    /// Starts the relays between `members`, which are listen addresses by member id.
    ///
    /// # Errors
    ///
    /// A relay can't listen.
    pub fn new(members: &BTreeMap<u64, SocketAddr>) -> Result<Self> {
        let has_ended = Arc::new(AtomicBool::new(false));
        let mut links = BTreeMap::new();
        for from in members.keys().copied() {
            for (to, addr) in members.iter().filter(|(to, _)| **to != from) {
                let control = LinkControl {
                    is_cut: Arc::default(),
                    has_ended: Arc::clone(&has_ended),
                };
                let relay_addr = start_relay(*addr, control.clone())?;
                let direction = Direction { from, to: *to };
                let link = Link {
                    relay_addr,
                    control,
                };
                links.insert(direction, link);
            }
        }
        Ok(ClusterNetwork { links, has_ended })
    }

    /// Returns the relay addresses at which `member` reaches each other member, by member id.
    #[must_use]
    pub fn addresses_seen_from(&self, member: u64) -> BTreeMap<u64, SocketAddr> {
        let outgoing = self.links.iter().filter(|(link, _)| link.from == member);
        outgoing
            .map(|(direction, link)| (direction.to, link.relay_addr))
            .collect()
    }

    /// Sets the state of the link from one member to another. The opposite direction is unchanged.
    pub fn set_link(&self, from: u64, to: u64, state: LinkState) {
        if let Some(link) = self.links.get(&Direction { from, to }) {
            link.control.is_cut.store(state == LinkState::Cut, SeqCst);
        }
    }

    /// Sets the state of all links of a member, in both directions.
    pub fn set_links_of(&self, member: u64, state: LinkState) {
        for direction in self.links.keys() {
            if direction.from == member || direction.to == member {
                self.set_link(direction.from, direction.to, state);
            }
        }
    }
}

fn start_relay(target: SocketAddr, control: LinkControl) -> Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    listener.set_nonblocking(true)?;
    let relay_addr = listener.local_addr()?;
    std::thread::spawn(move || accept_connections(&listener, target, &control));
    Ok(relay_addr)
}

fn accept_connections(listener: &TcpListener, target: SocketAddr, control: &LinkControl) {
    while !control.has_ended() {
        match listener.accept() {
            Ok((stream, _)) => relay_connection(stream, target, control),
            Err(_) => std::thread::sleep(CHECK_INTERVAL),
        }
    }
}

fn relay_connection(inbound: TcpStream, target: SocketAddr, control: &LinkControl) {
    // Over a cut link, the relay accepts the connection but forwards nothing.
    let outbound = if control.is_cut() {
        None
    } else {
        TcpStream::connect(target).ok()
    };
    let Some(outbound) = outbound else {
        let control = control.clone();
        std::thread::spawn(move || hold_while_cut(inbound, &control));
        return;
    };
    for (from, to) in [
        (inbound.try_clone(), outbound.try_clone()),
        (Ok(outbound), Ok(inbound)),
    ] {
        let (Ok(from), Ok(to)) = (from, to) else {
            continue;
        };
        let control = control.clone();
        std::thread::spawn(move || forward_bytes(from, to, &control));
    }
}

fn hold_while_cut(stream: TcpStream, control: &LinkControl) {
    while control.is_cut() && !control.has_ended() {
        std::thread::sleep(CHECK_INTERVAL);
    }
    drop(stream);
}

fn forward_bytes(mut from: TcpStream, mut to: TcpStream, control: &LinkControl) {
    let _ = from.set_nodelay(true);
    let _ = to.set_nodelay(true);
    let _ = from.set_nonblocking(false);
    let _ = from.set_read_timeout(Some(CHECK_INTERVAL));
    let mut buffer = vec![0; BUFFER_BYTES];
    let mut bytes_dropped = false;
    while !control.has_ended() {
        let is_cut = control.is_cut();
        if bytes_dropped && !is_cut {
            break;
        }
        match from.read(&mut buffer) {
            Ok(0) => break,
            Ok(_) if is_cut => bytes_dropped = true,
            Ok(size) => {
                if to
                    .write_all(buffer.get(..size).unwrap_or_default())
                    .is_err()
                {
                    break;
                }
            }
            Err(error) if is_timeout(error.kind()) => {}
            Err(_) => break,
        }
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}

fn is_timeout(kind: ErrorKind) -> bool {
    matches!(kind, ErrorKind::WouldBlock | ErrorKind::TimedOut)
}
