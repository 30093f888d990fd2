//! Events at the wrong instant: the client's side of the socket is written while the program stands
//! still, so that the test decides the order in which they are met. The only waits are for sockets.
#![allow(clippy::unwrap_used, clippy::panic, clippy::indexing_slicing)]

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

/// A cancel request that is read before its query, which is in the socket already: nothing of the
/// query begins. It was forgotten as the query was read, and the query was sent after its client
/// had cancelled it.
#[test]
fn a_cancel_request_read_before_its_query_cancels_it() {
    let front = Front::new(8);
    let (mut client, cancel) = front.session();
    let mut other = front.connect();
    other.send(&cancel[..9]);
    front.until("it is accepted", || front.sessions.len() == 2);
    other.send(&cancel[9..]);
    client.send(&query(1));
    front.until("it is answered", || {
        client.reads().ends_with(b"Z\0\0\0\x05I")
    });
    assert!(client.says("57014"), "{}", client.got.escape_ascii());
    assert_eq!(
        *front.sink.submitted.borrow(),
        *front.sink.withdrawn.borrow()
    );
}

/// A cancel request that comes once its query is answered means no other: the next one is served.
#[test]
fn a_cancel_request_after_the_answer_cancels_no_other_query() {
    let front = Front::new(8);
    let (mut client, cancel) = front.session();
    client.send(&query(1));
    front.until("it is taken", || front.sink.submitted.borrow().len() == 1);
    front.sink.refuse(1);
    front.until("it is answered", || client.says("53000"));
    let mut other = front.connect();
    other.send(&cancel);
    front.until("it is carried out", || other.is_over());
    client.got.clear();
    client.send(&query(2));
    front.until("the next is taken", || {
        front.sink.submitted.borrow().len() == 2
    });
    front.sink.refuse(2);
    front.until("and answered", || client.reads().ends_with(b"Z\0\0\0\x05I"));
    assert!(client.says("53000") && front.sink.withdrawn.borrow().is_empty());
}

/// A cancel request that comes in the very moment of its query's answer means no other either.
#[test]
fn a_cancel_request_at_the_moment_of_the_answer_cancels_no_other_query() {
    let front = Front::new(8);
    let (mut client, cancel) = front.session();
    client.send(&query(1));
    front.until("it is taken", || front.sink.submitted.borrow().len() == 1);
    let word = |at: usize| u32::from_be_bytes(cancel[at..at + 4].try_into().unwrap());
    let key = CancelKey {
        pid: word(8),
        secret: word(12),
    };
    front.sessions.cancel_targets.cancel(key);
    front.sink.refuse(1);
    front.until("it is answered, one way or the other", || {
        client.reads().ends_with(b"Z\0\0\0\x05I")
    });
    client.got.clear();
    client.send(&query(2));
    front.until("the next is taken", || {
        front.sink.submitted.borrow().len() == 2
    });
    front.sink.refuse(2);
    front.until("and answered", || client.says("53000"));
}

/// A client that has gone before its queries are read: none of them begins, neither the first nor
/// those behind it. The close was seen only after the first was taken and sent.
#[test]
fn queries_of_a_client_that_disconnected_before_they_were_read_do_not_begin() {
    for queries in [1, 3] {
        let front = Front::new(8);
        let (mut client, _) = front.session();
        (1..=queries).for_each(|id| client.send(&query(id)));
        drop(client);
        front.until("its session ends", || front.sessions.len() == 0);
        assert!(
            front.sink.submitted.borrow().is_empty(),
            "{:?}",
            front.sink.submitted.borrow()
        );
    }
}

/// A client that sends more than is read ahead while it waits, and then goes: its query is
/// withdrawn all the same. Its end lay behind what was not read, and was not seen before the
/// query's time was over.
#[test]
fn a_disconnect_behind_more_than_is_read_ahead_is_noticed() {
    let front = Front::new(8);
    let (mut client, _) = front.session();
    client.send(&query(1));
    front.until("it is taken", || front.sink.submitted.borrow().len() == 1);
    let flood: Vec<u8> = (2..600).flat_map(query).collect();
    assert!(flood.len() > 2 * READ_AHEAD_BYTES);
    client.send(&flood);
    drop(client);
    front.until("it is withdrawn", || *front.sink.withdrawn.borrow() == [1]);
    assert_eq!(*front.sink.submitted.borrow(), [1]);
    front.until("its session ends", || front.sessions.len() == 0);
}

/// Every place is taken by a request: a new connection is answered so and closed without a reset,
/// though its start-up packet has come; and a cancel request is carried out, which frees a place.
#[test]
fn at_the_limit_a_connection_gets_its_error_and_a_cancel_request_is_carried_out() {
    let front = Front::new(1);
    let (mut client, cancel) = front.session();
    client.send(&query(1));
    front.until("it is taken", || front.sink.submitted.borrow().len() == 1);
    let mut more = front.connect();
    more.send(&startup());
    front.until("it is answered", || more.is_over());
    assert!(more.says("53300"), "{}", more.got.escape_ascii());
    drop(more);
    front.until("it is gone", || front.sessions.lingering() == 0);
    let mut other = front.connect();
    front.until("it is accepted, to be rejected", || {
        front.sessions.lingering() == 1
    });
    other.send(&cancel);
    front.until("the query is cancelled", || client.says("57014"));
    assert_eq!(*front.sink.withdrawn.borrow(), [1]);
}

/// A query crosses the close of a session at rest: its client reads an end, and no reset, which
/// might have taken the last answer along; and the query, read after the close, is not begun.
#[test]
fn a_query_that_crosses_the_close_is_not_begun_and_causes_no_reset() {
    let front = Front::new(8);
    let (mut client, _) = front.session();
    front.sessions.close_idle("shutdown");
    front.until("it is closed", || client.is_over());
    client.send(&query(1));
    front.until("it is over", || {
        front.sessions.len() + front.sessions.lingering() == 0
    });
    assert!(client.is_over() && front.sink.submitted.borrow().is_empty());
}

/// A query that is here as its session is answered to go is served first.
#[test]
fn a_query_that_arrived_before_the_close_is_served() {
    let front = Front::new(8);
    let (mut client, _) = front.session();
    client.send(&query(1));
    front.sessions.close_idle("shutdown");
    front.until("it is taken", || front.sink.submitted.borrow().len() == 1);
    front.sink.refuse(1);
    front.until("it is answered and closed", || client.is_over());
    assert!(client.says("53000"));
}

/// The next query is here, unread, as the last answer of a session that is to go is written: it is
/// served too. It was left in the socket, and the close over it became a reset.
#[test]
fn a_query_that_arrives_with_the_last_answer_is_served() {
    let front = Front::new(8);
    let (mut client, _) = front.session();
    client.send(&query(1));
    front.until("it is taken", || front.sink.submitted.borrow().len() == 1);
    front.sessions.drain.hand_over();
    front.sink.refuse(1);
    client.send(&query(2));
    front.until("the second is taken", || {
        front.sink.submitted.borrow().len() == 2
    });
    front.sink.refuse(2);
    front.until("and all is closed", || client.is_over());
    assert_eq!(client.got.windows(5).filter(|w| w == b"53000").count(), 2);
}

/// What breaks the protocol gets its error and an end, however much lies behind it unread: no reset
/// takes it along.
#[test]
fn an_error_over_unread_input_is_not_lost_in_a_reset() {
    let front = Front::new(8);
    let (mut client, _) = front.session();
    client.send(b"Q\xff\xff\xff\xff");
    client.send(&vec![b'x'; 100_000]);
    front.until("it is answered", || client.is_over());
    assert!(client.says("08P01"), "{}", client.got.escape_ascii());
    front.until("nothing is left", || {
        front.sessions.len() + front.sessions.lingering() == 0
    });
    assert!(client.is_over(), "an end, and no reset");
}

/// Connections that are just being closed hold a place each, and there are few of those: with none
/// left a close is done at once. Clients that come in a crowd can't use up the descriptors by it.
#[test]
fn few_connections_linger_in_their_close_at_a_time() {
    let front = Front::new(8);
    let mut clients: Vec<_> = (0..8).map(|_| front.session().0).collect();
    front.sessions.close_idle("shutdown");
    front.until("all are closed", || clients.iter_mut().all(Client::is_over));
    assert!(
        front.sessions.lingering() <= 2,
        "{}",
        front.sessions.lingering()
    );
    // Those that linger see their clients go.
    clients
        .iter()
        .for_each(|c| c.stream.shutdown(Shutdown::Both).unwrap());
    front.until("nothing is left", || {
        front.sessions.len() + front.sessions.lingering() == 0
    });
}
