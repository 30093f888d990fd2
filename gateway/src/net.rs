//! Socket helpers: listening on an address shared with another process, and closing a connection
//! without a reset.

mod peer;
mod shared_buffer;

use std::io::Read;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::FutureExt;
use rustix::net::{sockopt, AddressFamily, SocketFlags, SocketType};

pub use peer::{is_waiting, wait_until_gone};
pub use shared_buffer::read_shared;

/// The number of connections that the kernel may queue until they are accepted. A burst of clients
/// that connect and send nothing fills a queue of 128 connections, the standard library's size. The
/// kernel then drops further connections, and regular clients among them retry only after one,
/// three and seven seconds.
const BACKLOG: i32 = 4096;
/// How long, and up to how many bytes (`LINGER_BYTES`), input is still read before a connection is
/// closed because of what the peer sent. Closing with unread input would reset the connection, and
/// the reset can destroy an error response in transit.
const LINGER_TIME: Duration = Duration::from_millis(300);
const LINGER_BYTES: usize = 256 * 1024;
const LINGER_CHUNK_BYTES: usize = 4096;

/// Listens on an address that another process of the same user may share. During an upgrade the old
/// and the new version both listen, and the kernel distributes connections over both.
///
/// # Errors
///
/// The address is not available.
pub fn listen(addr: SocketAddr) -> std::io::Result<Async<TcpListener>> {
    let family = if addr.is_ipv4() {
        AddressFamily::INET
    } else {
        AddressFamily::INET6
    };
    let socket = rustix::net::socket_with(family, SocketType::STREAM, SocketFlags::CLOEXEC, None)?;
    sockopt::set_socket_reuseaddr(&socket, true)?;
    sockopt::set_socket_reuseport(&socket, true)?;
    rustix::net::bind(&socket, &addr)?;
    rustix::net::listen(&socket, BACKLOG)?;
    Async::new(TcpListener::from(socket))
}

/// Shuts down the sending side, then reads and discards what the peer still sends, within
/// `LINGER_TIME` and `LINGER_BYTES`. The socket option `SO_LINGER` is not used.
pub async fn linger(stream: &Async<TcpStream>) {
    let _ = stream.get_ref().shutdown(Shutdown::Write);
    let drain = async {
        let mut chunk = [0u8; LINGER_CHUNK_BYTES];
        let mut bytes_left = LINGER_BYTES;
        while bytes_left > 0 {
            match stream.read_with(|mut socket| socket.read(&mut chunk)).await {
                Ok(size) if size > 0 => bytes_left = bytes_left.saturating_sub(size),
                _ => break,
            }
        }
    };
    let timeout = async {
        Timer::after(LINGER_TIME).await;
    };
    drain.or(timeout).await;
}

#[cfg(test)]
mod tests;
