//! One subscriber's connection at an observer: its greeting, then messages both ways.

use std::future::pending;
use std::net::{SocketAddr, TcpStream};
use std::rc::{Rc, Weak};

use async_io::Async;
use futures_lite::{future, FutureExt};
use violetgate_state_distribution::{
    ConnectionId, ObserverWelcome, Rejection, SubscriberHello, SubscriberMessage, PROTOCOL_MAGIC,
    PROTOCOL_VERSION,
};

use super::ObserverService;
use crate::connection::{frame, late, linger, write, Input, GREET};
use crate::send_queue::SendQueue;
use crate::wire;

/// The longest message of a subscriber: a place in a snapshot names one key.
const LONGEST_REQUEST: usize = 16 << 10;

/// Serves a subscriber until its connection ends.
pub(super) async fn serve(
    of: Weak<ObserverService>,
    id: ConnectionId,
    stream: Async<TcpStream>,
    peer: SocketAddr,
) {
    let (name, reason) = converse(&of, id, &stream).await;
    if let Some(service) = of.upgrade() {
        service.ended(id);
    }
    tracing::info!("subscriber {name} at {peer} ended reason={reason}");
}

/// Who it was, and why its connection ended.
async fn converse(
    of: &Weak<ObserverService>,
    id: ConnectionId,
    stream: &Async<TcpStream>,
) -> (String, &'static str) {
    let _ = stream.get_ref().set_nodelay(true);
    let mut input = Input::default();
    let (name, send_queue) = match greet(of, id, stream, &mut input).await {
        Ok(greeted) => greeted,
        Err((name, reason)) => return (name, reason),
    };
    let reading = read(of, id, stream, &mut input);
    let writing = send_queue.write_to(stream, |waiting| {
        if let Some(service) = of.upgrade() {
            service.with(|core, _, store| core.bytes_queued(id, waiting, store));
        }
    });
    let reason = match writing.or(reading).await {
        "stalled" => "too_slow",
        reason => reason,
    };
    if send_queue.is_ending() {
        linger(stream).await;
    }
    (name, reason)
}

/// Takes the greeting and answers it; the subscriber's name and queue.
async fn greet(
    of: &Weak<ObserverService>,
    id: ConnectionId,
    stream: &Async<TcpStream>,
    input: &mut Input,
) -> Result<(String, Rc<SendQueue>), (String, &'static str)> {
    let nobody = || "unknown".to_owned();
    let greeting = frame::<SubscriberHello>(stream, input, wire::GREETING);
    let hello = match greeting.or(late("greeting_timeout", GREET)).await {
        Ok(hello) => hello,
        Err("frame_too_long" | "garbage") => {
            let rejection = unreadable(input.rest());
            let code = rejection.code();
            turn_away(of, stream, rejection).await;
            return Err((nobody(), code));
        }
        Err(reason) => return Err((nobody(), reason)),
    };
    let greeted = of.upgrade().map(|service| service.greet(id, &hello));
    let Some((welcome, send_queue)) = greeted else {
        return Err((hello.name, "stopped"));
    };
    let answered = answer(stream, &welcome).await;
    match (send_queue, welcome.rejected) {
        (_, Some(rejection)) => {
            linger(stream).await;
            Err((hello.name, rejection.code()))
        }
        (Some(send_queue), None) => match answered {
            Ok(()) => Ok((hello.name, send_queue)),
            Err(reason) => Err((hello.name, reason)),
        },
        (None, None) => Err((hello.name, "stopped")),
    }
}

/// Why a greeting that can't be read is turned away: one of another version may have other fields.
fn unreadable(bytes: &[u8]) -> Rejection {
    let body = bytes.get(wire::HEAD..).unwrap_or_default();
    match postcard::from_bytes::<([u8; 4], u16)>(body) {
        Ok((PROTOCOL_MAGIC, theirs)) if theirs != PROTOCOL_VERSION => Rejection::WrongVersion {
            theirs,
            ours: PROTOCOL_VERSION,
        },
        _ => Rejection::NotASubscriber,
    }
}

async fn turn_away(of: &Weak<ObserverService>, stream: &Async<TcpStream>, rejection: Rejection) {
    let (revision, subscribers) = of.upgrade().map_or((0, 0), |service| {
        (service.progress().revision, service.subscribers())
    });
    let subscribers = u32::try_from(subscribers).unwrap_or(u32::MAX);
    let welcome = ObserverWelcome {
        rejected: Some(rejection),
        revision,
        subscribers,
        capacity: 0,
    };
    if answer(stream, &welcome).await.is_ok() {
        linger(stream).await;
    }
}

async fn answer(stream: &Async<TcpStream>, welcome: &ObserverWelcome) -> Result<(), &'static str> {
    let answer = wire::frame(welcome).ok_or("frame_too_long")?;
    write(stream, &answer).await
}

/// Takes messages until the connection ends. One that breaks the protocol is told so by the writing side.
async fn read(
    of: &Weak<ObserverService>,
    id: ConnectionId,
    stream: &Async<TcpStream>,
    input: &mut Input,
) -> &'static str {
    loop {
        loop {
            let taken = input.take::<SubscriberMessage>(LONGEST_REQUEST);
            let Some(service) = of.upgrade() else {
                return "stopped";
            };
            match taken {
                Ok(Some((message, size))) => {
                    service.counter.received(size);
                    service.with(|core, now, store| core.receive(now, id, message, store));
                }
                Ok(None) => break,
                Err(what) => {
                    service.with(|core, now, _| core.disconnected(now, id));
                    service.refuse(
                        id,
                        Rejection::ProtocolViolation {
                            detail: what.to_owned(),
                        },
                    );
                    drop(service);
                    return pending().await;
                }
            }
            if service
                .send_queue(id)
                .is_none_or(|send_queue| send_queue.is_ending())
            {
                drop(service);
                return pending().await;
            }
        }
        if let Err(reason) = input.read(stream).await {
            return reason;
        }
        future::yield_now().await;
    }
}
