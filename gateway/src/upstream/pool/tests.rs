//! Which connection an attempt gets, and what becomes of one that may not begin any more.
#![allow(
    clippy::unwrap_used,
    clippy::indexing_slicing,
    reason = "a failed step fails the test"
)]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Instant;

use futures_lite::future;
use violetgate_policy::interface::{Engine, EngineState, ListScope, NewQuery};

use super::*;
use crate::exchange::{Attempt, Exchange, Request, UpstreamEngines};

#[derive(Default)]
struct Ends(RefCell<Vec<(QueryId, Outcome)>>);

impl AttemptEvents for Ends {
    fn attempt_ended(&self, end: AttemptEnd) {
        self.0.borrow_mut().push((end.query, end.outcome));
    }
    fn attempt_progressed(&self, _: AttemptProgress) {}
}

/// A pool with one listed engine. Its tasks are never run, so its connections stay as the test has
/// them.
fn pool(most: usize) -> (Rc<Pool>, Rc<Ends>) {
    pool_at(([127, 0, 0, 1], 1).into(), most)
}

fn pool_at(addr: SocketAddr, most: usize) -> (Rc<Pool>, Rc<Ends>) {
    let limits = UpstreamLimits {
        connect_timeout: Duration::from_secs(60),
        idle_close: Duration::from_secs(60),
        streams_per_connection: 100,
        reports_cost: true,
    };
    let stats = Rc::new(Stats::new([].into_iter()));
    let pool = Pool::new(
        Rc::new(LocalExecutor::new()),
        Clock::start(),
        limits,
        stats,
        None,
        most,
    );
    let ends = Rc::new(Ends::default());
    let reports: Rc<dyn AttemptEvents> = Rc::<Ends>::clone(&ends);
    pool.report_to(Rc::downgrade(&reports));
    let engine = Engine {
        id: 0,
        zone: 0,
        kind: 0,
        cell: 0,
        state: EngineState::Ready,
        started: None,
    };
    pool.update_list(ListScope::Snapshot, &[ListedEngine { engine, addr }]);
    (pool, ends)
}

fn send(pool: &Pool, id: QueryId) {
    send_by(pool, id, Micros::MAX);
}

fn send_by(pool: &Pool, id: QueryId, begin_by: Micros) {
    let query = NewQuery {
        id,
        client_timeout: 1_000_000,
        ..NewQuery::default()
    };
    let request = Request {
        query,
        received: 0,
        id_text: format!("{id:016x}").into(),
        class: "lookup".into(),
        idempotency_key: None,
        statement: b"SELECT 1".as_slice().into(),
    };
    let exchange = Exchange::new(request);
    pool.send(Attempt {
        exchange,
        number: 0,
        engine: 0,
        priority: None,
        memory_grant_mb: 0,
        begin_by,
        deadline: Micros::MAX,
    });
}

/// An engine that the test plays itself, and the pool before it.
struct FakeEngine {
    pool: Rc<Pool>,
    ends: Rc<Ends>,
    listener: TcpListener,
}

impl FakeEngine {
    fn new(most: usize) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
        let (pool, ends) = pool_at(listener.local_addr().unwrap(), most);
        FakeEngine {
            pool,
            ends,
            listener,
        }
    }

    /// Lets the pool run until something holds.
    fn until(&self, what: &str, mut holds: impl FnMut() -> bool) {
        let end = Instant::now() + Duration::from_secs(30);
        async_io::block_on(self.pool.executor.run(async {
            while !holds() {
                assert!(Instant::now() < end, "never: {what}");
                future::yield_now().await;
            }
        }));
    }

    /// Takes a connection, and one command from it.
    fn serves(&self) -> (TcpStream, String) {
        let (mut accepted, mut got) = (None, Vec::new());
        self.listener.set_nonblocking(true).unwrap();
        self.until("a connection comes", || {
            accepted = self.listener.accept().ok();
            accepted.is_some()
        });
        let (mut stream, _) = accepted.unwrap();
        stream.set_nonblocking(true).unwrap();
        self.until("a command comes", || {
            let mut chunk = [0; 512];
            let n = stream.read(&mut chunk).unwrap_or(0);
            got.extend_from_slice(&chunk[..n]);
            got.ends_with(b"SELECT 1\r\n")
        });
        (stream, String::from_utf8(got).unwrap())
    }
}

/// Each attempt has a connection of its own while there is room; then the least loaded is shared.
#[test]
fn each_attempt_has_a_connection_of_its_own_up_to_the_limit() {
    let (pool, _) = pool(3);
    (1..=5).for_each(|id| send(&pool, id));
    let loads: Vec<_> = pool
        .connections
        .borrow()
        .values()
        .map(|c| c.load())
        .collect();
    assert_eq!(loads, [2, 2, 1]);
}

/// What an engine that is called out has not been written yet is taken back, and nothing more is
/// put on its connections; called back, it gets a new one.
#[test]
fn a_cordoned_engine_gets_nothing_and_an_uncordoned_one_a_new_connection() {
    let (pool, ends) = pool(3);
    send(&pool, 1);
    pool.set_cordoned(0, true);
    send(&pool, 2);
    assert_eq!(
        ends.0.take(),
        [(1, Outcome::NeverSent), (2, Outcome::NeverSent)]
    );
    pool.set_cordoned(0, false);
    send(&pool, 3);
    let loads: Vec<_> = pool
        .connections
        .borrow()
        .values()
        .map(|c| (c.id, c.load()))
        .collect();
    assert_eq!(loads, [(1, 1)]);
}

/// A connection that is reset before anything was written is no attempt: the next one takes it, a
/// few times. One that is refused is: the engine does not run.
#[test]
fn a_reset_of_a_new_connection_is_retried_and_a_refused_one_is_not() {
    let (pool, ends) = pool(3);
    let last = || pool.connections.borrow().values().last().cloned().unwrap();
    send(&pool, 1);
    for _ in 1..MAX_BROKEN_CONNECTIONS {
        let first = last();
        pool.close(&first, CloseReason::ConnectError);
        assert!(first.id != last().id && last().load() == 1 && ends.0.borrow().is_empty());
    }
    pool.close(&last(), CloseReason::ConnectError);
    assert_eq!(ends.0.take(), [(1, Outcome::ConnectionRefused)]);
    send(&pool, 2);
    pool.close(&last(), CloseReason::ConnectRefused);
    assert_eq!(ends.0.take(), [(2, Outcome::ConnectionRefused)]);
}

/// An engine closes a connection at rest, and its close is here, unread, as the next attempt
/// leaves: it takes a new connection. Written to the old one it would be lost in the reset, and
/// count as one that may have run.
#[test]
fn an_attempt_avoids_a_connection_that_was_just_closed() {
    let engine = FakeEngine::new(3);
    send(&engine.pool, 1);
    let (mut first, _) = engine.serves();
    first
        .write_all(b"0000000000000001 refused - 0\r\n\r\n")
        .unwrap();
    engine.until("it ends", || engine.ends.0.borrow().len() == 1);
    drop(first);
    send(&engine.pool, 2);
    let (_second, got) = engine.serves();
    assert!(got.starts_with("serve 0000000000000002 "), "{got}");
    assert_eq!(engine.ends.0.take(), [(1, Outcome::Overloaded)]);
}

/// A connection at rest that is well is used again, whatever its age.
#[test]
fn an_idle_connection_is_used_again() {
    let engine = FakeEngine::new(3);
    send(&engine.pool, 1);
    let (mut first, _) = engine.serves();
    first
        .write_all(b"0000000000000001 refused - 0\r\n\r\n")
        .unwrap();
    engine.until("it ends", || engine.ends.0.borrow().len() == 1);
    send(&engine.pool, 2);
    assert_eq!(engine.pool.connections.borrow().len(), 1);
}

/// Its connection comes up late: an attempt that had to begin before is not written, and surely
/// never ran.
#[test]
fn an_attempt_that_waited_too_long_does_not_begin() {
    let engine = FakeEngine::new(3);
    send_by(&engine.pool, 1, 0);
    engine.until("it ends", || engine.ends.0.borrow().len() == 1);
    assert_eq!(engine.ends.0.take(), [(1, Outcome::NeverSent)]);
    send(&engine.pool, 2);
    let (_stream, got) = engine.serves();
    assert!(
        got.starts_with("serve 0000000000000002 "),
        "the first was never written: {got}"
    );
}

/// Taken back while it waits for its connection, an attempt never begins, and nothing is told of
/// it; one that has begun stays.
#[test]
fn only_an_attempt_that_has_not_begun_is_recalled() {
    let engine = FakeEngine::new(3);
    send(&engine.pool, 1);
    assert!(engine.pool.recall_unsent(1), "it waits for its connection");
    send(&engine.pool, 2);
    let (mut stream, got) = engine.serves();
    assert!(got.starts_with("serve 0000000000000002 "), "{got}");
    assert!(
        !engine.pool.recall_unsent(2)
            && !engine.pool.recall_unsent(1)
            && engine.ends.0.borrow().is_empty()
    );
    stream
        .write_all(b"0000000000000002 refused - 0\r\n\r\n")
        .unwrap();
    engine.until("it ends by itself", || engine.ends.0.borrow().len() == 1);
    assert_eq!(engine.ends.0.take(), [(2, Outcome::Overloaded)]);
}

/// An answer that begins and then trickles, byte by byte, is cut short in time counted from its
/// beginning, not from its last byte: it can't hold its attempt, and neither does one whose line
/// never ends.
#[test]
fn an_answer_that_trickles_is_cut_short() {
    for begin in [
        "0000000000000001 ok chunks=1,spent=5,wanted=9 5000\r\n",
        "0000000000000001 ok chunks=",
    ] {
        let engine = FakeEngine::new(3);
        send(&engine.pool, 1);
        let (mut stream, _) = engine.serves();
        stream.write_all(begin.as_bytes()).unwrap();
        let mut said = Instant::now();
        engine.until("it is cut short", || {
            if said.elapsed() > Duration::from_millis(20) {
                let _ = stream.write(b"1");
                said = Instant::now();
            }
            !engine.ends.0.borrow().is_empty()
        });
        assert_eq!(engine.ends.0.take(), [(1, Outcome::ConnectionLost)]);
        assert!(engine.pool.connections.borrow().is_empty());
    }
}
