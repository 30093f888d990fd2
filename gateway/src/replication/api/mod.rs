//! The cluster API: operators read and change the shared state over HTTP/1.1.
//! docs/daemon-operations.md has the calls.
//!
//! Any member takes any call; a change is answered once it is committed, or as unknown. A read is
//! never answered from a copy that is not current, unless the call allows that.

mod bodies;
mod cluster;
mod errors;
mod hyper_timer;
mod query;
mod responses;
mod router;
mod settings;
mod state;

use std::convert::Infallible;
use std::fmt;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{future, FutureExt};
use smol_hyper::rt::FuturesIo;

use super::member::ClusterMember;
use crate::log;
use hyper_timer::HyperTimer;
use router::Api;

pub use cluster::MembershipStep;

/// Connections at a time; more are closed at once.
const MAX_CONNECTIONS: usize = 64;
/// How long the head of a request may take to arrive.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a connection may last.
const MAX_CONNECTION_AGE: Duration = Duration::from_secs(600);
/// The pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Why a connection ended; its text is the reason code in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ConnectionEnd {
    /// The client closed it.
    Closed,
    /// It broke.
    Reset,
    /// The head of a request was not complete in time.
    HeadTimeout,
    /// What was received is no HTTP.
    ProtocolViolation,
    /// There are too many.
    ConnectionLimit,
    /// It lasted too long.
    TooLong,
}

impl fmt::Display for ConnectionEnd {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            ConnectionEnd::Closed => "closed",
            ConnectionEnd::Reset => "reset",
            ConnectionEnd::HeadTimeout => "head_timeout",
            ConnectionEnd::ProtocolViolation => "protocol_violation",
            ConnectionEnd::ConnectionLimit => "connection_limit",
            ConnectionEnd::TooLong => "too_long",
        })
    }
}

fn log_end(peer: SocketAddr, end: ConnectionEnd) {
    log::connection_ended("cluster api", peer, end, 0);
}

/// Accepts connections for ever.
pub async fn listen(
    member: Rc<ClusterMember>,
    executor: Rc<LocalExecutor<'static>>,
    listener: Async<TcpListener>,
) {
    // Each open connection holds a reference.
    let open = Rc::new(());
    loop {
        match listener.accept().await {
            Ok((_, peer)) if Rc::strong_count(&open) > MAX_CONNECTIONS => {
                log_end(peer, ConnectionEnd::ConnectionLimit);
            }
            Ok((stream, peer)) => {
                let (member, open) = (Rc::clone(&member), Rc::clone(&open));
                let connection = async move {
                    log_end(peer, serve(member, stream, peer).await);
                    drop(open);
                };
                executor.spawn(connection).detach();
            }
            Err(error) => {
                log::write_line(format_args!("cluster api accept failed: {error}"));
                Timer::after(ACCEPT_PAUSE).await;
            }
        }
        future::yield_now().await;
    }
}

async fn serve(
    member: Rc<ClusterMember>,
    stream: Async<TcpStream>,
    peer: SocketAddr,
) -> ConnectionEnd {
    let _ = stream.get_ref().set_nodelay(true);
    let service = hyper::service::service_fn(move |request| {
        let api = Api::new(Rc::clone(&member), peer);
        async move {
            let reply = api.answer(request).await;
            Ok::<_, Infallible>(reply.unwrap_or_else(|error| error.response()))
        }
    });
    let server = hyper::server::conn::http1::Builder::new()
        .timer(HyperTimer)
        .header_read_timeout(HEAD_TIMEOUT)
        .serve_connection(FuturesIo::new(stream), service);
    let served = async {
        match server.await {
            Ok(()) => ConnectionEnd::Closed,
            Err(error) if error.is_timeout() => ConnectionEnd::HeadTimeout,
            Err(error) if error.is_parse() => ConnectionEnd::ProtocolViolation,
            Err(_) => ConnectionEnd::Reset,
        }
    };
    let too_old = async {
        Timer::after(MAX_CONNECTION_AGE).await;
        ConnectionEnd::TooLong
    };
    served.or(too_old).await
}
