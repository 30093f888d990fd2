//! Events at the wrong instant: the client's side of the socket is written while the program stands
//! still, so that the test decides the order in which they are met. The only waits are for sockets.
#![allow(
    clippy::unwrap_used,
    clippy::panic,
    clippy::indexing_slicing,
    reason = "a failed step fails the test"
)]

mod closes;
mod disconnects;

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
use violetgate_policy::interface::{Micros, QueryId};

use super::cancellation::CancelKey;
use super::session::READ_AHEAD_BYTES;
use super::sessions::Sessions;
use crate::config::{ClassName, NameTable};
use crate::drain::DrainState;
use crate::exchange::{Answer, Exchange, RequestIdInUse, RequestSink};
use crate::net;
use crate::stats::Stats;

/// Wide enough for the slowest machine; nothing waits this long unless it has failed.
const WAIT: Duration = Duration::from_secs(30);

/// A sink that records what is submitted and answers nothing by itself.
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
    fn refuse(&self, id: QueryId) {
        let exchange = self.open.borrow_mut().remove(&id).unwrap();
        exchange.complete(Answer::Rejected { retry_after: 0 });
    }
}

struct Front {
    executor: Rc<LocalExecutor<'static>>,
    sink: Rc<RecordingSink>,
    sessions: Rc<Sessions>,
    addr: SocketAddr,
}

impl Front {
    fn new(most: usize) -> Self {
        let executor = Rc::new(LocalExecutor::new());
        let sink = Rc::new(RecordingSink::default());
        let names = NameTable {
            classes: vec![ClassName {
                name: "lookup".to_owned(),
                takes_idempotency_key: false,
            }],
            ..NameTable::default()
        };
        let sessions = Sessions::new(
            Rc::clone(&executor),
            Rc::<RecordingSink>::clone(&sink),
            names,
            Rc::new(Stats::new(["lookup"].into_iter())),
            Rc::new(DrainState::default()),
            most,
            ChaCha8Rng::seed_from_u64(7),
        );
        let listener = Rc::new(net::listen(([127, 0, 0, 1], 0).into()).unwrap());
        let addr = listener.get_ref().local_addr().unwrap();
        executor
            .spawn(Rc::clone(&sessions).listen(listener))
            .detach();
        Front {
            executor,
            sink,
            sessions,
            addr,
        }
    }

    /// Lets the program run until something holds.
    fn until(&self, what: &str, mut holds: impl FnMut() -> bool) {
        let end = Instant::now() + WAIT;
        async_io::block_on(self.executor.run(async {
            while !holds() {
                assert!(Instant::now() < end, "never: {what}");
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
            got: Vec::new(),
        }
    }

    /// A session that may ask, and its cancel request.
    fn session(&self) -> (Client, Vec<u8>) {
        let mut client = self.connect();
        client.send(&startup());
        self.until("it may ask", || client.reads().ends_with(b"Z\0\0\0\x05I"));
        let at = client
            .got
            .windows(5)
            .position(|w| w == b"K\0\0\0\x0c")
            .unwrap()
            + 5;
        let cancel = [b"\0\0\0\x10\x04\xd2\x16\x2e", &client.got[at..at + 8]].concat();
        client.got.clear();
        (client, cancel)
    }
}

struct Client {
    stream: TcpStream,
    got: Vec<u8>,
}

impl Client {
    fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).unwrap();
    }

    /// All that has come so far. A reset, which may have taken something along, fails the test.
    fn reads(&mut self) -> &[u8] {
        let mut chunk = [0; 4096];
        loop {
            match self.stream.read(&mut chunk) {
                Ok(n) if n > 0 => self.got.extend_from_slice(&chunk[..n]),
                Err(e) if e.kind() != ErrorKind::WouldBlock => panic!("no end, but {e}"),
                _ => break,
            }
        }
        &self.got
    }

    /// Whether the end has come, as an end and not as a reset.
    fn is_over(&mut self) -> bool {
        self.reads();
        matches!(self.stream.read(&mut [0]), Ok(0))
    }

    fn says(&mut self, code: &str) -> bool {
        self.reads().windows(5).any(|w| w == code.as_bytes())
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
