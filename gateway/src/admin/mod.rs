//! Management: the second address, where operators ask and command over HTTP/1.1, one call to a connection.
//!
//! It knows nothing of clients, engines or the decisions: what a call means is behind [`Operations`].

mod http;
pub mod operations;

use std::future::Future;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{future, FutureExt};
use serde::Deserialize;

use crate::clock::Clock;
use crate::connection_limit::{ConnectionLimiter, ConnectionSlot, ConnectionState};
use crate::log;
use crate::net;
use http::{Call, Status};

/// Connections that are served at a time. They come out of the descriptors that neither clients nor engines
/// get; callers that say nothing must not use up more than these.
const MOST: usize = 12;
/// How long a call may take to come whole.
const WHOLE: Duration = Duration::from_secs(2);
/// How long a caller may take no byte of its answer.
const STALLED: Duration = Duration::from_secs(2);
/// The pause after the machine gave no connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

const PATHS: [&str; 6] = [
    "/admin/health",
    "/admin/stats",
    "/admin/cordon",
    "/admin/uncordon",
    "/admin/quiesce",
    "/admin/resume",
];

/// The engine that a call names.
#[derive(Deserialize)]
struct Target {
    host: String,
}

/// How a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OperationOutcome {
    /// It holds.
    Done,
    /// Nobody has that name.
    Unknown,
    /// Other instances have not agreed to it in its time; it may still come to hold.
    Unagreed,
    /// This front end subscribes to a cluster: only its members can have something agreed on.
    NotAMember,
}

/// A call under way.
pub type PendingOperation<'a> = Pin<Box<dyn Future<Output = OperationOutcome> + 'a>>;

/// What operators may ask of the program.
pub trait Operations {
    /// Whether this process can serve.
    fn healthy(&self) -> bool;
    /// The figures, in the text format of Prometheus.
    fn figures(&self) -> String;
    /// Nothing more to an engine, until the call back; or uses it again.
    fn cordon<'a>(&'a self, host: &'a str, out: bool) -> PendingOperation<'a>;
    /// Drains: clients are sent elsewhere until the call back; or takes clients again.
    fn drain(&self, on: bool) -> PendingOperation<'_>;
}

/// The management side.
pub struct Admin {
    executor: Rc<LocalExecutor<'static>>,
    clock: Clock,
    operations: Rc<dyn Operations>,
    room: ConnectionLimiter,
}

impl Admin {
    /// Creates the management side.
    #[must_use]
    pub fn new(
        executor: Rc<LocalExecutor<'static>>,
        clock: Clock,
        operations: Rc<dyn Operations>,
    ) -> Rc<Self> {
        Rc::new(Admin {
            executor,
            clock,
            operations,
            room: ConnectionLimiter::new(MOST),
        })
    }

    /// Takes calls for ever.
    pub async fn listen(self: Rc<Self>, listener: Async<TcpListener>) {
        loop {
            match listener.accept().await {
                // In a full room the one that has been mute longest gives way; a call that is here is answered
                // in the turn that reads it, so that a connection is never busy for long.
                Ok((stream, peer)) => {
                    if let Some(guest) = self.room.enter(self.clock.now()) {
                        self.executor
                            .spawn(Rc::clone(&self).drive(stream, peer, guest))
                            .detach();
                    }
                }
                Err(e) => {
                    log::line(format_args!("management accept failed: {e}"));
                    Timer::after(ACCEPT_PAUSE).await;
                }
            }
            future::yield_now().await;
        }
    }

    async fn drive(
        self: Rc<Self>,
        stream: Async<TcpStream>,
        peer: SocketAddr,
        guest: Rc<ConnectionSlot>,
    ) {
        let _ = stream.get_ref().set_nodelay(true);
        let mut input = Vec::new();
        let late = async {
            Timer::after(WHOLE).await;
            Err("call_timeout")
        };
        let evicted = async { Err(guest.gives_way().await) };
        let reason = match self
            .call(&stream, &mut input, peer)
            .or(evicted)
            .or(late)
            .await
        {
            Ok(output) => respond(&stream, &output).await,
            Err(reason @ "call_timeout") => {
                let _ = respond(
                    &stream,
                    &http::response(Status::RequestTimeout, "call not whole\n"),
                )
                .await;
                reason
            }
            Err(reason) => reason,
        };
        guest.is(ConnectionState::Busy, self.clock.now());
        drop(stream);
        self.room.leave(&guest);
        log::ended("management", peer, reason, u64::from(reason == "answered"));
    }

    /// Reads a call, in whatever pieces it comes, and carries it out: the answer to it.
    async fn call(
        &self,
        stream: &Async<TcpStream>,
        input: &mut Vec<u8>,
        peer: SocketAddr,
    ) -> Result<Vec<u8>, &'static str> {
        let mut chunk = [0u8; 2048];
        loop {
            match stream.read_with(|mut s| s.read(&mut chunk)).await {
                Ok(0) => return Err("closed"),
                Ok(n) => input.extend_from_slice(chunk.get(..n).unwrap_or_default()),
                Err(_) => return Err("reset"),
            }
            let (status, body) = match http::parse(input) {
                Ok(None) => continue,
                Ok(Some(call)) => {
                    let answer = self.answer(&call).await;
                    if call.method != "GET" {
                        let (code, method, path) = (answer.0 as u16, call.method, call.path);
                        log::line(format_args!(
                            "management {peer} {method} {path} {code}: {}",
                            answer.1.trim()
                        ));
                    }
                    answer
                }
                Err(status) => (status, "the call can't be read\n".to_owned()),
            };
            return Ok(http::response(status, &body));
        }
    }

    async fn answer(&self, call: &Call<'_>) -> (Status, String) {
        match (call.method, call.path) {
            ("GET", "/admin/health") if self.operations.healthy() => told(Status::Ok, "ready"),
            ("GET", "/admin/health") => told(Status::ServiceUnavailable, "starting"),
            ("GET", "/admin/stats") => (Status::Ok, self.operations.figures()),
            ("PUT", "/admin/cordon") => self.cordon(call, true).await,
            ("PUT", "/admin/uncordon") => self.cordon(call, false).await,
            ("PUT", "/admin/quiesce") => carried(self.operations.drain(true).await, "draining"),
            ("PUT", "/admin/resume") => {
                carried(self.operations.drain(false).await, "taking clients")
            }
            (_, path) if PATHS.contains(&path) => {
                told(Status::MethodNotAllowed, "another method is served here")
            }
            _ => told(Status::NotFound, "no such path"),
        }
    }

    /// A call that names an engine.
    async fn cordon(&self, call: &Call<'_>, out: bool) -> (Status, String) {
        match serde_json::from_slice(call.body) {
            Ok(Target { host }) => carried(self.operations.cordon(&host, out).await, &host),
            Err(e) => told(
                Status::BadRequest,
                &format!("the body is no {{\"host\":\"ID\"}}: {e}"),
            ),
        }
    }
}

fn told(status: Status, text: &str) -> (Status, String) {
    (status, format!("{text}\n"))
}

fn carried(called: OperationOutcome, done: &str) -> (Status, String) {
    match called {
        OperationOutcome::Done => told(Status::Ok, done),
        OperationOutcome::Unknown => told(Status::NotFound, &format!("no engine {done:?}")),
        OperationOutcome::Unagreed => told(
            Status::ServiceUnavailable,
            "not agreed on in its time; it may still come to hold: call again",
        ),
        OperationOutcome::NotAMember => told(
            Status::Conflict,
            "this front end subscribes to a cluster: call at a member's API",
        ),
    }
}

/// Writes the answer and closes.
async fn respond(stream: &Async<TcpStream>, output: &[u8]) -> &'static str {
    let late = async {
        Timer::after(STALLED).await;
        Err(std::io::ErrorKind::TimedOut.into())
    };
    let mut sent = 0;
    let write = async {
        while let Some(rest) = output.get(sent..).filter(|rest| !rest.is_empty()) {
            sent += stream.write_with(|mut s| s.write(rest)).await?;
        }
        Ok::<_, std::io::Error>(())
    };
    match write.or(late).await {
        Ok(()) => {
            net::linger(stream).await;
            "answered"
        }
        Err(e) if e.kind() == std::io::ErrorKind::TimedOut => "stalled",
        Err(_) => "reset",
    }
}
