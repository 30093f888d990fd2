//! Runs one connection of a subscription to an observer: the hello, then messages in both
//! directions.

use std::net::{SocketAddr, TcpStream};
use std::rc::{Rc, Weak};

use async_io::Async;
use futures_lite::{future, FutureExt};
use violetgate_raft::NodeId;
use violetgate_state_distribution::{
    ObserverMessage, ObserverWelcome, Rejection, SubscriberHello, MAX_MESSAGE_BYTES,
};

use super::{ConnectionNumber, Subscription};
use crate::close_reason::CloseReason;
use crate::framing::{connect, write_all, FrameReader};
use crate::send_queue::SendQueue;
use crate::wire::{self, Decoded};

/// Identifies a connection and the subscription that it belongs to.
pub(super) struct ConnectionContext {
    pub subscription: Weak<Subscription>,
    pub observer: NodeId,
    pub number: ConnectionNumber,
    pub address: SocketAddr,
}

/// The reason why a connection ended.
enum ConnectionEnd {
    /// The observer rejected this gateway.
    Rejected(Rejection),
    /// The connection failed or could not be made.
    Closed(CloseReason),
}

impl From<CloseReason> for ConnectionEnd {
    fn from(reason: CloseReason) -> Self {
        ConnectionEnd::Closed(reason)
    }
}

impl ConnectionEnd {
    fn reason(&self) -> CloseReason {
        match self {
            ConnectionEnd::Rejected(rejection) => CloseReason::Rejected(rejection.code()),
            ConnectionEnd::Closed(reason) => *reason,
        }
    }

    fn rejection(&self) -> Option<&Rejection> {
        match self {
            ConnectionEnd::Rejected(rejection) => Some(rejection),
            ConnectionEnd::Closed(_) => None,
        }
    }

    fn log(&self, observer: NodeId, address: SocketAddr) {
        let reason = self.reason();
        match self {
            ConnectionEnd::Rejected(rejection) => tracing::info!(
                "observer {observer} at {address} rejected reason={reason}: {rejection}"
            ),
            ConnectionEnd::Closed(_) => {
                tracing::info!("observer {observer} at {address} ended reason={reason}");
            }
        }
    }
}

/// Connects, sends the hello, and exchanges messages until the connection ends.
pub(super) async fn run(context: ConnectionContext, hello: SubscriberHello, queue: Rc<SendQueue>) {
    let mut accepted = false;
    let end = context.exchange(&hello, &queue, &mut accepted).await;
    let ConnectionContext {
        subscription,
        observer,
        number,
        address,
    } = context;
    let Some(subscription) = subscription.upgrade() else {
        return;
    };
    // Consecutive attempts that fail for the same reason are logged once.
    if subscription.record_end(observer, end.reason()) || accepted {
        end.log(observer, address);
    }
    subscription.connection_ended(observer, number, end.rejection());
}

impl ConnectionContext {
    fn subscription(&self) -> Result<Rc<Subscription>, CloseReason> {
        self.subscription.upgrade().ok_or(CloseReason::Stopped)
    }

    /// Runs the connection until it ends. `accepted` is set once the observer has accepted the
    /// hello.
    async fn exchange(
        &self,
        hello: &SubscriberHello,
        queue: &SendQueue,
        accepted: &mut bool,
    ) -> ConnectionEnd {
        let mut reader = FrameReader::default();
        let stream = match self.open(hello, &mut reader).await {
            Ok(stream) => stream,
            Err(end) => return end,
        };
        *accepted = true;
        let writing = async { ConnectionEnd::Closed(queue.write_to(&stream, |_| ()).await) };
        writing.or(self.receive_all(&stream, &mut reader)).await
    }

    /// Connects to the observer and sends the hello. Fails if the observer rejects it.
    async fn open(
        &self,
        hello: &SubscriberHello,
        reader: &mut FrameReader,
    ) -> Result<Async<TcpStream>, ConnectionEnd> {
        let stream = connect(self.address).await?;
        let frame = wire::encode_frame(hello)?;
        write_all(&stream, &frame).await?;
        self.subscription()?.counter.count_sent(frame.len());
        let welcome: ObserverWelcome = reader.read_hello(&stream).await?;
        if let Some(rejection) = welcome.rejected {
            return Err(ConnectionEnd::Rejected(rejection));
        }
        self.subscription()?
            .drive(|core, now| core.connected(now, self.observer, &welcome));
        Ok(stream)
    }

    async fn receive_all(
        &self,
        stream: &Async<TcpStream>,
        reader: &mut FrameReader,
    ) -> ConnectionEnd {
        loop {
            if let Err(end) = self.receive_buffered(reader) {
                return end;
            }
            if let Err(reason) = reader.read_more(stream).await {
                return reason.into();
            }
            future::yield_now().await;
        }
    }

    /// Passes all complete messages in the buffer to the core.
    fn receive_buffered(&self, reader: &mut FrameReader) -> Result<(), ConnectionEnd> {
        while let Some(received) = reader.next(MAX_MESSAGE_BYTES)? {
            self.receive(received)?;
        }
        Ok(())
    }

    fn receive(&self, received: Decoded<ObserverMessage>) -> Result<(), ConnectionEnd> {
        let subscription = self.subscription()?;
        // The core may have closed this connection because of an earlier message.
        if !subscription.is_current(self.observer, self.number) {
            return Err(CloseReason::ClosedByCore.into());
        }
        subscription.counter.count_received(received.frame_bytes);
        match received.message {
            ObserverMessage::Rejected(rejection) => Err(ConnectionEnd::Rejected(rejection)),
            message => {
                subscription.drive(|core, now| core.receive(now, self.observer, message));
                Ok(())
            }
        }
    }
}
