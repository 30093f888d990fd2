//! Many clients at a time that make a gateway hold what they have sent. A client whose connection the
//! gateway closes connects again at once.

pub mod requests;

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use rustix::net::sockopt;

/// How often each client is looked at.
const STEP_INTERVAL: Duration = Duration::from_millis(2);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
const SMALL_RECEIVE_BUFFER_BYTES: usize = 2 * 1024;

/// Returns the bytes that a client sends, given the number of its connection.
pub type Sends = Arc<dyn Fn(u64) -> Vec<u8> + Send + Sync>;

/// What the clients of a crowd do.
#[derive(Clone)]
pub struct Behaviour {
    /// What each client sends.
    pub sends: Sends,
    /// How many bytes of them it writes at a time.
    pub chunk_bytes: usize,
    /// The pause after each chunk.
    pub chunk_interval: Duration,
    /// Whether it reads what it is sent. If not, its receive buffer is as small as possible.
    pub reads: bool,
}

impl Behaviour {
    /// Clients that send all their bytes at once and read what they are sent.
    #[must_use]
    pub fn send_at_once(sends: impl Fn(u64) -> Vec<u8> + Send + Sync + 'static) -> Self {
        Behaviour {
            sends: Arc::new(sends),
            chunk_bytes: usize::MAX,
            chunk_interval: Duration::ZERO,
            reads: true,
        }
    }
}

struct Client {
    stream: TcpStream,
    unsent: Vec<u8>,
    next_write: Instant,
}

impl Client {
    fn connect(addr: SocketAddr, behaviour: &Behaviour, number: u64) -> std::io::Result<Self> {
        let stream = TcpStream::connect_timeout(&addr, CONNECT_TIMEOUT)?;
        if !behaviour.reads {
            sockopt::set_socket_recv_buffer_size(&stream, SMALL_RECEIVE_BUFFER_BYTES)?;
        }
        stream.set_nonblocking(true)?;
        Ok(Client {
            stream,
            unsent: (behaviour.sends)(number),
            next_write: Instant::now(),
        })
    }

    /// Writes and reads what is possible. Returns whether the connection is still open.
    fn step(&mut self, behaviour: &Behaviour) -> bool {
        let is_open = if behaviour.reads {
            self.read()
        } else {
            !self.is_reset()
        };
        is_open && self.write(behaviour)
    }

    /// Whether the gateway has reset the connection, which shows without reading.
    fn is_reset(&self) -> bool {
        self.stream.take_error().ok().flatten().is_some()
    }

    fn write(&mut self, behaviour: &Behaviour) -> bool {
        if self.unsent.is_empty() || Instant::now() < self.next_write {
            return true;
        }
        let end = self.unsent.len().min(behaviour.chunk_bytes);
        match self
            .stream
            .write(self.unsent.get(..end).unwrap_or_default())
        {
            Ok(size) => {
                self.unsent.drain(..size);
                self.next_write = Instant::now() + behaviour.chunk_interval;
                true
            }
            Err(error) => error.kind() == ErrorKind::WouldBlock,
        }
    }

    fn read(&mut self) -> bool {
        let mut buffer = [0; 16 * 1024];
        match self.stream.read(&mut buffer) {
            Ok(size) => size > 0,
            Err(error) => error.kind() == ErrorKind::WouldBlock,
        }
    }
}

/// A crowd that stays until it is dropped.
pub struct Crowd {
    is_over: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Crowd {
    /// Keeps `size` clients connected to an address.
    #[must_use]
    pub fn start(addr: SocketAddr, size: usize, behaviour: Behaviour) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let ending = Arc::clone(&is_over);
        let thread = std::thread::spawn(move || run(addr, size, &behaviour, &ending));
        Crowd {
            is_over,
            thread: Some(thread),
        }
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
        let _ = self.thread.take().map(JoinHandle::join);
    }
}

fn run(addr: SocketAddr, size: usize, behaviour: &Behaviour, is_over: &AtomicBool) {
    let mut clients: Vec<Client> = Vec::new();
    let mut number = 0;
    while !is_over.load(Ordering::Relaxed) {
        while clients.len() < size {
            let Ok(client) = Client::connect(addr, behaviour, number) else {
                break;
            };
            number += 1;
            clients.push(client);
        }
        clients.retain_mut(|client| client.step(behaviour));
        std::thread::sleep(STEP_INTERVAL);
    }
}
