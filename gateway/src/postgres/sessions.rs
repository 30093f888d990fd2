//! Client connections: their listener, and the state that all sessions share.

use std::cell::Cell;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{future, FutureExt};
use rand_chacha::ChaCha8Rng;
use violetgate_memory_budget::MemoryBudget;

use super::cancellation::{CancelKey, CancelTargets};
use super::codec::{self, Startup};
use super::session::Session;
use super::session_end::SessionEnd;
use crate::config::NameTable;
use crate::connection_limit::{ConnectionLimiter, ConnectionSlot, RECENTLY_IDLE_US};
use crate::drain::DrainState;
use crate::exchange::RequestSink;
use crate::log;
use crate::net;
use crate::stats::Stats;

/// Interval at which idle connections are closed while the process drains or hands over.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// Maximum time for the start-up packet of a connection that is to be rejected.
const REJECTED_STARTUP_TIMEOUT: Duration = Duration::from_millis(250);
const STARTUP_CHUNK_BYTES: usize = 512;

/// The parts of the gateway that the front end uses.
pub struct SessionParts {
    /// The executor of the sessions' tasks.
    pub executor: Rc<LocalExecutor<'static>>,
    /// The receiver of requests.
    pub sink: Rc<dyn RequestSink>,
    /// The names of the classes and tenants that requests may state.
    pub names: NameTable,
    /// The request metrics.
    pub stats: Rc<Stats>,
    /// The drain state of this process.
    pub drain: Rc<DrainState>,
    /// The limit of the memory that clients can make this process hold.
    pub memory: MemoryBudget,
}

/// All client connections of the PostgreSQL front end, and the state that they share.
pub struct Sessions {
    executor: Rc<LocalExecutor<'static>>,
    pub(super) sink: Rc<dyn RequestSink>,
    pub(super) names: NameTable,
    pub(super) stats: Rc<Stats>,
    limiter: ConnectionLimiter,
    pub(super) memory: MemoryBudget,
    pub(super) cancel_targets: CancelTargets,
    pub(super) busy: Cell<usize>,
    pub(super) drain: Rc<DrainState>,
}

impl Sessions {
    /// Creates the front end for at most `max_connections` connections. Cancel keys are drawn from
    /// `rng`.
    #[must_use]
    pub fn new(parts: SessionParts, max_connections: usize, rng: ChaCha8Rng) -> Rc<Self> {
        Rc::new(Sessions {
            executor: parts.executor,
            sink: parts.sink,
            names: parts.names,
            stats: parts.stats,
            limiter: ConnectionLimiter::new(max_connections, parts.memory.clone()),
            memory: parts.memory,
            cancel_targets: CancelTargets::new(rng),
            busy: Cell::new(0),
            drain: parts.drain,
        })
    }

    /// Returns the number of connections that count towards the limit.
    #[must_use]
    pub fn len(&self) -> usize {
        self.limiter.len()
    }

    /// Changes the maximum number of connections. Connections over it are evicted unless they are
    /// busy.
    pub fn resize(&self, max_connections: usize) {
        self.limiter.resize(max_connections, self.sink.now());
    }

    /// Closes idle connections while the process drains or hands over. Never returns.
    pub async fn close_idle_while_draining(&self) {
        loop {
            let now = self.sink.now();
            if let Some(reason) = self.drain.close_reason(now) {
                self.limiter.close_idle(now, RECENTLY_IDLE_US, reason);
            }
            Timer::after(IDLE_CHECK_INTERVAL).await;
        }
    }

    /// Returns the number of connections that linger: only unread input is still read and discarded
    /// before they are closed.
    #[must_use]
    pub fn lingering(&self) -> usize {
        self.limiter.lingering()
    }

    /// Requests a close of all idle connections, except those whose clients need this process.
    pub fn close_idle(&self, reason: &'static str) {
        self.limiter.close_idle(self.sink.now(), 0, reason);
    }

    /// Returns the number of queries that have been read and whose answer is not yet written.
    #[must_use]
    pub fn busy_count(&self) -> usize {
        self.busy.get()
    }

    /// Accepts connections from `listener`. Never returns.
    pub async fn listen(self: Rc<Self>, listener: Rc<Async<TcpListener>>) {
        let mut last_failure = None;
        loop {
            match listener.accept().await {
                Ok((stream, peer)) => {
                    last_failure = None;
                    self.accept(stream, peer);
                }
                Err(error) => {
                    // Only the first of several equal failures is logged.
                    if last_failure.replace(error.kind()) != Some(error.kind()) {
                        log::write_line(format_args!("client accept failed: {error}"));
                    }
                    // The usual cause is a lack of file descriptors, so a connection is evicted to
                    // free one. This is done even if another part of the process holds most of
                    // them.
                    self.limiter.evict_one(self.sink.now());
                    Timer::after(ACCEPT_PAUSE).await;
                }
            }
            // A burst of new connections must not keep the open ones from being read.
            future::yield_now().await;
        }
    }

    /// Closes the listener after accepting the connections that the kernel has queued for it.
    /// Otherwise these would be reset, and their requests would not be served.
    pub fn close_listener(self: &Rc<Self>, listener: Rc<Async<TcpListener>>) {
        while let Ok((stream, peer)) = listener.get_ref().accept() {
            match Async::new(stream) {
                Ok(stream) => self.accept(stream, peer),
                Err(error) => log::write_line(format_args!("client accept failed: {error}")),
            }
        }
    }

    fn accept(self: &Rc<Self>, stream: Async<TcpStream>, peer: SocketAddr) {
        let _ = stream.get_ref().set_nodelay(true);
        match self.limiter.acquire(self.sink.now()) {
            Some(slot) => {
                let session = Rc::clone(self).run_session(stream, peer, slot);
                self.executor.spawn(session).detach();
            }
            None => {
                let rejection = Rc::clone(self).reject(stream, peer);
                self.executor.spawn(rejection).detach();
            }
        }
    }

    /// Rejects a connection because every other one up to the limit has an open request.
    ///
    /// The error is sent after the start-up packet is read, since closing a socket with unread
    /// input may destroy the error. A CancelRequest is still carried out, because the connection of
    /// the cancelled query can then be evicted.
    async fn reject(self: Rc<Self>, stream: Async<TcpStream>, peer: SocketAddr) {
        let linger = self.limiter.permit_linger();
        // If too many connections linger, only input that has already arrived is read.
        let timeout = linger
            .as_ref()
            .map_or(Duration::ZERO, |_| REJECTED_STARTUP_TIMEOUT);
        let timed_out = async {
            Timer::after(timeout).await;
            None
        };
        if let Some(key) = read_cancel_request(&stream).or(timed_out).await {
            self.cancel_targets.cancel(key);
            return log::connection_ended("client", peer, SessionEnd::CancelRequest, 0);
        }
        let mut output = Vec::new();
        codec::write_error(
            &mut output,
            &codec::ErrorResponse {
                severity: "FATAL",
                code: "53300",
                message: "sorry, too many clients already",
                hint: None,
            },
        );
        // The socket's send buffer is empty and larger than the error, so one write is enough.
        let _ = stream.get_ref().write(&output);
        if linger.is_some() {
            net::linger(&stream).await;
        }
        log::connection_ended("client", peer, SessionEnd::ConnectionLimit, 0);
    }

    async fn run_session(
        self: Rc<Self>,
        stream: Async<TcpStream>,
        peer: SocketAddr,
        slot: Rc<ConnectionSlot>,
    ) {
        let stream = Rc::new(stream);
        let mut session = Session::new(&self, &slot, Rc::clone(&stream));
        let end = session.run().await;
        let requests = session.requests();
        drop(session);
        self.limiter.release(&slot);
        // Input that arrives during the close would turn it into a reset, which may destroy the
        // last answer. So the input is read and discarded. A client that has sent a query in the
        // meantime sees the end of the stream and retries it on another connection.
        let linger = self.limiter.permit_linger();
        let linger = linger.filter(|_| !end.is_by_client());
        if linger.is_some() {
            net::linger(&stream).await;
        }
        drop(stream);
        log::connection_ended("client", peer, end, requests);
    }
}

/// Reads start-up packets, and declines encryption. Returns the key if the client sends a
/// CancelRequest, and `None` if it sends anything else or closes the connection.
async fn read_cancel_request(stream: &Async<TcpStream>) -> Option<CancelKey> {
    let mut input: Vec<u8> = Vec::new();
    loop {
        match codec::parse_startup(&input) {
            Ok(Some((Startup::Cancel(key), _))) => return Some(key),
            Ok(Some((Startup::Encryption, size))) => {
                input.drain(..size);
                let _ = stream.get_ref().write(&[codec::NO_ENCRYPTION]);
            }
            Ok(None) => {
                let mut chunk = [0u8; STARTUP_CHUNK_BYTES];
                let read = stream.read_with(|mut socket| socket.read(&mut chunk)).await;
                let size = read.ok().filter(|size| *size > 0)?;
                input.extend_from_slice(chunk.get(..size).unwrap_or_default());
            }
            _ => return None,
        }
    }
}
