//! The connection between the two processes: a Unix socket in a folder that both share.
//!
//! A frame is the length of a message (4 bytes, little-endian) and the message by postcard.
//! Listening sockets are passed as file descriptors along with the first byte of a frame. A peer of
//! another user is rejected.

use std::collections::VecDeque;
use std::io::{ErrorKind, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{BorrowedFd, OwnedFd};
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::Path;

use async_io::Async;
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, ReturnFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use thiserror::Error;

use crate::message::{Message, MAX_PART_BYTES};

/// The most sockets that are passed: the clients' and the REST interface's.
pub const MAX_SOCKETS: usize = 2;
/// The longest message: a state part and what stands around it.
const MAX_MESSAGE_BYTES: usize = MAX_PART_BYTES + 64;
/// The length before each message.
const LENGTH_BYTES: usize = 4;
/// How much is read at a time.
const READ_BYTES: usize = 16 * 1024;
/// Only this user may connect.
const SOCKET_MODE: u32 = 0o600;

/// Why a connection has failed.
#[derive(Debug, Error)]
pub enum ConnectionError {
    /// The socket has failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// The other process belongs to another user.
    #[error("the other end is of another user")]
    OtherUser,
    /// The message is longer, or has more sockets, than may be sent.
    #[error("a message of {bytes} bytes with {sockets} sockets is too long to be sent")]
    TooLongToSend {
        /// The message's length.
        bytes: usize,
        /// How many sockets were to go with it.
        sockets: usize,
    },
    /// A frame is longer than any that is sent.
    #[error("a frame of {0} bytes is too long")]
    FrameTooLong(usize),
    /// What has been received, or is to be sent, is no message.
    #[error(transparent)]
    Encoding(#[from] postcard::Error),
    /// More than [`MAX_SOCKETS`] sockets have come before a message was complete.
    #[error("more sockets than are passed")]
    TooManySockets,
    /// The system has dropped sockets that were passed.
    #[error("sockets were lost on their way")]
    SocketsDropped,
}

/// A message and the sockets that came with it.
#[derive(Debug)]
pub struct Received {
    /// The message.
    pub message: Message,
    /// The sockets.
    pub sockets: Vec<OwnedFd>,
}

/// One end of a connection.
pub struct HandoverConnection {
    stream: Async<UnixStream>,
    input: Vec<u8>,
    /// Sockets that belong to a message that is not complete yet.
    sockets: VecDeque<OwnedFd>,
}

/// Listens for successors. A socket file that a dead process has left is replaced, that of a living
/// one is not.
///
/// # Errors
///
/// [`ErrorKind::AddrInUse`] if a process listens there; others if the path is too long or Unix
/// sockets are refused.
pub fn listen(path: &Path) -> std::io::Result<Async<UnixListener>> {
    match UnixStream::connect(path) {
        Ok(_) => return Err(ErrorKind::AddrInUse.into()),
        Err(error) if error.kind() == ErrorKind::ConnectionRefused => std::fs::remove_file(path)?,
        Err(_) => {}
    }
    let listener = UnixListener::bind(path)?;
    // Whoever connects before this is rejected by its user all the same.
    std::fs::set_permissions(path, std::fs::Permissions::from_mode(SOCKET_MODE))?;
    Async::new(listener)
}

/// Connects to a process to take over from.
///
/// # Errors
///
/// [`ConnectionError::Io`] if nobody listens there, [`ConnectionError::OtherUser`] if the process
/// is another user's.
pub async fn connect(path: &Path) -> Result<HandoverConnection, ConnectionError> {
    HandoverConnection::new(Async::<UnixStream>::connect(path).await?)
}

impl HandoverConnection {
    /// Uses a stream whose other end belongs to this user.
    ///
    /// # Errors
    ///
    /// [`ConnectionError::OtherUser`] if it belongs to another one.
    pub fn new(stream: Async<UnixStream>) -> Result<Self, ConnectionError> {
        let peer = rustix::net::sockopt::socket_peercred(stream.get_ref())
            .map_err(std::io::Error::from)?;
        if peer.uid != rustix::process::geteuid() {
            return Err(ConnectionError::OtherUser);
        }
        Ok(HandoverConnection {
            stream,
            input: Vec::new(),
            sockets: VecDeque::new(),
        })
    }

    /// Sends a message, with up to [`MAX_SOCKETS`] sockets.
    ///
    /// # Errors
    ///
    /// [`ConnectionError`] if the connection is closed or the message is too long.
    pub async fn send(
        &self,
        message: &Message,
        sockets: &[BorrowedFd<'_>],
    ) -> Result<(), ConnectionError> {
        let body = postcard::to_stdvec(message)?;
        let too_long = ConnectionError::TooLongToSend {
            bytes: body.len(),
            sockets: sockets.len(),
        };
        if body.len() > MAX_MESSAGE_BYTES || sockets.len() > MAX_SOCKETS {
            return Err(too_long);
        }
        let length = u32::try_from(body.len()).map_err(|_| too_long)?;
        let frame = [length.to_le_bytes().as_slice(), &body].concat();
        // The sockets go with the first byte, and only with that.
        let first_write = self.stream.write_with(|s| send_first(s, &frame, sockets));
        let mut sent = first_write.await?;
        while let Some(rest) = frame.get(sent..).filter(|rest| !rest.is_empty()) {
            let send_rest = |s: &UnixStream| Ok(rustix::net::send(s, rest, SendFlags::NOSIGNAL)?);
            sent += self.stream.write_with(send_rest).await?;
        }
        Ok(())
    }

    /// Receives the next message; `None` once the other process has closed the connection.
    ///
    /// # Errors
    ///
    /// [`ConnectionError`] if the connection fails or what was received is no message.
    pub async fn receive(&mut self) -> Result<Option<Received>, ConnectionError> {
        loop {
            if let Some(message) = self.take_message()? {
                let sockets = self.sockets.drain(..).collect();
                return Ok(Some(Received { message, sockets }));
            }
            let mut buffer = [0; READ_BYTES];
            let read = self.stream.read_with(|s| read(s, &mut buffer)).await?;
            if read.has_dropped_sockets {
                return Err(ConnectionError::SocketsDropped);
            }
            if self.sockets.len() + read.sockets.len() > MAX_SOCKETS {
                return Err(ConnectionError::TooManySockets);
            }
            self.sockets.extend(read.sockets);
            if read.bytes == 0 {
                return Ok(None);
            }
            let bytes = buffer.get(..read.bytes).unwrap_or_default();
            self.input.extend_from_slice(bytes);
        }
    }

    /// Takes the next message from the input, if it is complete.
    fn take_message(&mut self) -> Result<Option<Message>, ConnectionError> {
        let Some((length, rest)) = self.input.split_first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_le_bytes(*length) as usize;
        if length > MAX_MESSAGE_BYTES {
            return Err(ConnectionError::FrameTooLong(length));
        }
        let Some(body) = rest.get(..length) else {
            return Ok(None);
        };
        let message = postcard::from_bytes(body)?;
        self.input.drain(..LENGTH_BYTES + length);
        Ok(Some(message))
    }
}

/// Sends the beginning of a frame with sockets; returns how many bytes were sent.
fn send_first(
    stream: &UnixStream,
    frame: &[u8],
    sockets: &[BorrowedFd<'_>],
) -> std::io::Result<usize> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_SOCKETS))];
    let mut ancillary = SendAncillaryBuffer::new(&mut space);
    if !sockets.is_empty() && !ancillary.push(SendAncillaryMessage::ScmRights(sockets)) {
        return Err(ErrorKind::InvalidInput.into());
    }
    let frame = [IoSlice::new(frame)];
    Ok(rustix::net::sendmsg(
        stream,
        &frame,
        &mut ancillary,
        SendFlags::NOSIGNAL,
    )?)
}

/// What one read has brought.
struct Read {
    bytes: usize,
    sockets: Vec<OwnedFd>,
    has_dropped_sockets: bool,
}

fn read(stream: &UnixStream, buffer: &mut [u8]) -> std::io::Result<Read> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_SOCKETS))];
    let mut ancillary = RecvAncillaryBuffer::new(&mut space);
    let mut buffers = [IoSliceMut::new(buffer)];
    let flags = RecvFlags::CMSG_CLOEXEC;
    let received = rustix::net::recvmsg(stream, &mut buffers, &mut ancillary, flags)?;
    let mut sockets = Vec::new();
    for message in ancillary.drain() {
        if let RecvAncillaryMessage::ScmRights(passed) = message {
            sockets.extend(passed);
        }
    }
    Ok(Read {
        bytes: received.bytes,
        sockets,
        has_dropped_sockets: received.flags.contains(ReturnFlags::CTRUNC),
    })
}
