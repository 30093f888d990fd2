//! Client connections: the listener, the sessions and their cancel keys.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::{pending, poll_fn};
use std::io::{Read, Write};
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
use super::fields;
use crate::config::Names;
use crate::door::Door;
use crate::exchange::{Answer, Exchange, Intake, Request};
use crate::log;
use crate::net;
use crate::room::{Guest, Room, Stage};
use crate::stats::{Ending, Stats};

mod one;

use one::Session;

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
/// How often idle connections are looked at while they have to end.
const LOOK: Duration = Duration::from_millis(20);
/// The pause after the machine gave no connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Why a connection ended; the log's reason code.
type Reason = &'static str;

/// What a CancelRequest reaches of a session.
struct Key {
    secret: u32,
    cancelled: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

/// All client connections.
pub struct Sessions {
    executor: Rc<LocalExecutor<'static>>,
    intake: Rc<dyn Intake>,
    names: Names,
    stats: Rc<Stats>,
    room: Room,
    rng: RefCell<ChaCha8Rng>,
    keys: RefCell<HashMap<u32, Rc<Key>>>,
    busy: Cell<usize>,
    door: Rc<Door>,
}

impl Sessions {
    /// Creates the client side; it holds at most `most` connections.
    #[must_use]
    pub fn new(
        executor: Rc<LocalExecutor<'static>>,
        intake: Rc<dyn Intake>,
        names: Names,
        stats: Rc<Stats>,
        door: Rc<Door>,
        most: usize,
        rng: ChaCha8Rng,
    ) -> Rc<Self> {
        Rc::new(Sessions {
            executor,
            intake,
            names,
            stats,
            room: Room::new(most),
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
                self.room.dismiss_idle(now, reason);
            }
            Timer::after(LOOK).await;
        }
    }

    /// Requests read whole whose answer is not yet written.
    #[must_use]
    pub fn busy(&self) -> usize {
        self.busy.get()
    }

    /// Takes connections for ever.
    pub async fn listen(self: Rc<Self>, listener: Rc<Async<TcpListener>>) {
        loop {
            match listener.accept().await {
                Ok((stream, peer)) => self.welcome(stream, peer),
                Err(e) => {
                    log::line(format_args!("client accept failed: {e}"));
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
            Some(guest) => self.executor.spawn(Rc::clone(self).drive(stream, peer, guest)).detach(),
            None => turn_away(&stream, peer),
        }
    }

    async fn drive(self: Rc<Self>, stream: Async<TcpStream>, peer: SocketAddr, guest: Rc<Guest>) {
        let _ = stream.get_ref().set_nodelay(true);
        let mut session = Session {
            sessions: &self,
            guest: &guest,
            stream,
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
        log::ended("client", peer, reason, requests);
    }

    fn new_key(&self) -> (u32, Rc<Key>) {
        let mut rng = self.rng.borrow_mut();
        let mut keys = self.keys.borrow_mut();
        loop {
            let pid = rng.next_u32() >> 1;
            if pid != 0 && !keys.contains_key(&pid) {
                let key =
                    Key { secret: rng.next_u32(), cancelled: Cell::new(false), waker: RefCell::default() };
                let key = Rc::new(key);
                keys.insert(pid, Rc::clone(&key));
                return (pid, key);
            }
        }
    }

    fn cancel(&self, pid: u32, secret: u32) {
        let keys = self.keys.borrow();
        if let Some(key) = keys.get(&pid).filter(|k| k.secret == secret) {
            key.cancelled.set(true);
            if let Some(waker) = key.waker.borrow_mut().take() {
                waker.wake();
            }
        }
    }
}

/// Every connection has a request open: a new one gets its error at once, in one write that its empty socket
/// takes whole, and is closed.
fn turn_away(stream: &Async<TcpStream>, peer: SocketAddr) {
    let mut output = Vec::new();
    codec::error(&mut output, "FATAL", "53300", "sorry, too many clients already", None);
    let _ = stream.get_ref().write(&output);
    log::ended("client", peer, "too_many", 0);
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
