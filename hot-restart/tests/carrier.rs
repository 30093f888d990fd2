//! The carrier over real Unix sockets: listeners are passed with their queues, frames come whole or not at all, and
//! what is left by the dead is no obstacle.
#![allow(clippy::unwrap_used, clippy::panic, clippy::indexing_slicing)]

use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::os::fd::AsFd;
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::UnixStream;
use std::path::PathBuf;

use async_io::Async;
use violetgate_hot_restart::carrier::{call, listen, Carrier};
use violetgate_hot_restart::{Message, LONGEST};

struct Place(PathBuf);

impl Drop for Place {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

impl Place {
    fn new(name: &str) -> Self {
        let folder =
            std::env::temp_dir().join(format!("violetgate-handover-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        Place(folder)
    }

    fn socket(&self) -> PathBuf {
        self.0.join("handover")
    }
}

fn pair() -> (Carrier, UnixStream) {
    let (a, b) = UnixStream::pair().unwrap();
    (Carrier::over(Async::new(a).unwrap()).unwrap(), b)
}

/// A listener that is passed on has the same queue: a connection that came before is taken by the one that got it, though
/// the one that had it has closed it.
#[test]
fn a_listener_is_passed_with_its_queue() {
    let place = Place::new("queue");
    async_io::block_on(async {
        let waiting = listen(&place.socket()).unwrap();
        let mode = std::fs::metadata(place.socket())
            .unwrap()
            .permissions()
            .mode();
        assert_eq!(mode & 0o777, 0o600);
        let mut new = call(&place.socket()).await.unwrap();
        new.say(&Message::Hello { least: 1, most: 1 }, &[])
            .await
            .unwrap();
        let mut old = Carrier::over(waiting.accept().await.unwrap().0).unwrap();
        let (hello, none) = old.hear().await.unwrap().unwrap();
        assert!(matches!(hello, Message::Hello { .. }) && none.is_empty());
        let port = TcpListener::bind("127.0.0.1:0").unwrap();
        let mut early = TcpStream::connect(port.local_addr().unwrap()).unwrap();
        early.write_all(b"early").unwrap();
        old.say(
            &Message::Offer {
                version: 1,
                parts: 0,
            },
            &[port.as_fd()],
        )
        .await
        .unwrap();
        drop(port);
        let (offer, mut sockets) = new.hear().await.unwrap().unwrap();
        assert_eq!(
            offer,
            Message::Offer {
                version: 1,
                parts: 0
            }
        );
        let taken = TcpListener::from(sockets.pop().unwrap());
        let mut bytes = [0; 5];
        taken.accept().unwrap().0.read_exact(&mut bytes).unwrap();
        assert_eq!(&bytes, b"early");
        drop(old);
        assert!(
            new.hear().await.unwrap().is_none(),
            "the end of the other is the end of the conversation"
        );
    });
}

/// One that listens keeps its place; what a dead one left is taken away.
#[test]
fn a_place_is_kept_by_the_living_only() {
    let place = Place::new("place");
    let first = listen(&place.socket()).unwrap();
    assert_eq!(
        listen(&place.socket()).err().map(|e| e.kind()),
        Some(ErrorKind::AddrInUse)
    );
    drop(first);
    assert!(
        place.socket().exists(),
        "a process that dies takes nothing away"
    );
    assert!(async_io::block_on(call(&place.socket())).is_err());
    listen(&place.socket()).unwrap();
    assert!(
        listen(&place.0.join("x".repeat(200))).is_err(),
        "a name that is too long is told"
    );
}

/// Frames come in any pieces, whole or not at all; what is none is an error, and so is one that is too long.
#[test]
fn frames_come_whole_or_not_at_all() {
    let message = Message::Part {
        number: 3,
        bytes: vec![7; 300],
    };
    let (from, mut raw) = pair();
    async_io::block_on(from.say(&message, &[])).unwrap();
    let mut bytes = vec![0; 4 + 300 + 16];
    let count = raw.read(&mut bytes).unwrap();
    bytes.truncate(count);
    for cut in 0..=count {
        let (mut to, mut raw) = pair();
        raw.write_all(&bytes[..cut]).unwrap();
        drop(raw);
        let heard = async_io::block_on(to.hear()).unwrap().map(|m| m.0);
        assert_eq!(heard, (cut == count).then(|| message.clone()), "{cut}");
    }
    for bent in [[0xff; 8].to_vec(), [3, 0, 0, 0, 0xff, 0xff, 0xff].to_vec()] {
        let (mut to, mut raw) = pair();
        raw.write_all(&bent).unwrap();
        drop(raw);
        assert!(async_io::block_on(to.hear()).is_err(), "{bent:?}");
    }
    let long = Message::Part {
        number: 0,
        bytes: vec![0; LONGEST + 100],
    };
    let (from, _raw) = pair();
    assert!(async_io::block_on(from.say(&long, &[])).is_err());
}
