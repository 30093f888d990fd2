//! The REST front end: queries over HTTP/1.1, results in pages. docs/rest.md is its design,
//! docs/openapi.yaml its description.
//!
//! It submits queries to a [`RequestSink`] as the PostgreSQL front end does, and knows neither that
//! nor the engines. It decides nothing about a query: what is rejected to shed load is the decision
//! module's, what is rejected for want of capacity for results, or for a key, the result store's.

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

/// The pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// How often expired results are removed, and a drain is looked for.
const SWEEP_INTERVAL: Duration = Duration::from_millis(50);

type Reply = Response<Full<Bytes>>;

/// The parts of the program that the front end uses.
pub struct RestParts {
    /// Where tasks run.
    pub executor: Rc<LocalExecutor<'static>>,
    /// The one clock.
    pub clock: Clock,
    /// Where queries are submitted.
    pub sink: Rc<dyn RequestSink>,
    /// The names of classes and tenants.
    pub names: NameTable,
    /// The request metrics.
    pub stats: Rc<Stats>,
    /// Whether clients are let in.
    pub drain: Rc<DrainState>,
    /// The results whose pages were promised.
    pub results: Rc<RefCell<ResultCache<QueryResult>>>,
    /// The idempotency keys.
    pub idempotency: Rc<IdempotencyLayer>,
}

/// The REST front end.
pub struct RestFrontend {
    parts: RestParts,
    limiter: ConnectionLimiter,
    limits: RefCell<settings::Rest>,
    rng: RefCell<ChaCha8Rng>,
    /// Requests that are open.
    busy: Cell<usize>,
    counters: Counters,
}

/// The limits on results that the settings name.
#[must_use]
pub fn result_limits(settings: &settings::Rest) -> ResultLimits {
    ResultLimits {
        total_bytes: settings.results_bytes.0 as usize,
        max_result_bytes: MAX_RESULT_BYTES,
        max_results: settings.results,
    }
}

impl RestFrontend {
    /// Creates the front end for `max_connections` connections; request ids are drawn from `rng`.
    #[must_use]
    pub fn new(
        parts: RestParts,
        settings: &settings::Rest,
        max_connections: usize,
        rng: ChaCha8Rng,
    ) -> Rc<Self> {
        Rc::new(RestFrontend {
            parts,
            limiter: ConnectionLimiter::new(max_connections),
            limits: RefCell::new(settings.clone()),
            rng: RefCell::new(rng),
            busy: Cell::new(0),
            counters: Counters::default(),
        })
    }

    /// Applies the limits of new settings; the address where it listens does not change.
    pub fn apply_limits(&self, settings: &settings::Rest) {
        *self.limits.borrow_mut() = settings.clone();
        let limits = result_limits(settings);
        self.parts.results.borrow_mut().set_limits(limits);
        self.parts.idempotency.resize(settings.idempotency_keys);
    }

    /// Changes how many connections there may be.
    pub fn resize(&self, max_connections: usize) {
        self.limiter.resize(max_connections, self.parts.clock.now());
    }

    /// The number of open requests, and of connections whose clients may still fetch pages that
    /// they were promised.
    #[must_use]
    pub fn busy_or_sticky(&self) -> usize {
        self.busy.get() + self.limiter.sticky_count(self.parts.clock.now())
    }

    /// Removes expired results, and closes idle connections during a drain, for ever.
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

    /// Accepts connections for ever.
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

    /// Closes the listener. Connections that the kernel has queued for it are accepted in the same
    /// step: they would be reset with it.
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

/// Writes an error where no HTTP server does, in one write that an empty socket takes completely.
fn write_raw(stream: &Async<TcpStream>, error: &HttpError) {
    let body = error.body();
    let head = format!(
        "HTTP/1.1 {}\r\ncontent-type: {PROBLEM_JSON}\r\ncontent-length: {}\r\nconnection: close\r\n\r\n",
        error.status,
        body.len()
    );
    let _ = stream.get_ref().write(&[head.as_bytes(), &body].concat());
}
