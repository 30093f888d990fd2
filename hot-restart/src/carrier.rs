//! What carries the conversation: a Unix socket in a folder that both processes share, frames of one message, listening
//! sockets passed as descriptors. It decides nothing, and must never believe a peer of another user.

use std::collections::VecDeque;
use std::io::{Error, ErrorKind, IoSlice, IoSliceMut, Result};
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

use crate::{Message, LONGEST};

/// The most sockets that are passed: the clients' and the REST front's.
pub const SOCKETS: usize = 2;
/// The longest frame: a part of the state, and what stands around it.
const FRAME: usize = LONGEST + 64;
/// Bytes before a frame: its length.
const HEAD: usize = 4;

/// One end of a conversation.
pub struct Carrier {
    stream: Async<UnixStream>,
    input: Vec<u8>,
    /// Sockets that came and belong to a message that is not whole yet.
    sockets: VecDeque<OwnedFd>,
}

/// Listens for successors. What a dead process left in the place is taken away; a living one keeps it.
///
/// # Errors
///
/// The place can't be used, as its name is too long or Unix sockets are refused; or somebody listens there.
pub fn listen(path: &Path) -> Result<Async<UnixListener>> {
    match UnixStream::connect(path) {
        Ok(_) => return Err(ErrorKind::AddrInUse.into()),
        Err(e) if e.kind() == ErrorKind::ConnectionRefused => std::fs::remove_file(path)?,
        Err(_) => {}
    }
    let listener = UnixListener::bind(path)?;
    // Whoever came between is asked for its user all the same.
    std::fs::set_permissions(path, std::fs::Permissions::from_mode(0o600))?;
    Async::new(listener)
}

/// Looks for a process to take over from.
///
/// # Errors
///
/// Nobody listens there.
pub async fn call(path: &Path) -> Result<Carrier> {
    Carrier::over(Async::<UnixStream>::connect(path).await?)
}

impl Carrier {
    /// Speaks over a connection, if the other end is of this user.
    ///
    /// # Errors
    ///
    /// It is not, or can't be asked.
    pub fn over(stream: Async<UnixStream>) -> Result<Self> {
        let peer = rustix::net::sockopt::socket_peercred(stream.get_ref())?;
        if peer.uid != rustix::process::geteuid() {
            return Err(Error::new(
                ErrorKind::PermissionDenied,
                "the other end is of another user",
            ));
        }
        Ok(Carrier {
            stream,
            input: Vec::new(),
            sockets: VecDeque::new(),
        })
    }

    /// Says something, with sockets if there are any.
    ///
    /// # Errors
    ///
    /// The conversation is over, or this is too long for it.
    pub async fn say(&self, message: &Message, sockets: &[BorrowedFd<'_>]) -> Result<()> {
        let body = postcard::to_stdvec(message).map_err(Error::other)?;
        if body.len() > FRAME || sockets.len() > SOCKETS {
            return Err(ErrorKind::InvalidInput.into());
        }
        let length = u32::try_from(body.len()).map_err(Error::other)?;
        let bytes = [length.to_le_bytes().as_slice(), &body].concat();
        // They go with the first byte, and with none but that.
        let mut sent = self
            .stream
            .write_with(|s| {
                let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(SOCKETS))];
                let mut with = SendAncillaryBuffer::new(&mut space);
                if !sockets.is_empty() && !with.push(SendAncillaryMessage::ScmRights(sockets)) {
                    return Err(ErrorKind::InvalidInput.into());
                }
                Ok(rustix::net::sendmsg(
                    s,
                    &[IoSlice::new(&bytes)],
                    &mut with,
                    SendFlags::NOSIGNAL,
                )?)
            })
            .await?;
        while let Some(rest) = bytes.get(sent..).filter(|r| !r.is_empty()) {
            sent += self
                .stream
                .write_with(|s| Ok(rustix::net::send(s, rest, SendFlags::NOSIGNAL)?))
                .await?;
        }
        Ok(())
    }

    /// Hears the next message, and the sockets that came with it; `None`: the conversation is over.
    ///
    /// # Errors
    ///
    /// What came is no message.
    pub async fn hear(&mut self) -> Result<Option<(Message, Vec<OwnedFd>)>> {
        loop {
            if let Some(message) = self.whole()? {
                return Ok(Some((message, self.sockets.drain(..).collect())));
            }
            let mut chunk = [0; 16 * 1024];
            let (count, came) = self.stream.read_with(|s| receive(s, &mut chunk)).await?;
            if self.sockets.len() + came.len() > SOCKETS {
                return Err(Error::new(
                    ErrorKind::InvalidData,
                    "more sockets than are passed",
                ));
            }
            self.sockets.extend(came);
            if count == 0 {
                return Ok(None);
            }
            self.input
                .extend_from_slice(chunk.get(..count).unwrap_or_default());
        }
    }

    fn whole(&mut self) -> Result<Option<Message>> {
        let Some((length, rest)) = self.input.split_first_chunk::<HEAD>() else {
            return Ok(None);
        };
        let length = u32::from_le_bytes(*length) as usize;
        if length > FRAME {
            return Err(Error::new(ErrorKind::InvalidData, "a frame is too long"));
        }
        let Some(body) = rest.get(..length) else {
            return Ok(None);
        };
        let message =
            postcard::from_bytes(body).map_err(|e| Error::new(ErrorKind::InvalidData, e))?;
        self.input.drain(..HEAD + length);
        Ok(Some(message))
    }
}

fn receive(stream: &UnixStream, chunk: &mut [u8]) -> Result<(usize, Vec<OwnedFd>)> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(SOCKETS))];
    let mut with = RecvAncillaryBuffer::new(&mut space);
    let got = rustix::net::recvmsg(
        stream,
        &mut [IoSliceMut::new(chunk)],
        &mut with,
        RecvFlags::CMSG_CLOEXEC,
    )?;
    let mut came = Vec::new();
    for message in with.drain() {
        if let RecvAncillaryMessage::ScmRights(sockets) = message {
            came.extend(sockets);
        }
    }
    if got.flags.contains(ReturnFlags::CTRUNC) {
        return Err(Error::new(
            ErrorKind::InvalidData,
            "sockets were lost on their way",
        ));
    }
    Ok((got.bytes, came))
}
