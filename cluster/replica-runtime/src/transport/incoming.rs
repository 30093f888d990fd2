//! Handles connections that other replicas make to this one: a hello, then messages.

use std::net::TcpStream;
use std::rc::{Rc, Weak};

use async_io::Async;

use super::{PeerConnectionEnd, Transport};
use crate::close_reason::CloseReason;
use crate::framing::{disable_nagle, write_all, FrameReader};
use crate::wire::{self, Decoded, Hello, PeerMessage, Welcome};

/// Handles the connection with this number until it ends, and returns the reason.
pub(super) async fn serve(
    transport: &Weak<Transport>,
    stream: &Async<TcpStream>,
    connection: u64,
) -> PeerConnectionEnd {
    match receive_all(transport, stream, connection).await {
        Ok(never) => match never {},
        Err(end) => end,
    }
}

async fn receive_all(
    weak: &Weak<Transport>,
    stream: &Async<TcpStream>,
    connection: u64,
) -> Result<std::convert::Infallible, PeerConnectionEnd> {
    disable_nagle(stream);
    let mut reader = FrameReader::charged(&upgrade(weak)?.memory);
    let hello: Hello = reader.read_hello(stream).await?;
    answer_hello(weak, stream, &hello).await?;
    if let Some(address) = hello.listen {
        upgrade(weak)?.announce(connection, hello.from, address);
    }
    loop {
        let received = reader.read_message(stream, wire::MAX_FRAME_BYTES).await?;
        upgrade(weak)?.receive(&hello, received)?;
    }
}

fn upgrade(weak: &Weak<Transport>) -> Result<Rc<Transport>, CloseReason> {
    weak.upgrade().ok_or(CloseReason::Stopped)
}

async fn answer_hello(
    weak: &Weak<Transport>,
    stream: &Async<TcpStream>,
    hello: &Hello,
) -> Result<(), PeerConnectionEnd> {
    let welcome = upgrade(weak)?.welcome(hello);
    let answer = wire::encode_frame(&welcome)?;
    write_all(stream, &answer).await?;
    match welcome.rejected {
        Some(reason) => Err(PeerConnectionEnd::Rejected(reason)),
        None => Ok(()),
    }
}

impl Transport {
    fn welcome(&self, hello: &Hello) -> Welcome {
        let known_disk = self.known_disk(hello.from);
        let checked = hello.check(&self.cluster, self.id, known_disk);
        Welcome {
            rejected: checked.err().map(|rejection| rejection.to_string()),
            disk_id: self.disk_id,
        }
    }

    fn receive(
        &self,
        hello: &Hello,
        received: Decoded<PeerMessage>,
    ) -> Result<(), PeerConnectionEnd> {
        // The committed disk may have changed since the hello.
        if self.is_other_disk(hello.from, hello.disk_id) {
            return Err(PeerConnectionEnd::OtherDisk(hello.from));
        }
        self.counter.count_received(received.frame_bytes);
        if !self.is_blocked(hello.from) {
            (self.on_message)(hello.from, received.message);
        }
        Ok(())
    }
}
