//! The REST front: queries over HTTP/1.1, results in pages. docs/rest.md is its design, docs/openapi.yaml its
//! description.
//!
//! It takes queries in through [`RequestSink`] as the PostgreSQL front does, and knows neither that nor the engines.
//! It must never decide about a query: what is refused for load is the decision module's; what is refused for
//! want of room for results, or for a key, the ledger's.

mod connection_watch;
mod queries;
mod wire;

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::fmt::Write as _;
use std::future::{poll_fn, Future};
use std::io::Write as _;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{future, FutureExt};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Bytes, Incoming};
use hyper::header::{HeaderValue, CACHE_CONTROL, CONNECTION, CONTENT_TYPE, LINK};
use hyper::{Response, StatusCode};
use rand_chacha::rand_core::RngCore;
use rand_chacha::ChaCha8Rng;
use smol_hyper::rt::FuturesIo;
use violetgate_policy::interface::{Micros, QueryId};
use violetgate_result_store::{
    AttemptId, LookupError, NewResult, ResultCache, ResultLimits, ResultSlot,
};

use crate::clock::Clock;
use crate::config::NameTable;
use crate::connection_limit::{ConnectionLimiter, ConnectionSlot, RECENTLY_IDLE};
use crate::drain::DrainState;
use crate::exchange::{Answer, Exchange, RequestSink, Served, MAX_RESULT_BYTES};
use crate::http_error::HttpError;
use crate::idempotency::IdempotencyLayer;
use crate::log;
use crate::net;
use crate::settings;
use crate::stats::{Ending, Stats};
use connection_watch::{At, Line, Patience, Watched};
use wire::{Page, Route};

/// The pause after the machine gave no connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// How often what has come to its end is taken away, and the door is looked at.
const SWEEP: Duration = Duration::from_millis(50);
/// The most headers of a request.
const MAX_HEADERS: usize = 64;
/// Ids are drawn at random; one that was in use is drawn anew, so often at most.
const DRAWS: u32 = 4;

type Reply = Response<Full<Bytes>>;

/// What the front counts.
#[derive(Default)]
struct Counts {
    pages: Cell<u64>,
    gone: Cell<u64>,
    unknown: Cell<u64>,
    full: Cell<u64>,
}

fn add(count: &Cell<u64>) {
    count.set(count.get() + 1);
}

/// What the front stands on.
pub struct Core {
    /// Where tasks run.
    pub executor: Rc<LocalExecutor<'static>>,
    /// The one clock.
    pub clock: Clock,
    /// Where queries are taken in.
    pub intake: Rc<dyn RequestSink>,
    /// The names of classes and tenants.
    pub names: NameTable,
    /// The figures.
    pub stats: Rc<Stats>,
    /// Whether clients are let in.
    pub door: Rc<DrainState>,
    /// The results that are promised.
    pub results: Rc<RefCell<ResultCache<Served>>>,
    /// The keys that are taken.
    pub keyed: Rc<IdempotencyLayer>,
}

/// The REST front.
pub struct Rest {
    core: Core,
    room: ConnectionLimiter,
    limits: RefCell<settings::Rest>,
    rng: RefCell<ChaCha8Rng>,
    busy: Cell<usize>,
    counts: Counts,
}

/// The limits on results that settings name.
#[must_use]
pub fn limits(settings: &settings::Rest) -> ResultLimits {
    ResultLimits {
        total_bytes: settings.results_bytes.0 as usize,
        max_result_bytes: MAX_RESULT_BYTES,
        max_results: settings.results,
    }
}

impl Rest {
    /// Creates the front; it holds at most `most` connections.
    #[must_use]
    pub fn new(core: Core, settings: &settings::Rest, most: usize, rng: ChaCha8Rng) -> Rc<Self> {
        Rc::new(Rest {
            core,
            room: ConnectionLimiter::new(most),
            limits: RefCell::new(settings.clone()),
            rng: RefCell::new(rng),
            busy: Cell::new(0),
            counts: Counts::default(),
        })
    }

    /// Takes new limits; where it listens stays.
    pub fn limit(&self, settings: &settings::Rest) {
        *self.limits.borrow_mut() = settings.clone();
        self.core.results.borrow_mut().set_limits(limits(settings));
        self.core.keyed.resize(settings.idempotency_keys);
    }

    /// Changes how many connections there may be.
    pub fn resize(&self, most: usize) {
        self.room.resize(most, self.core.clock.now());
    }

    /// Connections that have a request open, or whose clients may still fetch pages that they were promised.
    #[must_use]
    pub fn owing(&self) -> usize {
        self.busy.get() + self.room.owing(self.core.clock.now())
    }

    /// The front's figures, in the text format of Prometheus.
    #[must_use]
    pub fn figures(&self) -> String {
        let results = self.core.results.borrow();
        let (keys, joined, replayed) = self.core.keyed.figures();
        let counts = &self.counts;
        let mut out = String::new();
        for (name, kind, help, value) in [
            (
                "results",
                "gauge",
                "Results whose pages may be fetched.",
                results.len() as u64,
            ),
            (
                "results_bytes",
                "gauge",
                "Bytes held or reserved.",
                results.budget().reserved() as u64,
            ),
            (
                "results_full_total",
                "counter",
                "Queries refused for want of that.",
                counts.full.get(),
            ),
            (
                "pages_total",
                "counter",
                "Further pages served.",
                counts.pages.get(),
            ),
            (
                "pages_gone_total",
                "counter",
                "Pages asked for after their time.",
                counts.gone.get(),
            ),
            (
                "tokens_unknown_total",
                "counter",
                "Tokens nobody here has made.",
                counts.unknown.get(),
            ),
            ("keys", "gauge", "Idempotency keys taken.", keys as u64),
            (
                "keys_joined_total",
                "counter",
                "Queries that joined one that ran.",
                joined,
            ),
            (
                "keys_replayed_total",
                "counter",
                "Queries that got a recorded answer.",
                replayed,
            ),
        ] {
            let name = format!("svc_rest_{name}");
            let _ = writeln!(
                out,
                "# HELP {name} {help}\n# TYPE {name} {kind}\n{name} {value}"
            );
        }
        out
    }

    /// Takes away, for ever, what has come to its end, and sends home what is idle while it has to leave.
    pub async fn sweep(&self) {
        loop {
            Timer::after(SWEEP).await;
            let now = self.core.clock.now();
            self.core.results.borrow_mut().expire(now);
            if let Some(reason) = self.core.door.sends_home(now) {
                self.room.dismiss_idle(now, RECENTLY_IDLE, reason);
            }
        }
    }

    /// Takes connections for ever.
    pub async fn listen(self: Rc<Self>, listener: Rc<Async<TcpListener>>) {
        loop {
            match listener.accept().await {
                Ok((stream, peer)) => self.welcome(stream, peer),
                Err(e) => {
                    log::line(format_args!("rest accept failed: {e}"));
                    Timer::after(ACCEPT_PAUSE).await;
                }
            }
            future::yield_now().await;
        }
    }

    /// Closes the listener. What the machine holds for it is taken in the same turn: it would be reset with it.
    pub fn shut(self: &Rc<Self>, listener: Rc<Async<TcpListener>>) {
        while let Ok((stream, peer)) = listener.get_ref().accept() {
            if let Ok(stream) = Async::new(stream) {
                self.welcome(stream, peer);
            }
        }
    }

    fn welcome(self: &Rc<Self>, stream: Async<TcpStream>, peer: SocketAddr) {
        match self.room.enter(self.core.clock.now()) {
            Some(guest) => self
                .core
                .executor
                .spawn(Rc::clone(self).drive(stream, peer, guest))
                .detach(),
            None => {
                let problem = HttpError::new(
                    StatusCode::SERVICE_UNAVAILABLE,
                    "too-many-connections",
                    "every place is taken by a connection with a request open",
                );
                raw(&stream, &problem);
                log::ended("rest", peer, "too_many", 0);
            }
        }
    }

    async fn drive(
        self: Rc<Self>,
        stream: Async<TcpStream>,
        peer: SocketAddr,
        guest: Rc<ConnectionSlot>,
    ) {
        let _ = stream.get_ref().set_nodelay(true);
        let stream = Rc::new(stream);
        let line = Line::new(self.core.clock, Rc::clone(&guest));
        let reason = self.serve(&stream, &line, &guest).await;
        if line.unread.get() {
            net::linger(&stream).await;
        }
        drop(stream);
        self.room.leave(&guest);
        log::ended("rest", peer, reason, line.answered.get());
    }

    /// Serves one connection to its end; the reason why it ended.
    async fn serve(
        self: &Rc<Self>,
        stream: &Rc<Async<TcpStream>>,
        line: &Rc<Line>,
        guest: &ConnectionSlot,
    ) -> &'static str {
        let (patience, max_head) = {
            let l = self.limits.borrow();
            let (idle, head, write) = (l.idle_timeout.0, l.head_timeout.0, l.write_timeout.0);
            (Patience { idle, head, write }, l.max_head.0 as usize)
        };
        let (me, answers) = (Rc::clone(self), Rc::clone(line));
        let service = hyper::service::service_fn(move |request| {
            let (me, line) = (Rc::clone(&me), Rc::clone(&answers));
            async move { Ok::<_, Infallible>(me.answer(request, &line).await) }
        });
        let io = FuturesIo::new(Watched::new(Rc::clone(stream), Rc::clone(line)));
        let mut conn = pin!(hyper::server::conn::http1::Builder::new()
            .header_read_timeout(None)
            .max_buf_size(max_head)
            .max_headers(MAX_HEADERS)
            .serve_connection(io, service));
        let mut evicted = pin!(guest.gives_way());
        let mut leaves = None;
        let mut timer = Timer::never();
        let mut armed = Micros::MAX;
        let ended = poll_fn(|cx| {
            if let Poll::Ready(done) = conn.as_mut().poll(cx) {
                return Poll::Ready(Ok(done));
            }
            if leaves.is_none() {
                if let Poll::Ready(reason) = evicted.as_mut().poll(cx) {
                    leaves = Some(reason);
                    // What is here is answered, and then it closes.
                    conn.as_mut().graceful_shutdown();
                    if let Poll::Ready(done) = conn.as_mut().poll(cx) {
                        return Poll::Ready(Ok(done));
                    }
                }
            }
            // A timer that is set too early only looks again: most of them never fire.
            while let Some((at, reason)) = line.due(&patience) {
                if at < armed {
                    timer.set_at(self.core.clock.instant(at));
                    armed = at;
                }
                if Pin::new(&mut timer).poll(cx).is_pending() {
                    break;
                }
                armed = Micros::MAX;
                if self.core.clock.now() >= at {
                    return Poll::Ready(Err(reason));
                }
            }
            Poll::Pending
        })
        .await;
        match ended {
            Err("head_timeout") => {
                let problem = HttpError::new(
                    StatusCode::REQUEST_TIMEOUT,
                    "request-timeout",
                    "the head of the request was not whole in time",
                );
                raw(stream, &problem);
                "head_timeout"
            }
            Err(reason) => reason,
            Ok(_) if leaves.is_some() => leaves.unwrap_or_default(),
            Ok(_) if line.at() == At::Request => "left",
            Ok(Ok(())) => "closed",
            // The server has answered with the status that it deserves.
            Ok(Err(e)) if e.is_parse() => {
                line.unread.set(true);
                "protocol_violation"
            }
            Ok(Err(e)) if e.is_incomplete_message() => "closed",
            Ok(Err(_)) => "reset",
        }
    }

    async fn answer(self: Rc<Self>, request: hyper::Request<Incoming>, line: &Rc<Line>) -> Reply {
        line.is(At::Request);
        self.busy.set(self.busy.get() + 1);
        let _busy = Less(&self.busy);
        let mut reply = match self.carry_out(request, line).await {
            Ok(reply) => reply,
            Err(problem) => {
                if problem.closes {
                    line.unread.set(true);
                }
                problem.response()
            }
        };
        let now = self.core.clock.now();
        // What its client may still fetch here keeps a connection open, as no other process has it.
        if self.core.door.sends_home(now).is_some() && !self.owes(line, now) {
            reply
                .headers_mut()
                .insert(CONNECTION, HeaderValue::from_static("close"));
        }
        line.answered.set(line.answered.get() + 1);
        line.is(At::Answer);
        reply
    }

    fn owes(&self, line: &Line, now: Micros) -> bool {
        line.promised() > now
    }
}

/// Counts one less when it goes.
struct Less<'a>(&'a Cell<usize>);

impl Drop for Less<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Writes a problem where no server does, in one write that an empty socket takes whole.
fn raw(stream: &Async<TcpStream>, problem: &HttpError) {
    let body = problem.body();
    let head = format!(
        "HTTP/1.1 {}\r\ncontent-type: application/problem+json\r\ncontent-length: {}\r\nconnection: close\r\n\r\n",
        problem.status,
        body.len()
    );
    let _ = stream.get_ref().write(&[head.as_bytes(), &body].concat());
}
