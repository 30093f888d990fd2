//! Sockets: listening beside another process, and closing without a reset.

use std::io::Read;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::FutureExt;
use rustix::event::{PollFd, PollFlags, Timespec};
use rustix::net::{sockopt, AddressFamily, SocketFlags, SocketType};

/// Connections that the kernel may queue until they are accepted. The standard library's 128 are
/// taken by one burst of silent clients; the kernel then drops what arrives, and the usual clients
/// among it retry only after one, three and seven seconds.
const BACKLOG: i32 = 4096;
/// A connection that is closed for what it sent is still read for this time, up to this many bytes:
/// unread input makes the close a reset, which can destroy the error on its way.
const LINGER_TIME: Duration = Duration::from_millis(300);
const LINGER_BYTES: usize = 256 * 1024;
const LINGER_CHUNK_BYTES: usize = 4096;

/// Listens at an address that another process of the same user may share: at an upgrade the new
/// version listens beside the old one, and the kernel distributes connections over both.
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

/// Whether the peer has closed the connection, even if what it sent before has not been read.
#[must_use]
pub fn has_hung_up(stream: &Async<TcpStream>) -> bool {
    let hang_up = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
    let mut descriptors = [PollFd::new(stream.get_ref(), PollFlags::RDHUP)];
    let now = Timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    rustix::event::poll(&mut descriptors, Some(&now)).is_ok()
        && descriptors
            .iter()
            .any(|descriptor| descriptor.revents().intersects(hang_up))
}

/// Shuts the sending side, and reads for a moment what the peer still sends.
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
