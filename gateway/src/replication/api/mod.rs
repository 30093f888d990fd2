//! The cluster API, through which operators read and change the shared state over HTTP/1.1.
//! docs/daemon-operations.md lists the calls.
//!
//! Every member accepts every call. A change is answered after it is committed, or with an error if
//! it was rejected or its outcome is unknown. A read is answered from a current copy of the state,
//! unless the call allows a stale one.

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

/// The maximum number of open connections. Further ones are closed at once.
const MAX_CONNECTIONS: usize = 64;
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
    /// [`MAX_CONNECTIONS`] other connections were open.
    ConnectionLimit,
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
        })
    }
}

fn log_end(peer: SocketAddr, end: ConnectionEnd) {
    log::connection_ended("cluster api", peer, end, 0);
}

/// Accepts connections forever.
pub async fn listen(
    member: Rc<ClusterMember>,
    executor: Rc<LocalExecutor<'static>>,
    listener: Async<TcpListener>,
) {
    // Each open connection holds a reference, so that the reference count gives their number.
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
        ConnectionEnd::MaxAge
    };
    served.or(too_old).await
}
