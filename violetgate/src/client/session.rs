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

struct Session<'a> {
    sessions: &'a Rc<Sessions>,
    guest: &'a Guest,
    stream: Async<TcpStream>,
    input: Vec<u8>,
    /// When the last bytes were read.
    read_at: u64,
    output: Vec<u8>,
    key: Option<(u32, Rc<Key>)>,
    requests: u64,
}

/// What ended the wait for an answer.
enum Waited {
    Answer(Answer),
    Cancelled,
    Read(std::io::Result<usize>),
}

impl Session<'_> {
    async fn serve(&mut self) -> Result<std::convert::Infallible, Reason> {
        let guest = self.guest;
        let late = async {
            Timer::after(STARTUP).await;
            Err("startup_timeout")
        };
        let evicted = async { Err(guest.gives_way().await) };
        // What has been read comes first: a request that is here already is still served.
        self.start().or(evicted).or(late).await?;
        // By when the rest of a message that has begun is due.
        let mut whole_by = None;
        let mut skipping = false; // an extended query failed: its messages are skipped up to Sync
        loop {
            let (kind, body, size) = match codec::message(&self.input) {
                Ok(Some(message)) => message,
                Ok(None) => {
                    let (stage, until, reason) = if self.input.is_empty() {
                        (Stage::Idle, Instant::now() + IDLE, "idle")
                    } else {
                        let by = *whole_by.get_or_insert_with(|| Instant::now() + MESSAGE);
                        (Stage::Mute, by, "message_timeout")
                    };
                    guest.is(stage, self.sessions.intake.now());
                    let late = async {
                        Timer::at(until).await;
                        Err(reason)
                    };
                    let evicted = async { Err(guest.gives_way().await) };
                    self.read().or(evicted).or(late).await?;
                    continue;
                }
                Err(e) => return self.break_off(e).await,
            };
            whole_by = None;
            match kind {
                b'Q' => {
                    let sql = match codec::query(body) {
                        Ok(sql) => sql.to_vec(),
                        Err(e) => return self.break_off(e).await,
                    };
                    self.input.drain(..size);
                    if skipping {
                        continue;
                    }
                    self.query(&sql).await?;
                    let reason = self.sessions.door.sends_home(self.sessions.intake.now());
                    if let Some(reason) = reason.filter(|_| self.input.is_empty()) {
                        return Err(reason);
                    }
                    future::yield_now().await;
                    continue;
                }
                b'X' => return Err("terminated"),
                b'S' => {
                    skipping = false;
                    codec::ready(&mut self.output);
                }
                b'P' | b'B' | b'D' | b'E' | b'C' | b'H' if skipping => {}
                b'P' | b'B' | b'D' | b'E' | b'C' => {
                    skipping = true;
                    self.fail("0A000", "only simple queries are served here");
                }
                b'F' => {
                    self.fail("0A000", "function calls are not served here");
                    codec::ready(&mut self.output);
                }
                b'p' => return self.break_off(Malformed("unexpected password message")).await,
                // Flush; copy data that nobody asked for is skipped, as PostgreSQL does.
                _ => {}
            }
            self.input.drain(..size);
            self.write().await?;
            // A client that sends without end always has more to read: the others come in between.
            future::yield_now().await;
        }
    }

    async fn start(&mut self) -> Result<(), Reason> {
        loop {
            match codec::startup(&self.input) {
                Ok(None) => {
                    self.read().await?;
                    continue;
                }
                Ok(Some((Startup::Encryption, size))) => {
                    self.input.drain(..size);
                    self.output.push(b'N');
                    self.write().await?;
                }
                Ok(Some((Startup::Cancel(pid, secret), _))) => {
                    self.sessions.cancel(pid, secret);
                    return Err("cancel_request");
                }
                Ok(Some((Startup::Begin { user: None, .. }, _))) => {
                    let message = "no PostgreSQL user name specified in startup packet";
                    codec::error(&mut self.output, "FATAL", "28000", message, None);
                    self.write().await?;
                    return Err("no_user");
                }
                Ok(Some((Startup::Begin { minor, options, .. }, size))) => {
                    let (pid, key) = self.sessions.new_key();
                    codec::welcome(&mut self.output, minor, &options, pid, key.secret);
                    self.key = Some((pid, key));
                    self.input.drain(..size);
                    return self.write().await;
                }
                Err(e) => return self.break_off(e).await.map(|never| match never {}),
            }
        }
    }

    /// Answers what breaks the protocol; nothing that follows on such a connection can be trusted.
    async fn break_off(&mut self, e: Malformed) -> Result<std::convert::Infallible, Reason> {
        codec::error(&mut self.output, "FATAL", "08P01", e.0, None);
        self.write().await?;
        net::linger(&self.stream).await;
        Err("protocol_violation")
    }

    fn fail(&mut self, code: &str, message: &str) {
        codec::error(&mut self.output, "ERROR", code, message, None);
    }

    /// This front end takes no work: another try, elsewhere, is harmless.
    fn closing(&mut self) {
        let drains = self.sessions.door.is_closed();
        let what = if drains { "this server is being drained" } else { "this server is shutting down" };
        let hint = Some("Try again on a new connection.");
        codec::error(&mut self.output, "ERROR", "57P03", what, hint);
    }

    /// One simple query, up to its ReadyForQuery.
    async fn query(&mut self, sql: &[u8]) -> Result<(), Reason> {
        let sessions = Rc::clone(self.sessions);
        let _busy = Busy::new(&sessions.busy);
        self.guest.is(Stage::Busy, self.read_at);
        self.requests += 1;
        let mut counted = None;
        if fields::is_empty(sql) {
            if sessions.door.is_closed() {
                self.closing();
            } else {
                codec::empty(&mut self.output);
            }
        } else {
            match fields::request(sql, &sessions.names, self.read_at) {
                Err(what) => self.fail("22023", &what),
                Ok(request) => {
                    let open = sessions.stats.begin(request.query.class);
                    counted = Some((open, self.serve_request(request).await?));
                }
            }
        }
        codec::ready(&mut self.output);
        self.write().await?;
        // Only now has the client its answer.
        if let Some((open, ending)) = counted {
            open.ended(ending);
        }
        Ok(())
    }

    /// One request, up to its answer, and how that ends it.
    async fn serve_request(&mut self, request: Request) -> Result<Ending, Reason> {
        let sessions = Rc::clone(self.sessions);
        if sessions.door.turns_back(self.read_at) {
            self.closing();
            return Ok(Ending::Refused);
        }
        let exchange = Exchange::new(request);
        if let Some((_, key)) = &self.key {
            key.cancelled.set(false); // a cancel that came between queries meant an earlier one
        }
        if !sessions.intake.submit(&exchange) {
            self.fail("22023", "field `rid` names a request that is, or was just now, open");
            return Ok(Ending::Failed);
        }
        let answer = self.wait(&exchange).await?;
        Ok(self.answer(answer))
    }

    /// Waits for the answer; `None` if the client cancelled the query.
    async fn wait(&mut self, exchange: &Exchange) -> Result<Option<Answer>, Reason> {
        let id = exchange.request.query.id;
        loop {
            let key = self.key.as_ref().map(|(_, key)| Rc::clone(key));
            let cancelled = poll_fn(|cx| match &key {
                Some(key) if key.cancelled.replace(false) => Poll::Ready(Waited::Cancelled),
                Some(key) => {
                    *key.waker.borrow_mut() = Some(cx.waker().clone());
                    Poll::Pending
                }
                None => Poll::Pending,
            });
            let answer = async { Waited::Answer(exchange.answer().await) };
            // The client's leaving shows only where it is read; what it sends ahead is kept.
            let (room, mut chunk) = (self.input.len() < READ_AHEAD, [0u8; 4096]);
            let read = async {
                if !room {
                    return pending().await;
                }
                Waited::Read(self.stream.read_with(|mut s| s.read(&mut chunk)).await)
            };
            match answer.or(cancelled).or(read).await {
                Waited::Answer(answer) => return Ok(Some(answer)),
                Waited::Cancelled => {
                    self.sessions.intake.withdraw(id);
                    return Ok(None);
                }
                Waited::Read(Ok(n)) if n > 0 => {
                    self.input.extend_from_slice(chunk.get(..n).unwrap_or_default());
                    self.read_at = self.sessions.intake.now();
                }
                Waited::Read(end) => {
                    self.sessions.intake.withdraw(id);
                    return Err(if end.is_ok() { "left" } else { "reset" });
                }
            }
        }
    }

    fn answer(&mut self, answer: Option<Answer>) -> Ending {
        match answer {
            Some(Answer::Served(served)) => {
                codec::rows(&mut self.output, served.pages.iter().map(AsRef::as_ref));
                Ending::Served
            }
            Some(Answer::Refused { retry_after }) => {
                let ms = retry_after.div_ceil(1000);
                let (mut what, hint) =
                    ("too busy to serve this query".to_owned(), format!("Try again in {ms} ms."));
                if ms > 0 {
                    what.push_str(&format!(" (backoff={ms})"));
                }
                let hint = (ms > 0).then_some(hint.as_str());
                codec::error(&mut self.output, "ERROR", "53000", &what, hint);
                Ending::Refused
            }
            Some(Answer::Closing) => {
                self.closing();
                Ending::Refused
            }
            Some(Answer::Stale) => {
                let hint = Some("Another instance may serve it.");
                codec::error(
                    &mut self.output,
                    "ERROR",
                    "57P03",
                    "this instance is cut off from the others",
                    hint,
                );
                Ending::Refused
            }
            Some(Answer::Failed) => {
                self.fail("58000", "the query failed; it may have had its effect");
                Ending::Failed
            }
            Some(Answer::Differs) => {
                self.fail("22023", "field `token` was used with another query");
                Ending::Failed
            }
            Some(Answer::Unsure) => {
                self.fail("58000", "an earlier query of this token failed; it may have had its effect");
                Ending::Failed
            }
            // Its client gave it up, and is told so: it ends as any other that is not served.
            None => {
                self.fail("57014", "canceling statement due to user request");
                Ending::Failed
            }
        }
    }

    async fn read(&mut self) -> Result<(), Reason> {
        let mut chunk = [0u8; 4096];
        match self.stream.read_with(|mut s| s.read(&mut chunk)).await {
            Ok(0) => Err("closed"),
            Ok(n) => {
                self.input.extend_from_slice(chunk.get(..n).unwrap_or_default());
                self.read_at = self.sessions.intake.now();
                Ok(())
            }
            Err(_) => Err("reset"),
        }
    }

    async fn write(&mut self) -> Result<(), Reason> {
        let mut sent = 0;
        while let Some(rest) = self.output.get(sent..).filter(|rest| !rest.is_empty()) {
            let late = async {
                Timer::after(STALLED).await;
                Err(std::io::ErrorKind::TimedOut.into())
            };
            match self.stream.write_with(|mut s| s.write(rest)).or(late).await {
                Ok(n) if n > 0 => sent += n,
                Err(e) if e.kind() == std::io::ErrorKind::TimedOut => return Err("stalled"),
                _ => return Err("reset"),
            }
        }
        self.output.clear();
        self.output.shrink_to(8 * 1024);
        Ok(())
    }
}
