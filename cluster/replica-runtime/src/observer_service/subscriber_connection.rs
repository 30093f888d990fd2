//! Runs one subscriber's connection: its hello, then messages in both directions.

use std::future::pending;
use std::net::{SocketAddr, TcpStream};
use std::rc::{Rc, Weak};

use async_io::Async;
use futures_lite::{future, FutureExt};
use violetgate_state_distribution::{
    ConnectionId, ObserverWelcome, Rejection, SubscriberHello, SubscriberMessage, PROTOCOL_MAGIC,
    PROTOCOL_VERSION,
};

use super::listener::HelloAnswer;
use super::ObserverService;
use crate::close_reason::CloseReason;
use crate::framing::{disable_nagle, linger, write_all, FrameReader};
use crate::send_queue::SendQueue;
use crate::wire;

/// The maximum length of a subscriber's message, in bytes. The longest one is a snapshot cursor,
/// which holds one key.
const MAX_REQUEST_BYTES: usize = 16 << 10;
/// The name in logs of a subscriber whose hello can't be read.
const UNKNOWN_NAME: &str = "unknown";

/// One connection of the service, before and after its hello.
struct SubscriberStream<'a> {
    service: &'a Weak<ObserverService>,
    id: ConnectionId,
    stream: &'a Async<TcpStream>,
}

/// A subscriber whose hello was accepted.
struct Accepted {
    name: String,
    queue: Rc<SendQueue>,
}

/// The subscriber's name and the reason why its connection ended, for the log.
struct ConnectionEnd {
    name: String,
    reason: CloseReason,
}

/// Serves a subscriber until its connection ends.
pub(super) async fn serve(
    service: Weak<ObserverService>,
    id: ConnectionId,
    stream: Async<TcpStream>,
    peer: SocketAddr,
) {
    let connection = SubscriberStream {
        service: &service,
        id,
        stream: &stream,
    };
    let ConnectionEnd { name, reason } = connection.run().await;
    if let Some(service) = service.upgrade() {
        service.connection_ended(id);
    }
    tracing::info!("subscriber {name} at {peer} ended reason={reason}");
}

impl SubscriberStream<'_> {
    async fn run(&self) -> ConnectionEnd {
        disable_nagle(self.stream);
        let mut reader = FrameReader::default();
        let Accepted { name, queue } = match self.exchange_hellos(&mut reader).await {
            Ok(accepted) => accepted,
            Err(end) => return end,
        };
        let writing = queue.write_to(self.stream, |queued| self.bytes_queued(queued));
        let reason = match writing.or(self.receive_all(&mut reader)).await {
            CloseReason::Stalled => CloseReason::TooSlow,
            reason => reason,
        };
        if queue.is_ending() {
            linger(self.stream).await;
        }
        ConnectionEnd { name, reason }
    }

    fn bytes_queued(&self, queued: usize) {
        if let Some(service) = self.service.upgrade() {
            service.drive(|core, _, store| core.bytes_queued(self.id, queued, store));
        }
    }

    /// Reads the hello and answers it.
    async fn exchange_hellos(&self, reader: &mut FrameReader) -> Result<Accepted, ConnectionEnd> {
        let hello = match reader.read_hello::<SubscriberHello>(self.stream).await {
            Ok(hello) => hello,
            Err(reason) => return Err(self.hello_failed(reason, reader).await),
        };
        let name = hello.name.clone();
        let Some(service) = self.service.upgrade() else {
            let reason = CloseReason::Stopped;
            return Err(ConnectionEnd { name, reason });
        };
        let HelloAnswer { welcome, queue } = service.handle_hello(self.id, &hello);
        drop(service);
        let answered = self.write_welcome(&welcome).await;
        if let Some(rejection) = welcome.rejected {
            linger(self.stream).await;
            let reason = CloseReason::Rejected(rejection.code());
            return Err(ConnectionEnd { name, reason });
        }
        match (queue, answered) {
            (Some(queue), Ok(())) => Ok(Accepted { name, queue }),
            (Some(_), Err(reason)) => Err(ConnectionEnd { name, reason }),
            (None, _) => Err(ConnectionEnd {
                name,
                reason: CloseReason::Stopped,
            }),
        }
    }

    /// Ends a connection whose hello can't be read. If a frame was received, the other side is sent
    /// the reason.
    async fn hello_failed(&self, reason: CloseReason, reader: &FrameReader) -> ConnectionEnd {
        let name = UNKNOWN_NAME.to_owned();
        if !matches!(
            reason,
            CloseReason::FrameTooLong | CloseReason::MalformedFrame
        ) {
            return ConnectionEnd { name, reason };
        }
        let rejection = unreadable_hello(reader.buffered());
        let reason = CloseReason::Rejected(rejection.code());
        self.reject_unread(rejection).await;
        ConnectionEnd { name, reason }
    }

    async fn reject_unread(&self, rejection: Rejection) {
        let mut welcome = ObserverWelcome {
            rejected: Some(rejection),
            revision: 0,
            subscribers: 0,
            capacity: 0,
        };
        if let Some(service) = self.service.upgrade() {
            welcome.revision = service.progress().revision;
            welcome.subscribers = u32::try_from(service.subscribers()).unwrap_or(u32::MAX);
        }
        if self.write_welcome(&welcome).await.is_ok() {
            linger(self.stream).await;
        }
    }

    async fn write_welcome(&self, welcome: &ObserverWelcome) -> Result<(), CloseReason> {
        let frame = wire::encode_frame(welcome)?;
        write_all(self.stream, &frame).await
    }

    /// Receives messages until the connection ends. If this side ends it, this function waits
    /// forever, as the writer still has to send the reason.
    async fn receive_all(&self, reader: &mut FrameReader) -> CloseReason {
        loop {
            match self.receive_buffered(reader) {
                Ok(Received::All) => {}
                Ok(Received::ConnectionIsEnding) => return pending().await,
                Err(reason) => return reason,
            }
            if let Err(reason) = reader.read_more(self.stream).await {
                return reason;
            }
            future::yield_now().await;
        }
    }

    /// Passes all complete messages in the buffer to the core.
    fn receive_buffered(&self, reader: &mut FrameReader) -> Result<Received, CloseReason> {
        loop {
            let next = reader.next::<SubscriberMessage>(MAX_REQUEST_BYTES);
            let service = self.service.upgrade().ok_or(CloseReason::Stopped)?;
            match next {
                Ok(Some(received)) => {
                    service.counter.count_received(received.frame_bytes);
                    service.drive(|core, now, store| {
                        core.receive(now, self.id, received.message, store);
                    });
                }
                Ok(None) => return Ok(Received::All),
                Err(reason) => {
                    service.drive(|core, now, _| core.disconnected(now, self.id));
                    let detail = reason.to_string();
                    service.reject(self.id, Rejection::ProtocolViolation { detail });
                    return Ok(Received::ConnectionIsEnding);
                }
            }
            let queue = service.send_queue(self.id);
            if queue.is_none_or(|queue| queue.is_ending()) {
                return Ok(Received::ConnectionIsEnding);
            }
        }
    }
}

enum Received {
    /// All complete messages were passed on.
    All,
    /// This side ends the connection because of one of the messages.
    ConnectionIsEnding,
}

/// Returns the reason to reject a hello that can't be decoded. A hello of another protocol version
/// may have other fields, so only its magic number and version are read.
fn unreadable_hello(frame: &[u8]) -> Rejection {
    let body = frame.get(wire::FRAME_HEADER_BYTES..).unwrap_or_default();
    match postcard::from_bytes::<([u8; 4], u16)>(body) {
        Ok((PROTOCOL_MAGIC, theirs)) if theirs != PROTOCOL_VERSION => Rejection::WrongVersion {
            theirs,
            ours: PROTOCOL_VERSION,
        },
        _ => Rejection::NotASubscriber,
    }
}
