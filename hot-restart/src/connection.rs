//! The connection between the two processes: a Unix socket in a directory that both can access.
//!
//! A frame is the length of a message (4 bytes, little-endian) followed by the message, encoded
//! with postcard. Listening sockets are passed as file descriptors with the first byte of a frame.
//! A peer process of another user is rejected.

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

/// Maximum number of sockets passed with a message: the listening sockets of the clients' port and
/// of the REST interface.
pub const MAX_SOCKETS: usize = 2;
/// Maximum length of an encoded message: a state part and the fields that enclose it.
const MAX_MESSAGE_BYTES: usize = MAX_PART_BYTES + 64;
/// Size of the length prefix of each frame.
const LENGTH_BYTES: usize = 4;
/// Size of the buffer for one read.
const READ_BYTES: usize = 16 * 1024;
/// File mode of the socket: only the user that owns it may connect.
const SOCKET_MODE: u32 = 0o600;

/// The reason why a connection failed.
#[derive(Debug, Error)]
pub enum ConnectionError {
    /// An operation on the socket failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// The other process belongs to another user.
    #[error("the peer process belongs to another user")]
    OtherUser,
    /// The message to be sent exceeds the maximum length or has more than [`MAX_SOCKETS`] sockets.
    #[error("cannot send a message of {bytes} bytes with {sockets} sockets: it exceeds a limit")]
    TooLongToSend {
        /// Length of the encoded message.
        bytes: usize,
        /// Number of sockets to be passed with it.
        sockets: usize,
    },
    /// The length prefix of a received frame exceeds the maximum length of a message.
    #[error("received a frame of {0} bytes, which exceeds the maximum")]
    FrameTooLong(usize),
    /// A received frame could not be decoded, or a message could not be encoded.
    #[error(transparent)]
    Encoding(#[from] postcard::Error),
    /// More than [`MAX_SOCKETS`] sockets arrived before a message was complete.
    #[error("received more sockets than may be passed with a message")]
    TooManySockets,
    /// The kernel dropped sockets that the peer passed.
    #[error("the kernel dropped passed sockets: too many, or the open-file limit is reached")]
    SocketsDropped,
}

/// A message and the sockets passed with it.
#[derive(Debug)]
pub struct Received {
    /// The decoded message.
    pub message: Message,
    /// The listening sockets, at most [`MAX_SOCKETS`].
    pub sockets: Vec<OwnedFd>,
}

/// One end of a connection.
pub struct HandoverConnection {
    stream: Async<UnixStream>,
    input: Vec<u8>,
    /// Sockets passed with a message that is not complete yet.
    sockets: VecDeque<OwnedFd>,
}

/// Listens for successors on a Unix socket at `path`. Replaces a socket file that a dead process
/// left behind, but not one on which a process listens.
///
/// # Errors
///
/// Returns [`ErrorKind::AddrInUse`] if a process listens at `path`, and other kinds if the path is
/// too long or the system refuses the socket.
pub fn listen(path: &Path) -> std::io::Result<Async<UnixListener>> {
    match UnixStream::connect(path) {
        Ok(_) => return Err(ErrorKind::AddrInUse.into()),
        Err(error) if error.kind() == ErrorKind::ConnectionRefused => std::fs::remove_file(path)?,
        Err(_) => {}
    }
    let listener = UnixListener::bind(path)?;
    // If a process of another user connects before this call, `HandoverConnection::new` rejects it
    // because of its user ID.
    std::fs::set_permissions(path, std::fs::Permissions::from_mode(SOCKET_MODE))?;
    Async::new(listener)
}

/// Connects to the running process that listens at `path`.
///
/// # Errors
///
/// Returns [`ConnectionError::Io`] if no process listens at `path`, and
/// [`ConnectionError::OtherUser`] if the process belongs to another user.
pub async fn connect(path: &Path) -> Result<HandoverConnection, ConnectionError> {
    HandoverConnection::new(Async::<UnixStream>::connect(path).await?)
}

impl HandoverConnection {
    /// Creates a connection from a stream and checks that the peer process belongs to this
    /// process's effective user.
    ///
    /// # Errors
    ///
    /// Returns [`ConnectionError::OtherUser`] if the peer belongs to another user, and
    /// [`ConnectionError::Io`] if its user can't be determined.
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

    /// Sends a message and passes up to [`MAX_SOCKETS`] sockets with it.
    ///
    /// # Errors
    ///
    /// Returns a [`ConnectionError`] if the connection is closed or the message is too long.
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
        // Only the first write passes the sockets. If it is partial, they must not be passed again
        // with the rest.
        let first_write = self.stream.write_with(|s| send_first(s, &frame, sockets));
        let mut sent = first_write.await?;
        while let Some(rest) = frame.get(sent..).filter(|rest| !rest.is_empty()) {
            let send_rest = |s: &UnixStream| Ok(rustix::net::send(s, rest, SendFlags::NOSIGNAL)?);
            sent += self.stream.write_with(send_rest).await?;
        }
        Ok(())
    }

    /// Receives the next message. Returns `None` once the peer has closed the connection.
    ///
    /// # Errors
    ///
    /// Returns a [`ConnectionError`] if the connection fails or a received frame is invalid.
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

    /// Removes the next message from the input buffer and decodes it, if it is complete.
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

/// Sends the beginning of a frame and passes the sockets with it. Returns the number of bytes sent.
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

/// The result of one `recvmsg` call.
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
