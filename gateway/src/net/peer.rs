//! Finds out whether a client that sends nothing more still waits for its answers.
//!
//! The end of a client's stream says only that it sends nothing more: it may have closed the
//! connection, or just its sending side. If much of its input is unread, even that end may not have
//! arrived. Only a closed connection answers further data with a reset. So a message that the
//! client's protocol makes it ignore is sent, and a reset is awaited.

use std::io::{ErrorKind, Write};
use std::net::TcpStream;
use std::time::Duration;

use async_io::{Async, Timer};
use rustix::event::{PollFd, PollFlags, Timespec};

/// The time between two checks whether a client has gone.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// The number of unread bytes from which the kernel may take no more from the peer, so that the end
/// of the peer's stream would not arrive.
const MANY_UNREAD_BYTES: u64 = 16 * 1024;
/// How often, and at which interval, a reset is looked for after a message.
const RESET_CHECKS: u32 = 6;
const RESET_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// The state of a connection, as the kernel knows it without sending anything.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PeerState {
    /// The peer may send more.
    Open,
    /// The peer has sent so much that is unread that the end of its stream may not have arrived.
    EndMayBeHidden,
    /// The peer sends nothing more. It may still wait for answers.
    SendsNothingMore,
    /// The connection was reset.
    Gone,
}

fn peer_state(stream: &Async<TcpStream>) -> PeerState {
    let mut descriptors = [PollFd::new(stream.get_ref(), PollFlags::RDHUP)];
    let now = Timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    if rustix::event::poll(&mut descriptors, Some(&now)).is_err() {
        return PeerState::Open;
    }
    let [descriptor] = &descriptors;
    let events = descriptor.revents();
    if events.intersects(PollFlags::HUP | PollFlags::ERR) {
        PeerState::Gone
    } else if events.contains(PollFlags::RDHUP) {
        PeerState::SendsNothingMore
    } else if rustix::io::ioctl_fionread(stream.get_ref()).unwrap_or(0) >= MANY_UNREAD_BYTES {
        PeerState::EndMayBeHidden
    } else {
        PeerState::Open
    }
}

/// Sends a message that the peer ignores. Returns whether the peer can still be there.
fn send_ignored(stream: &Async<TcpStream>, message: &[u8]) -> bool {
    match stream.get_ref().write(message) {
        // What follows half of a message could not be read.
        Ok(size) => size == message.len(),
        // The peer has much to read. A reset still shows.
        Err(error) => matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted),
    }
}

/// Returns whether the client may still wait for an answer, even if data that it sent before is
/// unread. `ignored_message` is sent to a client that sends nothing more or may have gone unnoticed,
/// and must not be sent within another message. Without one, a client that sends nothing more counts
/// as gone.
pub async fn is_waiting(stream: &Async<TcpStream>, ignored_message: Option<&[u8]>) -> bool {
    match (peer_state(stream), ignored_message) {
        (PeerState::Open, _) | (PeerState::EndMayBeHidden, None) => return true,
        (PeerState::SendsNothingMore, None) | (PeerState::Gone, _) => return false,
        (_, Some(message)) if !send_ignored(stream, message) => return false,
        (_, Some(_)) => {}
    }
    for _ in 0..RESET_CHECKS {
        if peer_state(stream) == PeerState::Gone {
            return false;
        }
        Timer::after(RESET_CHECK_INTERVAL).await;
    }
    true
}

/// Waits until the client no longer waits for an answer, by the same means as [`is_waiting`].
pub async fn wait_until_gone(stream: &Async<TcpStream>, ignored_message: Option<&[u8]>) {
    while is_waiting(stream, ignored_message).await {
        Timer::after(CHECK_INTERVAL).await;
    }
}
