//! What lies between the members: a datagram relay before each, which knows by its source who sent what, and loses,
//! delays, doubles or cuts by ordered pair. It must never read what it passes on.

use std::collections::BTreeMap;
use std::io::Result;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use rand_chacha::rand_core::{RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// How a link treats what is sent over it.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Ills {
    /// Nothing passes.
    pub cut: bool,
    /// The share that is lost.
    pub loss: f64,
    /// The share that comes twice.
    pub doubled: f64,
    /// Each comes later by up to this.
    pub delay: Duration,
}

type Links = Arc<Mutex<BTreeMap<(usize, usize), Ills>>>;

/// The relays before all members.
pub struct Relay {
    links: Links,
    over: Arc<AtomicBool>,
    /// Where each member is reached by the others.
    pub before: Vec<SocketAddr>,
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.over.store(true, SeqCst);
    }
}

impl Relay {
    /// Relays before members that listen at these addresses. Draws follow from the seed.
    ///
    /// # Errors
    ///
    /// The machine gives no address.
    pub fn new(members: &[SocketAddr], seed: u64) -> Result<Self> {
        let (links, over) = (Links::default(), Arc::new(AtomicBool::new(false)));
        let mut before = Vec::new();
        for (to, addr) in members.iter().copied().enumerate() {
            let socket = UdpSocket::bind("127.0.0.1:0")?;
            socket.set_read_timeout(Some(Duration::from_millis(5)))?;
            before.push(socket.local_addr()?);
            let (links, over) = (Arc::clone(&links), Arc::clone(&over));
            let members = members.to_vec();
            let rng = ChaCha8Rng::seed_from_u64(seed.wrapping_add(to as u64));
            std::thread::spawn(move || pass(&socket, (to, addr), &members, &links, &over, rng));
        }
        Ok(Relay {
            links,
            over,
            before,
        })
    }

    /// Sets how one direction of a link fares.
    pub fn set(&self, from: usize, to: usize, ills: Ills) {
        self.links
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert((from, to), ills);
    }

    /// The same for all links.
    pub fn set_all(&self, ills: Ills) {
        let all = self.before.len();
        (0..all)
            .flat_map(|a| (0..all).map(move |b| (a, b)))
            .for_each(|(a, b)| self.set(a, b, ills));
    }
}

fn pass(
    socket: &UdpSocket,
    (to, addr): (usize, SocketAddr),
    members: &[SocketAddr],
    links: &Links,
    over: &AtomicBool,
    mut rng: ChaCha8Rng,
) {
    let mut waiting: Vec<(Instant, Vec<u8>)> = Vec::new();
    let mut buffer = [0; 16 << 10];
    while !over.load(SeqCst) {
        if let Ok((size, from)) = socket.recv_from(&mut buffer) {
            let from = members
                .iter()
                .position(|m| *m == from)
                .unwrap_or(usize::MAX);
            let links = links.lock().unwrap_or_else(PoisonError::into_inner);
            let ills = links.get(&(from, to)).copied().unwrap_or_default();
            let mut draw = || rng.next_u32() as f64 / f64::from(u32::MAX);
            if !ills.cut && draw() >= ills.loss {
                let times = 1 + usize::from(draw() < ills.doubled);
                for _ in 0..times {
                    let bytes = buffer.get(..size).unwrap_or_default().to_vec();
                    waiting.push((Instant::now() + ills.delay.mul_f64(draw()), bytes));
                }
            }
        }
        let now = Instant::now();
        let (due, later): (Vec<_>, Vec<_>) = waiting.into_iter().partition(|(at, _)| *at <= now);
        waiting = later;
        for (_, bytes) in due {
            let _ = socket.send_to(&bytes, addr);
        }
    }
}
