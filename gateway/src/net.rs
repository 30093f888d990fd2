//! What both listeners need of the machine.

use std::io::Read;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::FutureExt;
use rustix::event::{PollFd, PollFlags, Timespec};
use rustix::net::{sockopt, AddressFamily, SocketFlags, SocketType};

/// Connections that the machine may hold until they are accepted. The standard library's 128 are gone in one
/// burst of clients that say nothing; the machine then drops what comes, and the usual clients among it try again
/// only after one, three and seven seconds.
const BACKLOG: i32 = 4096;
/// A connection that is closed for what it sent is still read for a moment, up to so many bytes: input left
/// unread turns the close into a reset, which can destroy the error on its way.
const LINGER: (Duration, usize) = (Duration::from_millis(300), 256 * 1024);

/// Listens at an address that another process of the same user may share: at an upgrade the new version
/// listens beside the old one, and the machine spreads what comes over both.
///
/// # Errors
///
/// The machine does not give the address.
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

/// Whether the other end has gone, even if what it sent before has not been read.
#[must_use]
pub fn has_hung_up(stream: &Async<TcpStream>) -> bool {
    let gone = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
    let mut one = [PollFd::new(stream.get_ref(), PollFlags::RDHUP)];
    let now = Timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    rustix::event::poll(&mut one, Some(&now)).is_ok()
        && one.iter().any(|f| f.revents().intersects(gone))
}

/// Says that nothing more comes, and reads on for a moment what the other end still sends.
pub async fn linger(stream: &Async<TcpStream>) {
    let _ = stream.get_ref().shutdown(Shutdown::Write);
    let (mut chunk, mut left) = ([0u8; 4096], LINGER.1);
    let drain = async {
        while left > 0 {
            match stream.read_with(|mut s| s.read(&mut chunk)).await {
                Ok(n) if n > 0 => left = left.saturating_sub(n),
                _ => break,
            }
        }
    };
    let late = async {
        Timer::after(LINGER.0).await;
    };
    drain.or(late).await;
}

#[cfg(test)]
#[allow(clippy::unwrap_used)]
mod tests {
    use super::*;

    /// A burst of connections waits for the listener, as far as the machine lets it, and none is dropped.
    #[test]
    fn a_burst_of_connections_finds_room() {
        let listener = listen(([127, 0, 0, 1], 0).into()).unwrap();
        let addr = listener.get_ref().local_addr().unwrap();
        let most = std::fs::read_to_string("/proc/sys/net/core/somaxconn").unwrap_or_default();
        let burst = most.trim().parse().unwrap_or(300).min(300);
        let connect = |_| TcpStream::connect_timeout(&addr, Duration::from_millis(900)).unwrap();
        let open: Vec<_> = (0..burst).map(connect).collect();
        assert_eq!(open.len(), burst);
    }

    /// Two listeners share an address, and what comes reaches one of them once the other has gone.
    #[test]
    fn an_address_is_shared() {
        let old = listen(([127, 0, 0, 1], 0).into()).unwrap();
        let addr = old.get_ref().local_addr().unwrap();
        let new = listen(addr).unwrap();
        drop(old);
        let _client = TcpStream::connect(addr).unwrap();
        async_io::block_on(new.accept()).unwrap();
    }
}
