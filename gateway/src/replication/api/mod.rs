//! The cluster API, through which operators read and change the shared state over HTTP/1.1.
//! docs/daemon-operations.md lists the calls.
//!
//! Every member accepts every call. A change is answered after it is committed, or with an error if
//! it was rejected or its outcome is unknown. A read is answered from a current copy of the state,
//! unless the call allows a stale one.

mod bodies;
mod cluster;
mod connection;
mod errors;
mod hyper_timer;
mod query;
mod responses;
mod router;
mod settings;
mod state;

use std::cell::RefCell;
use std::convert::Infallible;
use std::fmt;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{future, FutureExt};
use smol_hyper::rt::FuturesIo;
use violetgate_memory_budget::MemoryBudget;

use super::member::ClusterMember;
use crate::clock::Clock;
use crate::connection_limit::{ConnectionLimiter, ConnectionSlot, MEMORY_LIMIT};
use crate::log;
use connection::ApiConnection;
use hyper_timer::HyperTimer;
use router::Api;

pub use cluster::MembershipStep;

/// The maximum number of open connections. If more come, those are evicted that have sent no
/// complete call or are idle.
const MAX_CONNECTIONS: usize = 64;
/// The maximum size of the head of a request, which is also the size of a connection's read buffer.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// The time within which the head of a request has to arrive completely.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// The maximum lifetime of a connection.
const MAX_CONNECTION_AGE: Duration = Duration::from_secs(600);
/// The pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Why a connection ended. The `Display` form is the reason code in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ConnectionEnd {
    /// The client closed the connection.
    Closed,
    /// Reading or writing failed.
    Reset,
    /// The head of a request did not arrive within [`HEAD_TIMEOUT`].
    HeadTimeout,
    /// The received data is not valid HTTP.
    ProtocolViolation,
    /// [`MAX_CONNECTIONS`] other connections were open, each with a call.
    ConnectionLimit,
    /// This process closed the connection, for the given reason.
    Requested(&'static str),
    /// The connection reached [`MAX_CONNECTION_AGE`].
    MaxAge,
}

impl fmt::Display for ConnectionEnd {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            ConnectionEnd::Closed => "closed",
            ConnectionEnd::Reset => "reset",
            ConnectionEnd::HeadTimeout => "head_timeout",
            ConnectionEnd::ProtocolViolation => "protocol_violation",
            ConnectionEnd::ConnectionLimit => "connection_limit",
            ConnectionEnd::MaxAge => "too_long",
            ConnectionEnd::Requested(reason) => reason,
        })
    }
}

fn log_end(peer: SocketAddr, end: ConnectionEnd) {
    log::connection_ended("cluster api", peer, end, 0);
}

/// The server of the cluster API.
pub struct ApiServer {
    member: Rc<ClusterMember>,
    executor: Rc<LocalExecutor<'static>>,
    clock: Clock,
    limiter: ConnectionLimiter,
    memory: MemoryBudget,
}

impl ApiServer {
    /// Creates the server. Calls and their answers are charged to `memory`.
    #[must_use]
    pub fn new(
        member: Rc<ClusterMember>,
        executor: Rc<LocalExecutor<'static>>,
        clock: Clock,
        memory: MemoryBudget,
    ) -> Rc<Self> {
        Rc::new(ApiServer {
            member,
            executor,
            clock,
            limiter: ConnectionLimiter::new(MAX_CONNECTIONS, memory.clone()),
            memory,
        })
    }

    /// Accepts connections forever.
    pub async fn listen(self: Rc<Self>, listener: Async<TcpListener>) {
        loop {
            match listener.accept().await {
                Ok((stream, peer)) => match self.limiter.acquire(self.clock.now()) {
                    Some(slot) => {
                        let connection = Rc::clone(&self).run_connection(stream, peer, slot);
                        self.executor.spawn(connection).detach();
                    }
                    None => log_end(peer, ConnectionEnd::ConnectionLimit),
                },
                Err(error) => {
                    log::write_line(format_args!("cluster api accept failed: {error}"));
                    Timer::after(ACCEPT_PAUSE).await;
                }
            }
            future::yield_now().await;
        }
    }

    async fn run_connection(
        self: Rc<Self>,
        stream: Async<TcpStream>,
        peer: SocketAddr,
        slot: Rc<ConnectionSlot>,
    ) {
        let end = match slot.input.set_parser_bytes(MAX_HEAD_BYTES) {
            Ok(()) => self.serve(stream, peer, &slot).await,
            Err(_) => ConnectionEnd::Requested(MEMORY_LIMIT),
        };
        self.limiter.release(&slot);
        log_end(peer, end);
    }

    async fn serve(
        &self,
        stream: Async<TcpStream>,
        peer: SocketAddr,
        slot: &Rc<ConnectionSlot>,
    ) -> ConnectionEnd {
        let _ = stream.get_ref().set_nodelay(true);
        let connection = Rc::new(ApiConnection {
            clock: self.clock,
            slot: Rc::clone(slot),
            memory: self.memory.clone(),
            answer_memory: RefCell::default(),
        });
        let service = hyper::service::service_fn(move |request| {
            let api = Api::new(Rc::clone(&self.member), peer, Rc::clone(&connection));
            async move {
                let reply = api.answer(request).await;
                Ok::<_, Infallible>(reply.unwrap_or_else(|error| error.response()))
            }
        });
        let server = hyper::server::conn::http1::Builder::new()
            .timer(HyperTimer)
            .header_read_timeout(HEAD_TIMEOUT)
            .max_buf_size(MAX_HEAD_BYTES)
            .serve_connection(FuturesIo::new(stream), service);
        let served = async {
            match server.await {
                Ok(()) => ConnectionEnd::Closed,
                Err(error) if error.is_timeout() => ConnectionEnd::HeadTimeout,
                Err(error) if error.is_parse() => ConnectionEnd::ProtocolViolation,
                Err(_) => ConnectionEnd::Reset,
            }
        };
        let close_requested = async { ConnectionEnd::Requested(slot.close_requested().await) };
        let too_old = async {
            Timer::after(MAX_CONNECTION_AGE).await;
            ConnectionEnd::MaxAge
        };
        served.or(close_requested).or(too_old).await
    }
}
