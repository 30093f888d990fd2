//! One subscriber's connection at an observer: its greeting, then messages both ways.

use std::future::pending;
use std::net::{SocketAddr, TcpStream};
use std::rc::{Rc, Weak};

use async_io::Async;
use futures_lite::{future, FutureExt};
use violetgate_state_distribution::{
    ConnectionId, FromSubscriber, ObserverWelcome, Refusal, SubscriberHello, MAGIC, VERSION,
};

use super::ObserverService;
use crate::connection::{frame, late, linger, write, Input, GREET};
use crate::outbox::Outbox;
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
    let (name, outbox) = match greet(of, id, stream, &mut input).await {
        Ok(greeted) => greeted,
        Err((name, reason)) => return (name, reason),
    };
    let reading = read(of, id, stream, &mut input);
    let writing = outbox.write_to(stream, |waiting| {
        if let Some(service) = of.upgrade() {
            service.with(|core, _, store| core.queued(id, waiting, store));
        }
    });
    let reason = match writing.or(reading).await {
        "stalled" => "too_slow",
        reason => reason,
    };
    if outbox.is_ending() {
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
) -> Result<(String, Rc<Outbox>), (String, &'static str)> {
    let nobody = || "unknown".to_owned();
    let greeting = frame::<SubscriberHello>(stream, input, wire::GREETING);
    let hello = match greeting.or(late("greeting_timeout", GREET)).await {
        Ok(hello) => hello,
        Err("frame_too_long" | "garbage") => {
            let refusal = unreadable(input.rest());
            let code = refusal.code();
            turn_away(of, stream, refusal).await;
            return Err((nobody(), code));
        }
        Err(reason) => return Err((nobody(), reason)),
    };
    let greeted = of.upgrade().map(|service| service.greet(id, &hello));
    let Some((welcome, outbox)) = greeted else {
        return Err((hello.name, "stopped"));
    };
    let answered = answer(stream, &welcome).await;
    match (outbox, welcome.refused) {
        (_, Some(refusal)) => {
            linger(stream).await;
            Err((hello.name, refusal.code()))
        }
        (Some(outbox), None) => match answered {
            Ok(()) => Ok((hello.name, outbox)),
            Err(reason) => Err((hello.name, reason)),
        },
        (None, None) => Err((hello.name, "stopped")),
    }
}

/// Why a greeting that can't be read is turned away: one of another version may have other fields.
fn unreadable(bytes: &[u8]) -> Refusal {
    let body = bytes.get(wire::HEAD..).unwrap_or_default();
    match postcard::from_bytes::<([u8; 4], u16)>(body) {
        Ok((MAGIC, theirs)) if theirs != VERSION => Refusal::WrongVersion {
            theirs,
            ours: VERSION,
        },
        _ => Refusal::NotASubscriber,
    }
}

async fn turn_away(of: &Weak<ObserverService>, stream: &Async<TcpStream>, refusal: Refusal) {
    let (revision, subscribers) = of.upgrade().map_or((0, 0), |service| {
        (service.progress().revision, service.subscribers())
    });
    let subscribers = u32::try_from(subscribers).unwrap_or(u32::MAX);
    let welcome = ObserverWelcome {
        refused: Some(refusal),
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
            let taken = input.take::<FromSubscriber>(LONGEST_REQUEST);
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
                    service.with(|core, now, _| core.disconnect(now, id));
                    service.refuse(
                        id,
                        Refusal::Protocol {
                            what: what.to_owned(),
                        },
                    );
                    drop(service);
                    return pending().await;
                }
            }
            if service.outbox(id).is_none_or(|outbox| outbox.is_ending()) {
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
