//! Client connections: the listener, the sessions and their cancel keys.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::poll_fn;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::task::{Poll, Waker};
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{future, FutureExt};
use rand_chacha::rand_core::RngCore;
use rand_chacha::ChaCha8Rng;

use super::codec::{self, Malformed, Startup};
use super::query_fields;
use crate::config::NameTable;
use crate::connection_limit::{ConnectionLimiter, ConnectionSlot, ConnectionState, RECENTLY_IDLE};
use crate::drain::DrainState;
use crate::exchange::{Answer, Exchange, Request, RequestSink};
use crate::log;
use crate::net;
use crate::stats::{Ending, Stats};

mod session;

use session::Session;

/// How long a client may take over its start-up packet, and over the rest of a message that it has begun,
/// however it trickles in: one that says half of something is owed an error or a close within 3 s.
const STARTUP: Duration = Duration::from_millis(2_000);
const MESSAGE: Duration = Duration::from_millis(2_000);
/// How long a session may stay open with nothing asked; clients close theirs after 4 s.
const IDLE: Duration = Duration::from_secs(60);
/// How long a client may take no byte of an answer.
const STALLED: Duration = Duration::from_secs(10);
/// Bytes read ahead while a request is open.
const READ_AHEAD: usize = 16 * 1024;
/// How often idle connections are looked at while they have to end, and whether a client that sent more than is read
/// ahead is still there.
const LOOK: Duration = Duration::from_millis(20);
/// The pause after the machine gave no connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// How long a connection for which there is no room may take over its start-up packet.
const TURNED_AWAY: Duration = Duration::from_millis(250);
/// Ends that came from the client: it reads nothing more.
const BY_CLIENT: [Reason; 7] = [
    "closed",
    "left",
    "reset",
    "terminated",
    "cancel_request",
    "stalled",
    "startup_timeout",
];

/// Why a connection ended; the log's reason code.
type Reason = &'static str;

/// What a CancelRequest reaches of a session.
struct Key {
    secret: u32,
    /// The query at hand, or the one that is here and not yet read, is cancelled.
    cancelled: Cell<bool>,
    waker: RefCell<Option<Waker>>,
    guest: Rc<ConnectionSlot>,
    stream: Rc<Async<TcpStream>>,
}

impl Key {
    /// Whether there is a query that a cancel can mean: one that is open, or one that waits in the socket to be read.
    /// A cancel that comes between queries meant an earlier one.
    fn has_query(&self) -> bool {
        !self.guest.is_idle() || matches!(self.stream.get_ref().peek(&mut [0]), Ok(n) if n > 0)
    }
}

/// All client connections.
pub struct Sessions {
    executor: Rc<LocalExecutor<'static>>,
    intake: Rc<dyn RequestSink>,
    names: NameTable,
    stats: Rc<Stats>,
    room: ConnectionLimiter,
    rng: RefCell<ChaCha8Rng>,
    keys: RefCell<HashMap<u32, Rc<Key>>>,
    busy: Cell<usize>,
    door: Rc<DrainState>,
}

impl Sessions {
    /// Creates the client side; it holds at most `most` connections.
    #[must_use]
    pub fn new(
        executor: Rc<LocalExecutor<'static>>,
        intake: Rc<dyn RequestSink>,
        names: NameTable,
        stats: Rc<Stats>,
        door: Rc<DrainState>,
        most: usize,
        rng: ChaCha8Rng,
    ) -> Rc<Self> {
        Rc::new(Sessions {
            executor,
            intake,
            names,
            stats,
            room: ConnectionLimiter::new(most),
            rng: RefCell::new(rng),
            keys: RefCell::default(),
            busy: Cell::new(0),
            door,
        })
    }

    /// Connections that are open.
    #[must_use]
    pub fn len(&self) -> usize {
        self.room.len()
    }

    /// Changes how many connections there may be.
    pub fn resize(&self, most: usize) {
        self.room.resize(most, self.intake.now());
    }

    /// Sends home, for ever, the connections that are idle while they have to end.
    pub async fn keep_door(&self) {
        loop {
            let now = self.intake.now();
            if let Some(reason) = self.door.sends_home(now) {
                self.room.dismiss_idle(now, RECENTLY_IDLE, reason);
            }
            Timer::after(LOOK).await;
        }
    }

    /// Connections that are just being closed.
    #[must_use]
    pub fn closing(&self) -> usize {
        self.room.being_closed()
    }

    /// Sends all that are idle home at once.
    pub fn dismiss(&self, reason: &'static str) {
        self.room.dismiss_idle(self.intake.now(), 0, reason);
    }

    /// Requests read whole whose answer is not yet written.
    #[must_use]
    pub fn busy(&self) -> usize {
        self.busy.get()
    }

    /// Takes connections for ever.
    pub async fn listen(self: Rc<Self>, listener: Rc<Async<TcpListener>>) {
        let mut told = None;
        loop {
            match listener.accept().await {
                Ok((stream, peer)) => {
                    told = None;
                    self.welcome(stream, peer);
                }
                Err(e) => {
                    // The same failure again is not told. Where descriptors have run out, whoever else took them, one
                    // that is idle gives way.
                    if told.replace(e.kind()) != Some(e.kind()) {
                        log::line(format_args!("client accept failed: {e}"));
                    }
                    self.room.give_way(self.intake.now());
                    Timer::after(ACCEPT_PAUSE).await;
                }
            }
            // A burst of connections must not keep those that are open from being read.
            future::yield_now().await;
        }
    }

    /// Closes the listener. What the machine holds for it is taken in the same turn: it would be reset with it,
    /// and its requests turned back unheard.
    pub fn shut(self: &Rc<Self>, listener: Rc<Async<TcpListener>>) {
        while let Ok((stream, peer)) = listener.get_ref().accept() {
            match Async::new(stream) {
                Ok(stream) => self.welcome(stream, peer),
                Err(e) => log::line(format_args!("client accept failed: {e}")),
            }
        }
    }

    fn welcome(self: &Rc<Self>, stream: Async<TcpStream>, peer: SocketAddr) {
        match self.room.enter(self.intake.now()) {
            Some(guest) => self
                .executor
                .spawn(Rc::clone(self).drive(stream, peer, guest))
                .detach(),
            None => self
                .executor
                .spawn(Rc::clone(self).turn_away(stream, peer))
                .detach(),
        }
    }

    /// Every connection has a request open. A new one gets its error once its start-up packet is read, since a close
    /// over unread bytes may take the error along; a CancelRequest is heard all the same, as it frees a place.
    async fn turn_away(self: Rc<Self>, stream: Async<TcpStream>, peer: SocketAddr) {
        let _ = stream.get_ref().set_nodelay(true);
        let closing = self.room.closing();
        let mut input = Vec::new();
        let startup = async {
            loop {
                match codec::startup(&input) {
                    Ok(Some((Startup::Cancel(pid, secret), _))) => return Some((pid, secret)),
                    Ok(Some((Startup::Encryption, size))) => {
                        input.drain(..size);
                        let _ = stream.get_ref().write(b"N");
                    }
                    Ok(None) => {
                        let mut chunk = [0u8; 512];
                        match stream.read_with(|mut s| s.read(&mut chunk)).await {
                            Ok(n) if n > 0 => {
                                input.extend_from_slice(chunk.get(..n).unwrap_or_default())
                            }
                            _ => return None,
                        }
                    }
                    _ => return None,
                }
            }
        };
        let late = async {
            // Where many are just being closed, what is here has to do.
            Timer::after(if closing.is_some() {
                TURNED_AWAY
            } else {
                Duration::ZERO
            })
            .await;
            None
        };
        if let Some((pid, secret)) = startup.or(late).await {
            self.cancel(pid, secret);
            return log::ended("client", peer, "cancel_request", 0);
        }
        let mut output = Vec::new();
        codec::error(
            &mut output,
            "FATAL",
            "53300",
            "sorry, too many clients already",
            None,
        );
        // One write, which an empty socket takes whole.
        let _ = stream.get_ref().write(&output);
        if closing.is_some() {
            net::linger(&stream).await;
        }
        log::ended("client", peer, "too_many", 0);
    }

    async fn drive(
        self: Rc<Self>,
        stream: Async<TcpStream>,
        peer: SocketAddr,
        guest: Rc<ConnectionSlot>,
    ) {
        let _ = stream.get_ref().set_nodelay(true);
        let stream = Rc::new(stream);
        let mut session = Session {
            sessions: &self,
            guest: &guest,
            stream: Rc::clone(&stream),
            input: Vec::new(),
            read_at: 0,
            output: Vec::new(),
            key: None,
            requests: 0,
        };
        let reason = match session.serve().await {
            Ok(never) => match never {},
            Err(reason) => reason,
        };
        let (requests, key) = (session.requests, session.key.take());
        drop(session);
        if let Some((pid, _)) = key {
            self.keys.borrow_mut().remove(&pid);
        }
        self.room.leave(&guest);
        // What a client sends just then must not turn the close into a reset, which may take its last answer along.
        // It is not served any more: it crossed the close, and its client tries elsewhere.
        let closing = self.room.closing().filter(|_| !BY_CLIENT.contains(&reason));
        if closing.is_some() {
            net::linger(&stream).await;
        }
        drop(stream);
        log::ended("client", peer, reason, requests);
    }

    fn new_key(&self, guest: &Rc<ConnectionSlot>, stream: &Rc<Async<TcpStream>>) -> (u32, Rc<Key>) {
        let mut rng = self.rng.borrow_mut();
        let mut keys = self.keys.borrow_mut();
        loop {
            let pid = rng.next_u32() >> 1;
            if pid != 0 && !keys.contains_key(&pid) {
                let (cancelled, waker) = (Cell::new(false), RefCell::default());
                let (guest, stream) = (Rc::clone(guest), Rc::clone(stream));
                let key = Rc::new(Key {
                    secret: rng.next_u32(),
                    cancelled,
                    waker,
                    guest,
                    stream,
                });
                keys.insert(pid, Rc::clone(&key));
                return (pid, key);
            }
        }
    }

    fn cancel(&self, pid: u32, secret: u32) {
        let keys = self.keys.borrow();
        if let Some(key) = keys
            .get(&pid)
            .filter(|k| k.secret == secret && k.has_query())
        {
            key.cancelled.set(true);
            if let Some(waker) = key.waker.borrow_mut().take() {
                waker.wake();
            }
        }
    }
}

/// Counts a request as busy until its answer is written, whichever way that ends.
struct Busy<'a>(&'a Cell<usize>);

impl<'a> Busy<'a> {
    fn new(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        Busy(count)
    }
}

impl Drop for Busy<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

#[cfg(test)]
#[allow(clippy::unwrap_used, clippy::panic, clippy::indexing_slicing)]
mod tests;
