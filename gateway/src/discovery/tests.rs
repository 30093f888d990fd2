//! A bus that is up and says nothing of use: the test plays it, byte by byte. Only the client's own
//! clock runs.
#![allow(
    clippy::unwrap_used,
    clippy::panic,
    clippy::indexing_slicing,
    reason = "a failed step fails the test"
)]

use std::cell::Cell;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use futures_lite::future;

use super::client::BusPosition;
use super::source::ListRetention;
use super::*;
use crate::config::NameTable;

/// Wide enough for the slowest machine; nothing waits this long unless it has failed.
const WAIT: Duration = Duration::from_secs(30);

struct FakeBus {
    executor: LocalExecutor<'static>,
    listener: TcpListener,
    updates: Rc<Cell<usize>>,
}

impl FakeBus {
    /// A client that knows event 5.
    fn new() -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
        listener.set_nonblocking(true).unwrap();
        let place = Rc::new(DiscoverySource::new(
            listener.local_addr().unwrap(),
            ListRetention::Discard,
        ));
        let mut client = DiscoveryClient::new(NameTable::default(), Rc::default(), place);
        client.last_offset = 5;
        let (executor, updates) = (LocalExecutor::new(), Rc::new(Cell::new(0)));
        let count = Rc::clone(&updates);
        executor
            .spawn(async move {
                client
                    .follow(&mut |_, listed| count.set(count.get() + listed.len()))
                    .await
            })
            .detach();
        FakeBus {
            executor,
            listener,
            updates,
        }
    }

    /// Lets the client run until something is there.
    fn until<T>(&self, what: &str, mut found: impl FnMut() -> Option<T>) -> T {
        let end = Instant::now() + WAIT;
        async_io::block_on(self.executor.run(async {
            loop {
                if let Some(found) = found() {
                    return found;
                }
                assert!(Instant::now() < end, "never: {what}");
                future::yield_now().await;
            }
        }))
    }

    fn accepts(&self) -> TcpStream {
        let stream = self.until("it connects", || self.listener.accept().ok()).0;
        stream.set_nonblocking(true).unwrap();
        stream
    }

    /// What the client requests as it connects.
    fn hello(&self, stream: &mut TcpStream) -> String {
        let mut got = Vec::new();
        self.until("it says from where", || {
            let mut chunk = [0; 64];
            let n = stream.read(&mut chunk).unwrap_or(0);
            got.extend_from_slice(&chunk[..n]);
            got.ends_with(b"\n")
                .then(|| String::from_utf8(got.clone()).unwrap())
        })
    }

    /// Says the same again and again until the client connects anew.
    fn send_until_reconnect(&self, stream: &mut TcpStream, bytes: &[u8]) -> TcpStream {
        let mut said = Instant::now();
        self.until("it reconnects", || {
            // Not without pause: what is read must not look like one long line.
            if said.elapsed() > Duration::from_millis(50) {
                let _ = stream.write(bytes);
                said = Instant::now();
            }
            self.listener.accept().ok().map(|a| a.0)
        })
    }
}

const EVENT: &str = r#"{"offset":6,"topology":{"full":false,"servers":[{"id":"s","addr":"127.0.0.1:1","state":"terminating"}]}}"#;

/// A session on which bytes trickle, and never a complete line, ends as a silent one does. If each
/// byte counted as a heartbeat it would never end, and a drain announced meanwhile would be missed.
#[test]
fn a_session_that_trickles_ends_and_resumes() {
    let bus = FakeBus::new();
    let mut first = bus.accepts();
    assert_eq!(bus.hello(&mut first), "from 5\n");
    let mut second = bus.send_until_reconnect(&mut first, b" ");
    second.set_nonblocking(true).unwrap();
    assert_eq!(bus.hello(&mut second), "from 5\n");
    second.write_all(format!("{EVENT}\n").as_bytes()).unwrap();
    bus.until("the drain is reported", || {
        (bus.updates.get() == 1).then_some(())
    });
}

/// A bus that is behind what is known here sends lines, and none that would hold a new event.
#[test]
fn a_session_with_a_bus_that_is_behind_ends() {
    let bus = FakeBus::new();
    let mut first = bus.accepts();
    assert_eq!(bus.hello(&mut first), "from 5\n");
    let mut second = bus.send_until_reconnect(&mut first, b"4\n");
    second.set_nonblocking(true).unwrap();
    assert_eq!(bus.hello(&mut second), "from 5\n");
}

/// Neither a lower offset, nor an event that is known, nor what can't be read.
#[test]
fn only_current_offsets_and_new_events_count_as_heartbeats() {
    let place = Rc::new(DiscoverySource::new(
        ([127, 0, 0, 1], 1).into(),
        ListRetention::Discard,
    ));
    let mut client = DiscoveryClient::new(NameTable::default(), Rc::default(), place);
    client.last_offset = 5;
    let mut updates = 0;
    let mut line =
        |line: &str| client.take_line(line.as_bytes(), &mut |_, listed| updates += listed.len());
    assert_eq!(
        [line("5"), line("4"), line("0")],
        [
            Ok(BusPosition::Current),
            Ok(BusPosition::Behind),
            Ok(BusPosition::Behind)
        ]
    );
    assert!(line("6").is_err() && line("{}").is_err() && line("").is_err());
    assert_eq!(
        [line(EVENT), line(EVENT), line("6"), line("5")],
        [
            Ok(BusPosition::Current),
            Ok(BusPosition::Behind),
            Ok(BusPosition::Current),
            Ok(BusPosition::Behind)
        ]
    );
    assert_eq!(updates, 1);
}
