//! Tests of the client against a fake bus that accepts connections and sends nothing useful. The
//! tests write the bus's bytes themselves and run on the real clock.
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
use violetgate_memory_budget::MemoryBudget;

use super::client::BusPosition;
use super::source::ListRetention;
use super::*;
use crate::config::NameTable;

/// The time after which a wait fails the test, long enough for a slow machine.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

fn memory() -> MemoryBudget {
    MemoryBudget::new(1_000_000)
}

struct FakeBus {
    executor: LocalExecutor<'static>,
    listener: TcpListener,
    updates: Rc<Cell<usize>>,
}

impl FakeBus {
    /// Starts a bus, and a client whose last offset is 5.
    fn new() -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
        listener.set_nonblocking(true).unwrap();
        let source = Rc::new(DiscoverySource::new(
            listener.local_addr().unwrap(),
            ListRetention::Discard,
        ));
        let mut client =
            DiscoveryClient::new(NameTable::default(), Rc::default(), source, memory());
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

    /// Runs the client until `poll` returns something.
    fn wait_until<T>(&self, what: &str, mut poll: impl FnMut() -> Option<T>) -> T {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        async_io::block_on(self.executor.run(async {
            loop {
                if let Some(result) = poll() {
                    return result;
                }
                assert!(Instant::now() < deadline, "timed out: {what}");
                future::yield_now().await;
            }
        }))
    }

    fn accept(&self) -> TcpStream {
        let stream = self
            .wait_until("the client connects", || self.listener.accept().ok())
            .0;
        stream.set_nonblocking(true).unwrap();
        stream
    }

    /// Reads the line that the client sends after it has connected.
    fn read_request(&self, stream: &mut TcpStream) -> String {
        let mut request = Vec::new();
        self.wait_until("the client sends its request", || {
            let mut chunk = [0; 64];
            let n = stream.read(&mut chunk).unwrap_or(0);
            request.extend_from_slice(&chunk[..n]);
            request
                .ends_with(b"\n")
                .then(|| String::from_utf8(request.clone()).unwrap())
        })
    }

    /// Sends the same bytes repeatedly until the client connects again.
    fn send_until_reconnect(&self, stream: &mut TcpStream, bytes: &[u8]) -> TcpStream {
        let mut sent_at = Instant::now();
        self.wait_until("the client reconnects", || {
            // Sent only every 50 ms, so that the bytes don't add up to a line that is too long,
            // which would also end the session.
            if sent_at.elapsed() > Duration::from_millis(50) {
                let _ = stream.write(bytes);
                sent_at = Instant::now();
            }
            self.listener.accept().ok().map(|a| a.0)
        })
    }
}

const EVENT: &str = r#"{"offset":6,"topology":{"full":false,"servers":[{"id":"s","addr":"127.0.0.1:1","state":"terminating"}]}}"#;

/// A session that receives single bytes but no complete line ends like a silent one. If each byte
/// counted as a heartbeat, the session would never end, and the client would miss a drain that is
/// announced meanwhile.
#[test]
fn a_session_that_trickles_ends_and_resumes() {
    let bus = FakeBus::new();
    let mut first = bus.accept();
    assert_eq!(bus.read_request(&mut first), "from 5\n");
    let mut second = bus.send_until_reconnect(&mut first, b" ");
    second.set_nonblocking(true).unwrap();
    assert_eq!(bus.read_request(&mut second), "from 5\n");
    second.write_all(format!("{EVENT}\n").as_bytes()).unwrap();
    bus.wait_until("the drain is reported", || {
        (bus.updates.get() == 1).then_some(())
    });
}

/// A bus that is behind the client's offset ends the session, although it sends lines: none of them
/// can contain a new event.
#[test]
fn a_session_with_a_bus_that_is_behind_ends() {
    let bus = FakeBus::new();
    let mut first = bus.accept();
    assert_eq!(bus.read_request(&mut first), "from 5\n");
    let mut second = bus.send_until_reconnect(&mut first, b"4\n");
    second.set_nonblocking(true).unwrap();
    assert_eq!(bus.read_request(&mut second), "from 5\n");
}

/// A lower offset, an event that is already known and a malformed line don't count as heartbeats.
#[test]
fn only_current_offsets_and_new_events_count_as_heartbeats() {
    let source = Rc::new(DiscoverySource::new(
        ([127, 0, 0, 1], 1).into(),
        ListRetention::Discard,
    ));
    let mut client = DiscoveryClient::new(NameTable::default(), Rc::default(), source, memory());
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
