//! The REST front end: queries over HTTP/1.1 with paged results. docs/rest.md describes the design,
//! docs/openapi.yaml the API.
//!
//! It submits queries to a [`RequestSink`], as the PostgreSQL front end does, and depends neither
//! on that front end nor on the engines. It makes no decisions about queries: the decision module
//! rejects queries to shed load, and the result store rejects them if it has no capacity for their
//! results, if their idempotency key was used with another query, or if the outcome of an earlier
//! query with the same key is unknown.

mod client_monitor;
mod connection;
mod connection_end;
mod metrics;
mod pages;
mod queries;
mod routes;
mod watch;
mod wire;

use std::cell::{Cell, RefCell};
use std::io::Write as _;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::future;
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::{Response, StatusCode};
use rand_chacha::ChaCha8Rng;
use violetgate_memory_budget::MemoryBudget;
use violetgate_policy::interface::Micros;
use violetgate_result_store::{ResultCache, ResultLimits};

use crate::clock::Clock;
use crate::config::NameTable;
use crate::connection_limit::{ConnectionLimiter, RECENTLY_IDLE_US};
use crate::drain::DrainState;
use crate::exchange::{QueryResult, RequestSink, MAX_RESULT_BYTES};
use crate::http_error::{HttpError, PROBLEM_JSON};
use crate::idempotency::IdempotencyLayer;
use crate::log;
use crate::settings;
use crate::stats::Stats;
use connection_end::ConnectionEnd;
use metrics::Counters;

/// The pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// How often expired results are removed and idle connections are closed during a drain.
const SWEEP_INTERVAL: Duration = Duration::from_millis(50);
/// Stored results take at most the memory budget divided by this number, so that results of open
/// requests still fit.
const STORED_RESULTS_DIVISOR: usize = 3;

/// The retry-after of a request that does not fit into the memory budget, in microseconds.
const OUT_OF_MEMORY_RETRY_AFTER_US: Micros = 1_000_000;

type Reply = Response<Full<Bytes>>;

/// The parts of the gateway that the front end uses.
pub struct RestParts {
    /// The executor of the connection tasks.
    pub executor: Rc<LocalExecutor<'static>>,
    /// The clock that all parts of the gateway share.
    pub clock: Clock,
    /// The receiver of queries.
    pub sink: Rc<dyn RequestSink>,
    /// The names of the classes and tenants that queries may state.
    pub names: NameTable,
    /// The request metrics.
    pub stats: Rc<Stats>,
    /// The drain state of this process.
    pub drain: Rc<DrainState>,
    /// The stored results, whose pages clients can fetch until they expire.
    pub results: Rc<RefCell<ResultCache<QueryResult>>>,
    /// The layer that stores idempotency keys and recognises repeated queries.
    pub idempotency: Rc<IdempotencyLayer>,
    /// The limit of the memory that clients can make this process hold.
    pub memory: MemoryBudget,
}

/// The server of the REST protocol.
pub struct RestFrontend {
    parts: RestParts,
    limiter: ConnectionLimiter,
    limits: RefCell<settings::Rest>,
    rng: RefCell<ChaCha8Rng>,
    /// The number of open requests.
    busy: Cell<usize>,
    counters: Counters,
}

/// Returns the limits of the result store that the settings define, with a budget of `memory_bytes`
/// for all that peers make this process hold.
#[must_use]
pub fn result_limits(settings: &settings::Rest, memory_bytes: usize) -> ResultLimits {
    let total_bytes = settings.results_bytes.0 as usize;
    ResultLimits {
        total_bytes: total_bytes.min(memory_bytes / STORED_RESULTS_DIVISOR),
        max_result_bytes: MAX_RESULT_BYTES,
        max_results: settings.results,
    }
}

impl RestFrontend {
    /// Creates a front end for up to `max_connections` connections. Request ids come from `rng`.
    #[must_use]
    pub fn new(
        parts: RestParts,
        settings: &settings::Rest,
        max_connections: usize,
        rng: ChaCha8Rng,
    ) -> Rc<Self> {
        Rc::new(RestFrontend {
            limiter: ConnectionLimiter::new(max_connections, parts.memory.clone()),
            limits: RefCell::new(settings.clone()),
            rng: RefCell::new(rng),
            busy: Cell::new(0),
            counters: Counters::default(),
            parts,
        })
    }

    /// Applies the limits of new settings. The listen address does not change.
    pub fn apply_limits(&self, settings: &settings::Rest) {
        *self.limits.borrow_mut() = settings.clone();
        self.apply_result_limits();
        self.parts.idempotency.resize(settings.idempotency_keys);
    }

    /// Changes the maximum number of connections, and follows a change of the memory budget.
    pub fn resize(&self, max_connections: usize) {
        self.limiter.resize(max_connections, self.parts.clock.now());
        self.apply_result_limits();
    }

    fn apply_result_limits(&self) {
        let limits = result_limits(&self.limits.borrow(), self.parts.memory.limit());
        self.parts.results.borrow_mut().set_limits(limits);
    }

    /// Returns the number of open requests plus the number of connections whose clients may still
    /// fetch further pages of a result.
    #[must_use]
    pub fn requests_and_sticky_connections(&self) -> usize {
        self.busy.get() + self.limiter.sticky_count(self.parts.clock.now())
    }

    /// Removes expired results, and closes idle connections during a drain. Runs forever.
    pub async fn sweep(&self) {
        loop {
            Timer::after(SWEEP_INTERVAL).await;
            let now = self.parts.clock.now();
            self.parts.results.borrow_mut().expire(now);
            if let Some(reason) = self.parts.drain.close_reason(now) {
                self.limiter.close_idle(now, RECENTLY_IDLE_US, reason);
            }
        }
    }

    /// Accepts connections forever. After a failed accept it pauses before the next one.
    pub async fn listen(self: Rc<Self>, listener: Rc<Async<TcpListener>>) {
        loop {
            match listener.accept().await {
                Ok((stream, peer)) => self.accept(stream, peer),
                Err(error) => {
                    log::write_line(format_args!("rest accept failed: {error}"));
                    Timer::after(ACCEPT_PAUSE).await;
                }
            }
            future::yield_now().await;
        }
    }

    /// Closes the listener after accepting the connections in the kernel's queue, which would
    /// otherwise be reset.
    pub fn close_listener(self: &Rc<Self>, listener: Rc<Async<TcpListener>>) {
        while let Ok((stream, peer)) = listener.get_ref().accept() {
            if let Ok(stream) = Async::new(stream) {
                self.accept(stream, peer);
            }
        }
    }

    fn accept(self: &Rc<Self>, stream: Async<TcpStream>, peer: SocketAddr) {
        match self.limiter.acquire(self.parts.clock.now()) {
            Some(slot) => {
                let connection = Rc::clone(self).run_connection(stream, peer, slot);
                self.parts.executor.spawn(connection).detach();
            }
            None => {
                let error = HttpError::new(
                    StatusCode::SERVICE_UNAVAILABLE,
                    "too-many-connections",
                    "every place is taken by a connection with a request open",
                );
                write_raw(&stream, &error);
                log::connection_ended("rest", peer, ConnectionEnd::ConnectionLimit, 0);
            }
        }
    }
}

/// The error of a request that does not fit into the memory budget. Nothing ran.
fn out_of_memory() -> HttpError {
    let detail = "no memory is left for this request";
    let error = HttpError::new(StatusCode::SERVICE_UNAVAILABLE, "out-of-memory", detail);
    error.with_retry_after(OUT_OF_MEMORY_RETRY_AFTER_US)
}

/// Writes an error response without the HTTP server. The response is short enough that an empty
/// socket buffer takes it in one write.
fn write_raw(stream: &Async<TcpStream>, error: &HttpError) {
    let body = error.body();
    let head = format!(
        "HTTP/1.1 {}\r\ncontent-type: {PROBLEM_JSON}\r\ncontent-length: {}\r\nconnection: close\r\n\r\n",
        error.status,
        body.len()
    );
    let _ = stream.get_ref().write(&[head.as_bytes(), &body].concat());
}
