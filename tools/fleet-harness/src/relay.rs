//! A datagram relay in front of each member that injects faults. It identifies the sender by the
//! datagram's source address, and drops, delays or duplicates datagrams by sender and receiver. It
//! never reads the contents.

use std::collections::BTreeMap;
use std::io::Result;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use rand_chacha::rand_core::{RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The interval at which a relay sends due datagrams and checks whether it has to end.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// The size of the receive buffer, larger than any datagram of the fleet.
const BUFFER_BYTES: usize = 16 << 10;

/// The faults of one direction of a link.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LinkFaults {
    /// Whether all datagrams are dropped.
    pub is_cut: bool,
    /// The fraction of datagrams that are dropped, from 0 to 1.
    pub loss: f64,
    /// The fraction of datagrams that arrive twice, from 0 to 1.
    pub duplication: f64,
    /// The maximum delay of a datagram; each is delayed by a random part of it.
    pub max_delay: Duration,
}

/// One direction of a link, identified by the members' numbers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Direction {
    from: usize,
    to: usize,
}

type Links = Arc<Mutex<BTreeMap<Direction, LinkFaults>>>;

/// The relays in front of all members. Their threads end after this is dropped.
pub struct Relay {
    links: Links,
    has_ended: Arc<AtomicBool>,
    /// The relay address of each member, at which the other members reach it.
    pub addrs: Vec<SocketAddr>,
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.has_ended.store(true, Ordering::SeqCst);
    }
}

impl Relay {
    /// Starts a relay in front of each member; the members listen at `member_addrs`. All random
    /// choices are derived from the seed.
    ///
    /// # Errors
    ///
    /// Returns an error if a socket can't be bound.
    pub fn new(member_addrs: &[SocketAddr], seed: u64) -> Result<Self> {
        let links = Links::default();
        let has_ended = Arc::new(AtomicBool::new(false));
        let mut addrs = Vec::new();
        for (to, member_addr) in member_addrs.iter().enumerate() {
            let socket = UdpSocket::bind("127.0.0.1:0")?;
            socket.set_read_timeout(Some(POLL_INTERVAL))?;
            addrs.push(socket.local_addr()?);
            let relay = MemberRelay {
                socket,
                to,
                member_addr: *member_addr,
                member_addrs: member_addrs.to_vec(),
                links: Arc::clone(&links),
                has_ended: Arc::clone(&has_ended),
                rng: ChaCha8Rng::seed_from_u64(seed.wrapping_add(to as u64)),
                delayed: Vec::new(),
            };
            std::thread::spawn(move || relay.run());
        }
        Ok(Relay {
            links,
            has_ended,
            addrs,
        })
    }

    /// Sets the faults of one direction of a link.
    pub fn set(&self, from: usize, to: usize, faults: LinkFaults) {
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        links.insert(Direction { from, to }, faults);
    }

    /// Sets the faults of all links, in both directions.
    pub fn set_all(&self, faults: LinkFaults) {
        for from in 0..self.addrs.len() {
            for to in 0..self.addrs.len() {
                self.set(from, to, faults);
            }
        }
    }
}

/// The relay in front of one member.
struct MemberRelay {
    socket: UdpSocket,
    /// The member's number.
    to: usize,
    member_addr: SocketAddr,
    member_addrs: Vec<SocketAddr>,
    links: Links,
    has_ended: Arc<AtomicBool>,
    rng: ChaCha8Rng,
    delayed: Vec<DelayedDatagram>,
}

struct DelayedDatagram {
    due_at: Instant,
    bytes: Vec<u8>,
}

impl MemberRelay {
    fn run(mut self) {
        let mut buffer = [0; BUFFER_BYTES];
        while !self.has_ended.load(Ordering::SeqCst) {
            if let Ok((size, from)) = self.socket.recv_from(&mut buffer) {
                self.schedule_or_drop(buffer.get(..size).unwrap_or_default(), from);
            }
            self.send_due();
        }
    }

    /// Drops a received datagram, or schedules one or two copies of it, by the link's faults.
    fn schedule_or_drop(&mut self, bytes: &[u8], from: SocketAddr) {
        let faults = self.faults_from(from);
        if faults.is_cut || self.random_fraction() < faults.loss {
            return;
        }
        let copies = 1 + usize::from(self.random_fraction() < faults.duplication);
        for _ in 0..copies {
            let delay = faults.max_delay.mul_f64(self.random_fraction());
            self.delayed.push(DelayedDatagram {
                due_at: Instant::now() + delay,
                bytes: bytes.to_vec(),
            });
        }
    }

    fn faults_from(&self, addr: SocketAddr) -> LinkFaults {
        let from = self.member_addrs.iter().position(|member| *member == addr);
        let direction = Direction {
            from: from.unwrap_or(usize::MAX),
            to: self.to,
        };
        let links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        links.get(&direction).copied().unwrap_or_default()
    }

    fn random_fraction(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / f64::from(u32::MAX)
    }

    fn send_due(&mut self) {
        let now = Instant::now();
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.delayed)
            .into_iter()
            .partition(|datagram| datagram.due_at <= now);
        self.delayed = later;
        for datagram in due {
            let _ = self.socket.send_to(&datagram.bytes, self.member_addr);
        }
    }
}
