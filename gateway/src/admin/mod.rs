//! The management API, which serves operators' HTTP/1.1 calls on an address of its own. Each
//! connection carries one call.
//!
//! This module has no access to clients, engines or the decisions: [`Operations`] carries out the
//! calls.

mod http;
pub mod operations;

use std::fmt;
use std::future::Future;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{future, FutureExt};
use serde::Deserialize;
use violetgate_memory_budget::MemoryBudget;

use crate::clock::Clock;
use crate::connection_limit::{ConnectionLimiter, ConnectionSlot, ConnectionState};
use crate::log;
use crate::net;
use http::{Call, Status};

/// The maximum number of open connections, so that idle callers can't exhaust the file descriptors.
/// The connections use descriptors that the connection budget gives neither to clients nor to
/// engines.
const MAX_CONNECTIONS: usize = 12;
/// The time within which a call has to arrive completely.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// The time within which the caller has to accept the whole answer.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// The pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
const READ_CHUNK_BYTES: usize = 2048;

const PATHS: [&str; 6] = [
    "/admin/health",
    "/admin/stats",
    "/admin/cordon",
    "/admin/uncordon",
    "/admin/quiesce",
    "/admin/resume",
];

/// The body of a cordon or uncordon call, which names the engine.
#[derive(Deserialize)]
struct CordonBody {
    host: String,
}

/// The outcome of an operation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OperationOutcome {
    /// The change is in force.
    Done,
    /// No engine has this name.
    UnknownEngine,
    /// The change was not committed in time; it may still come into force.
    OutcomeUnknown,
    /// This instance is a subscriber of a cluster: only members can commit the change.
    NotAMember,
}

/// An operation that is being carried out.
pub type PendingOperation<'a> = Pin<Box<dyn Future<Output = OperationOutcome> + 'a>>;

/// The operations that the management API offers.
pub trait Operations {
    /// Returns whether this process is ready to serve clients.
    fn is_healthy(&self) -> bool;
    /// Returns all metrics in the Prometheus text format.
    fn metrics(&self) -> String;
    /// Cordons an engine, so that it gets no more queries, or uncordons it.
    fn set_cordon<'a>(&'a self, engine: &'a str, cordoned: bool) -> PendingOperation<'a>;
    /// Drains this instance, so that clients connect elsewhere, or ends the drain.
    fn set_drain(&self, drained: bool) -> PendingOperation<'_>;
}

/// Why a management connection ended. The `Display` form is the reason code in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ConnectionEnd {
    /// A call was answered.
    Answered,
    /// The caller closed the connection before it had sent a complete call.
    Closed,
    /// Reading or writing failed.
    Reset,
    /// No complete call arrived within [`CALL_TIMEOUT`].
    CallTimeout,
    /// The caller did not accept the whole answer within [`WRITE_TIMEOUT`].
    Stalled,
    /// This process closed the connection, for the given reason.
    Requested(&'static str),
}

impl fmt::Display for ConnectionEnd {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            ConnectionEnd::Answered => "answered",
            ConnectionEnd::Closed => "closed",
            ConnectionEnd::Reset => "reset",
            ConnectionEnd::CallTimeout => "call_timeout",
            ConnectionEnd::Stalled => "stalled",
            ConnectionEnd::Requested(reason) => reason,
        })
    }
}

/// The answer to a call.
struct CallAnswer {
    status: Status,
    body: String,
}

impl CallAnswer {
    /// Creates an answer whose body is one line.
    fn one_line(status: Status, text: &str) -> Self {
        CallAnswer {
            status,
            body: format!("{text}\n"),
        }
    }

    fn to_bytes(&self) -> Vec<u8> {
        http::response(self.status, &self.body)
    }
}

/// The server of the management API.
pub struct Admin {
    executor: Rc<LocalExecutor<'static>>,
    clock: Clock,
    operations: Rc<dyn Operations>,
    limiter: ConnectionLimiter,
}

impl Admin {
    /// Creates the server. [`Admin::listen`] starts it.
    #[must_use]
    pub fn new(
        executor: Rc<LocalExecutor<'static>>,
        clock: Clock,
        operations: Rc<dyn Operations>,
        memory: MemoryBudget,
    ) -> Rc<Self> {
        Rc::new(Admin {
            executor,
            clock,
            operations,
            limiter: ConnectionLimiter::new(MAX_CONNECTIONS, memory),
        })
    }

    /// Accepts connections forever. After a failed accept it pauses before the next one.
    pub async fn listen(self: Rc<Self>, listener: Async<TcpListener>) {
        loop {
            match listener.accept().await {
                // At the limit, the connection that has been silent for longest is evicted. A call
                // is answered as soon as it is read, so no connection is busy for long.
                Ok((stream, peer)) => {
                    if let Some(slot) = self.limiter.acquire(self.clock.now()) {
                        let connection = Rc::clone(&self).run_connection(stream, peer, slot);
                        self.executor.spawn(connection).detach();
                    }
                }
                Err(error) => {
                    log::write_line(format_args!("management accept failed: {error}"));
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
        let _ = stream.get_ref().set_nodelay(true);
        let timed_out = async {
            Timer::after(CALL_TIMEOUT).await;
            Err(ConnectionEnd::CallTimeout)
        };
        let closed = async { Err(ConnectionEnd::Requested(slot.close_requested().await)) };
        let end = match self.call(&stream, peer).or(closed).or(timed_out).await {
            Ok(answer) => respond(&stream, &answer).await,
            Err(ConnectionEnd::CallTimeout) => {
                let answer = CallAnswer::one_line(Status::RequestTimeout, "call not whole");
                let _ = respond(&stream, &answer).await;
                ConnectionEnd::CallTimeout
            }
            Err(end) => end,
        };
        slot.set_state(ConnectionState::Busy, self.clock.now());
        drop(stream);
        self.limiter.release(&slot);
        let calls = u64::from(end == ConnectionEnd::Answered);
        log::connection_ended("management", peer, end, calls);
    }

    /// Reads a call, which may arrive in several pieces, and carries it out.
    async fn call(
        &self,
        stream: &Async<TcpStream>,
        peer: SocketAddr,
    ) -> Result<CallAnswer, ConnectionEnd> {
        let mut input = Vec::new();
        let mut chunk = [0u8; READ_CHUNK_BYTES];
        loop {
            match stream.read_with(|mut socket| socket.read(&mut chunk)).await {
                Ok(0) => return Err(ConnectionEnd::Closed),
                Ok(size) => input.extend_from_slice(chunk.get(..size).unwrap_or_default()),
                Err(_) => return Err(ConnectionEnd::Reset),
            }
            match http::parse(&input) {
                Ok(None) => {}
                Ok(Some(call)) => {
                    let answer = self.answer(&call).await;
                    log_change(peer, &call, &answer);
                    return Ok(answer);
                }
                Err(status) => return Ok(CallAnswer::one_line(status, "the call can't be read")),
            }
        }
    }

    async fn answer(&self, call: &Call<'_>) -> CallAnswer {
        let operations = &self.operations;
        match (call.method, call.path) {
            ("GET", "/admin/health") if operations.is_healthy() => {
                CallAnswer::one_line(Status::Ok, "ready")
            }
            ("GET", "/admin/health") => {
                CallAnswer::one_line(Status::ServiceUnavailable, "starting")
            }
            ("GET", "/admin/stats") => CallAnswer {
                status: Status::Ok,
                body: operations.metrics(),
            },
            ("PUT", "/admin/cordon") => self.set_cordon(call, true).await,
            ("PUT", "/admin/uncordon") => self.set_cordon(call, false).await,
            ("PUT", "/admin/quiesce") => {
                operation_answer(operations.set_drain(true).await, "draining")
            }
            ("PUT", "/admin/resume") => {
                operation_answer(operations.set_drain(false).await, "taking clients")
            }
            (_, path) if PATHS.contains(&path) => {
                CallAnswer::one_line(Status::MethodNotAllowed, "another method is served here")
            }
            _ => CallAnswer::one_line(Status::NotFound, "no such path"),
        }
    }

    async fn set_cordon(&self, call: &Call<'_>, cordoned: bool) -> CallAnswer {
        match serde_json::from_slice(call.body) {
            Ok(CordonBody { host }) => {
                operation_answer(self.operations.set_cordon(&host, cordoned).await, &host)
            }
            Err(error) => CallAnswer::one_line(
                Status::BadRequest,
                &format!("the body is no {{\"host\":\"ID\"}}: {error}"),
            ),
        }
    }
}

/// Logs a call, unless it only reads.
fn log_change(peer: SocketAddr, call: &Call<'_>, answer: &CallAnswer) {
    if call.method != "GET" {
        let (method, path, code) = (call.method, call.path, answer.status as u16);
        let text = answer.body.trim();
        log::write_line(format_args!(
            "management {peer} {method} {path} {code}: {text}"
        ));
    }
}

fn operation_answer(outcome: OperationOutcome, done: &str) -> CallAnswer {
    match outcome {
        OperationOutcome::Done => CallAnswer::one_line(Status::Ok, done),
        OperationOutcome::UnknownEngine => {
            CallAnswer::one_line(Status::NotFound, &format!("no engine {done:?}"))
        }
        OperationOutcome::OutcomeUnknown => CallAnswer::one_line(
            Status::ServiceUnavailable,
            "not agreed on in its time; it may still come to hold: call again",
        ),
        OperationOutcome::NotAMember => CallAnswer::one_line(
            Status::Conflict,
            "this front end subscribes to a cluster: call at a member's API",
        ),
    }
}

/// Writes the answer and closes the connection.
async fn respond(stream: &Async<TcpStream>, answer: &CallAnswer) -> ConnectionEnd {
    let output = answer.to_bytes();
    let timed_out = async {
        Timer::after(WRITE_TIMEOUT).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    match write_all(stream, &output).or(timed_out).await {
        Ok(()) => {
            net::linger(stream).await;
            ConnectionEnd::Answered
        }
        Err(error) if error.kind() == io::ErrorKind::TimedOut => ConnectionEnd::Stalled,
        Err(_) => ConnectionEnd::Reset,
    }
}

async fn write_all(stream: &Async<TcpStream>, output: &[u8]) -> io::Result<()> {
    let mut sent = 0;
    while let Some(rest) = output.get(sent..).filter(|rest| !rest.is_empty()) {
        sent += stream.write_with(|mut socket| socket.write(rest)).await?;
    }
    Ok(())
}
