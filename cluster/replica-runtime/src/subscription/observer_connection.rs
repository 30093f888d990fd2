//! One connection of a subscription to an observer.

use std::net::{SocketAddr, TcpStream};
use std::rc::{Rc, Weak};

use async_io::Async;
use futures_lite::{future, FutureExt};
use violetgate_raft::NodeId;
use violetgate_state_distribution::{
    ObserverMessage, ObserverWelcome, Rejection, SubscriberHello, MAX_MESSAGE_BYTES,
};

use super::Subscription;
use crate::connection::{frame, late, write, Input, CONNECT, GREET};
use crate::send_queue::SendQueue;
use crate::wire;

/// Which connection of which subscription it is.
pub(super) struct Place {
    pub of: Weak<Subscription>,
    pub observer: NodeId,
    pub number: u64,
    pub address: SocketAddr,
}

/// Why a connection ended.
enum End {
    /// The observer turned this front end away.
    Rejected(Rejection),
    /// It broke, or never came up.
    Broken(&'static str),
}

impl From<&'static str> for End {
    fn from(reason: &'static str) -> Self {
        End::Broken(reason)
    }
}

/// Connects, greets, and carries messages until the connection ends.
pub(super) async fn keep(place: Place, hello: SubscriberHello, send_queue: Rc<SendQueue>) {
    let mut greeted = false;
    let end = match converse(&place, &hello, &send_queue, &mut greeted).await {
        Ok(never) => match never {},
        Err(end) => end,
    };
    let Place {
        of,
        observer,
        number,
        address,
    } = place;
    let Some(subscription) = of.upgrade() else {
        return;
    };
    // Attempts that fail alike one after another are logged once.
    if subscription.ends_anew(observer, end.code()) || greeted {
        match &end {
            End::Rejected(rejection) => {
                let code = rejection.code();
                tracing::info!(
                    "observer {observer} at {address} refused reason={code}: {rejection}"
                );
            }
            End::Broken(reason) => {
                tracing::info!("observer {observer} at {address} ended reason={reason}")
            }
        }
    }
    subscription.ended(observer, number, end.rejection());
}

impl End {
    fn code(&self) -> &'static str {
        match self {
            End::Rejected(rejection) => rejection.code(),
            End::Broken(reason) => reason,
        }
    }

    fn rejection(&self) -> Option<&Rejection> {
        match self {
            End::Rejected(rejection) => Some(rejection),
            End::Broken(_) => None,
        }
    }
}

async fn converse(
    place: &Place,
    hello: &SubscriberHello,
    send_queue: &SendQueue,
    greeted: &mut bool,
) -> Result<std::convert::Infallible, End> {
    let connecting = async {
        Async::<TcpStream>::connect(place.address)
            .await
            .map_err(|_| "connect_error")
    };
    let stream = connecting.or(late("connect_timeout", CONNECT)).await?;
    let _ = stream.get_ref().set_nodelay(true);
    let mut input = Input::default();
    let welcome = greet(place, hello, &stream, &mut input).await?;
    if let Some(rejection) = welcome.rejected {
        return Err(End::Rejected(rejection));
    }
    *greeted = true;
    place
        .subscription()?
        .with(|core, now| core.connected(now, place.observer, &welcome));
    let reading = async { Err(read(place, &stream, &mut input).await) };
    let writing = async { Err(End::Broken(send_queue.write_to(&stream, |_| ()).await)) };
    writing.or(reading).await
}

async fn greet(
    place: &Place,
    hello: &SubscriberHello,
    stream: &Async<TcpStream>,
    input: &mut Input,
) -> Result<ObserverWelcome, &'static str> {
    let greeting = wire::frame(hello).ok_or("frame_too_long")?;
    write(stream, &greeting).await?;
    place.subscription()?.counter.sent(greeting.len());
    let answer = frame::<ObserverWelcome>(stream, input, wire::GREETING);
    answer.or(late("greeting_timeout", GREET)).await
}

async fn read(place: &Place, stream: &Async<TcpStream>, input: &mut Input) -> End {
    loop {
        loop {
            match input.take::<ObserverMessage>(MAX_MESSAGE_BYTES) {
                Ok(Some((message, size))) => {
                    if let Err(end) = place.received(message, size) {
                        return end;
                    }
                }
                Ok(None) => break,
                Err(reason) => return reason.into(),
            }
        }
        if let Err(reason) = input.read(stream).await {
            return reason.into();
        }
        future::yield_now().await;
    }
}

impl Place {
    fn subscription(&self) -> Result<Rc<Subscription>, &'static str> {
        self.of.upgrade().ok_or("stopped")
    }

    fn received(&self, message: ObserverMessage, size: usize) -> Result<(), End> {
        let subscription = self.subscription()?;
        // The core may have given this connection up over an earlier message.
        if !subscription.holds(self.observer, self.number) {
            return Err(End::Broken("given_up"));
        }
        subscription.counter.received(size);
        if let ObserverMessage::Rejected(rejection) = message {
            return Err(End::Rejected(rejection));
        }
        subscription.with(|core, now| core.receive(now, self.observer, message));
        Ok(())
    }
}
