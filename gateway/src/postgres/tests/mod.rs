//! Tests of races between events of a session. A test writes to the client's sockets while the
//! server's executor does not run, so that it decides the order in which the server meets the
//! events. The tests wait only for sockets.
#![allow(
    clippy::unwrap_used,
    clippy::panic,
    clippy::indexing_slicing,
    reason = "a failed step fails the test"
)]

mod closes;
mod disconnects;
mod memory;

use std::cell::RefCell;
use std::collections::HashMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use futures_lite::future;
use rand_chacha::rand_core::SeedableRng;
use rand_chacha::ChaCha8Rng;
use violetgate_memory_budget::MemoryBudget;
use violetgate_policy::interface::{Micros, QueryId};

use super::cancellation::CancelKey;
use super::session::READ_AHEAD_BYTES;
use super::sessions::{SessionParts, Sessions};
use crate::config::{ClassName, NameTable};
use crate::drain::DrainState;
use crate::exchange::{Answer, Exchange, RequestIdInUse, RequestSink};
use crate::net;
use crate::stats::Stats;

/// Maximum time to wait for a condition: long enough for a slow machine, and reached only if the
/// test fails.
const WAIT: Duration = Duration::from_secs(30);
/// The memory budget of a server: more than any of these tests needs.
const MEMORY_BYTES: usize = 16 * 1024 * 1024;

/// A sink that records submitted and withdrawn queries, and answers only when the test says so.
#[derive(Default)]
struct RecordingSink {
    submitted: RefCell<Vec<QueryId>>,
    withdrawn: RefCell<Vec<QueryId>>,
    open: RefCell<HashMap<QueryId, Rc<Exchange>>>,
}

impl RequestSink for RecordingSink {
    fn submit(&self, exchange: &Rc<Exchange>) -> Result<(), RequestIdInUse> {
        let id = exchange.id();
        self.submitted.borrow_mut().push(id);
        self.open.borrow_mut().insert(id, Rc::clone(exchange));
        Ok(())
    }
    fn withdraw(&self, query: QueryId) {
        self.withdrawn.borrow_mut().push(query);
        self.open.borrow_mut().remove(&query);
    }
    fn now(&self) -> Micros {
        1_000_000
    }
}

impl RecordingSink {
    fn reject(&self, id: QueryId) {
        let exchange = self.open.borrow_mut().remove(&id).unwrap();
        exchange.complete(Answer::Rejected { retry_after: 0 });
    }
}

struct TestServer {
    executor: Rc<LocalExecutor<'static>>,
    sink: Rc<RecordingSink>,
    sessions: Rc<Sessions>,
    memory: MemoryBudget,
    addr: SocketAddr,
}

impl TestServer {
    fn new(max_connections: usize) -> Self {
        Self::with_memory(max_connections, MemoryBudget::new(MEMORY_BYTES))
    }

    fn with_memory(max_connections: usize, memory: MemoryBudget) -> Self {
        let executor = Rc::new(LocalExecutor::new());
        let sink = Rc::new(RecordingSink::default());
        let names = NameTable {
            classes: vec![ClassName {
                name: "lookup".to_owned(),
                takes_idempotency_key: false,
            }],
            ..NameTable::default()
        };
        let parts = SessionParts {
            executor: Rc::clone(&executor),
            sink: Rc::<RecordingSink>::clone(&sink),
            names,
            stats: Rc::new(Stats::new(["lookup"].into_iter())),
            drain: Rc::new(DrainState::default()),
            memory: memory.clone(),
        };
        let sessions = Sessions::new(parts, max_connections, ChaCha8Rng::seed_from_u64(7));
        let listener = Rc::new(net::listen(([127, 0, 0, 1], 0).into()).unwrap());
        let addr = listener.get_ref().local_addr().unwrap();
        executor
            .spawn(Rc::clone(&sessions).listen(listener))
            .detach();
        TestServer {
            executor,
            sink,
            sessions,
            memory,
            addr,
        }
    }

    /// Runs the server's executor until `holds` returns true. `what` describes the condition if it
    /// times out.
    fn run_until(&self, what: &str, mut holds: impl FnMut() -> bool) {
        let end = Instant::now() + WAIT;
        async_io::block_on(self.executor.run(async {
            while !holds() {
                assert!(Instant::now() < end, "condition not met in time: {what}");
                future::yield_now().await;
            }
        }));
    }

    fn connect(&self) -> Client {
        let stream = TcpStream::connect(self.addr).unwrap();
        stream.set_nonblocking(true).unwrap();
        stream.set_nodelay(true).unwrap();
        Client {
            stream,
            received: Vec::new(),
        }
    }

    /// Starts a session, and returns its client and the bytes of its cancel request.
    fn session(&self) -> (Client, Vec<u8>) {
        let mut client = self.connect();
        client.send(&startup());
        self.run_until("ready", || client.read_all().ends_with(b"Z\0\0\0\x05I"));
        let at = client
            .received
            .windows(5)
            .position(|w| w == b"K\0\0\0\x0c")
            .unwrap()
            + 5;
        let cancel = [b"\0\0\0\x10\x04\xd2\x16\x2e", &client.received[at..at + 8]].concat();
        client.received.clear();
        (client, cancel)
    }
}

struct Client {
    stream: TcpStream,
    received: Vec<u8>,
}

impl Client {
    fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).unwrap();
    }

    /// Reads without waiting, and returns all bytes received so far. A reset, which may have
    /// destroyed an answer, fails the test.
    fn read_all(&mut self) -> &[u8] {
        let mut chunk = [0; 4096];
        loop {
            match self.stream.read(&mut chunk) {
                Ok(n) if n > 0 => self.received.extend_from_slice(&chunk[..n]),
                Err(e) if e.kind() != ErrorKind::WouldBlock => panic!("read failed: {e}"),
                _ => break,
            }
        }
        &self.received
    }

    /// Whether the server has closed the connection, without a reset.
    fn reached_end(&mut self) -> bool {
        self.read_all();
        matches!(self.stream.read(&mut [0]), Ok(0))
    }

    fn received_code(&mut self, code: &str) -> bool {
        self.read_all().windows(5).any(|w| w == code.as_bytes())
    }
}

fn startup() -> Vec<u8> {
    b"\0\0\0\x25\0\x03\0\0user\0app\0database\0analytics\0\0".to_vec()
}

fn query(id: QueryId) -> Vec<u8> {
    let text = format!("/* method=lookup,rid={id:016x},budget=9000 */ SELECT 1 FROM sales_2.t");
    [
        b"Q",
        &(text.len() as u32 + 5).to_be_bytes()[..],
        text.as_bytes(),
        b"\0",
    ]
    .concat()
}
