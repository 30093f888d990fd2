//! Tests of the choice of a connection for an attempt, and of attempts that may no longer begin.
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

mod memory;

use super::*;
use crate::exchange::{Attempt, Exchange, Request, UpstreamEngines};
use crate::request_memory::RequestMemory;

/// The memory budget of a pool: more than most of these tests need.
const MEMORY_BYTES: usize = 4 * 1024 * 1024;

#[derive(Default)]
struct Ends(RefCell<Vec<(QueryId, Outcome)>>);

impl AttemptEvents for Ends {
    fn attempt_ended(&self, end: AttemptEnd) {
        self.0.borrow_mut().push((end.query, end.outcome));
    }
    fn attempt_progressed(&self, _: AttemptProgress) {}
}

/// Creates a pool with one listed engine. The pool's tasks are never run, so its connections stay
/// in the state in which the test puts them.
fn pool(max_connections: usize) -> (Rc<Pool>, Rc<Ends>) {
    pool_at(([127, 0, 0, 1], 1).into(), max_connections)
}

fn pool_at(addr: SocketAddr, max_connections: usize) -> (Rc<Pool>, Rc<Ends>) {
    pool_with_memory(addr, max_connections, MemoryBudget::new(MEMORY_BYTES))
}

fn pool_with_memory(
    addr: SocketAddr,
    max_connections: usize,
    memory: MemoryBudget,
) -> (Rc<Pool>, Rc<Ends>) {
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
        memory,
        None,
        max_connections,
    );
    let ends = Rc::new(Ends::default());
    let events: Rc<dyn AttemptEvents> = Rc::<Ends>::clone(&ends);
    pool.report_to(Rc::downgrade(&events));
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
        memory: RequestMemory::default(),
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

/// A fake engine whose answers the test writes, and a pool that lists it.
struct FakeEngine {
    pool: Rc<Pool>,
    ends: Rc<Ends>,
    listener: TcpListener,
}

impl FakeEngine {
    fn new(max_connections: usize) -> Self {
        Self::with_memory(max_connections, MemoryBudget::new(MEMORY_BYTES))
    }

    fn with_memory(max_connections: usize, memory: MemoryBudget) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
        let addr = listener.local_addr().unwrap();
        let (pool, ends) = pool_with_memory(addr, max_connections, memory);
        FakeEngine {
            pool,
            ends,
            listener,
        }
    }

    /// Runs the pool's tasks until `is_met` returns true, for at most 30 seconds.
    fn run_until(&self, condition: &str, mut is_met: impl FnMut() -> bool) {
        let end = Instant::now() + Duration::from_secs(30);
        async_io::block_on(self.pool.executor.run(async {
            while !is_met() {
                assert!(Instant::now() < end, "timed out waiting: {condition}");
                future::yield_now().await;
            }
        }));
    }

    /// Accepts a connection and reads one command from it.
    fn accept_command(&self) -> (TcpStream, String) {
        let (mut accepted, mut command) = (None, Vec::new());
        self.listener.set_nonblocking(true).unwrap();
        self.run_until("the pool connects", || {
            accepted = self.listener.accept().ok();
            accepted.is_some()
        });
        let (mut stream, _) = accepted.unwrap();
        stream.set_nonblocking(true).unwrap();
        self.run_until("the pool sends a command", || {
            let mut chunk = [0; 512];
            let n = stream.read(&mut chunk).unwrap_or(0);
            command.extend_from_slice(&chunk[..n]);
            command.ends_with(b"SELECT 1\r\n")
        });
        (stream, String::from_utf8(command).unwrap())
    }
}

/// Each attempt gets a connection of its own up to the limit. Further attempts share the least
/// loaded connection.
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

/// Cordoning an engine ends the attempts not yet written to it, and those sent to it afterwards.
/// After it is uncordoned, attempts use a new connection.
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

/// If a connection is reset before any of the attempt was written, the pool tries another
/// connection, up to `MAX_BROKEN_CONNECTIONS` in all. A refused connection ends the attempt at
/// once, because the engine is not running.
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

/// An engine closes an idle connection, and the pool has not read the close when the next attempt
/// is sent. The attempt has to use a new connection: on the old one it would be lost in the reset,
/// and would count as one that may have run.
#[test]
fn an_attempt_avoids_a_connection_that_was_just_closed() {
    let engine = FakeEngine::new(3);
    send(&engine.pool, 1);
    let (mut first, _) = engine.accept_command();
    first
        .write_all(b"0000000000000001 refused - 0\r\n\r\n")
        .unwrap();
    engine.run_until("the attempt ends", || engine.ends.0.borrow().len() == 1);
    drop(first);
    send(&engine.pool, 2);
    let (_second, command) = engine.accept_command();
    assert!(command.starts_with("serve 0000000000000002 "), "{command}");
    assert_eq!(engine.ends.0.take(), [(1, Outcome::Overloaded)]);
}

/// The next attempt reuses an idle connection that the engine has not closed, regardless of its
/// age. The sweep, which closes connections that were idle for long, does not run in this test.
#[test]
fn an_idle_connection_is_used_again() {
    let engine = FakeEngine::new(3);
    send(&engine.pool, 1);
    let (mut first, _) = engine.accept_command();
    first
        .write_all(b"0000000000000001 refused - 0\r\n\r\n")
        .unwrap();
    engine.run_until("the attempt ends", || engine.ends.0.borrow().len() == 1);
    send(&engine.pool, 2);
    assert_eq!(engine.pool.connections.borrow().len(), 1);
}

/// An attempt whose connection is established after its `begin_by` is not written, and has
/// certainly not run.
#[test]
fn an_attempt_that_waited_too_long_does_not_begin() {
    let engine = FakeEngine::new(3);
    send_by(&engine.pool, 1, 0);
    engine.run_until("the attempt ends", || engine.ends.0.borrow().len() == 1);
    assert_eq!(engine.ends.0.take(), [(1, Outcome::NeverSent)]);
    send(&engine.pool, 2);
    let (_stream, command) = engine.accept_command();
    assert!(
        command.starts_with("serve 0000000000000002 "),
        "the first attempt is never written: {command}"
    );
}

/// An attempt that is recalled while it waits for its connection never begins, and its end is not
/// reported. An attempt that has begun can't be recalled.
#[test]
fn only_an_attempt_that_has_not_begun_is_recalled() {
    let engine = FakeEngine::new(3);
    send(&engine.pool, 1);
    assert!(
        engine.pool.recall_unsent(1),
        "an attempt that waits for its connection is recalled"
    );
    send(&engine.pool, 2);
    let (mut stream, command) = engine.accept_command();
    assert!(command.starts_with("serve 0000000000000002 "), "{command}");
    assert!(
        !engine.pool.recall_unsent(2)
            && !engine.pool.recall_unsent(1)
            && engine.ends.0.borrow().is_empty()
    );
    stream
        .write_all(b"0000000000000002 refused - 0\r\n\r\n")
        .unwrap();
    engine.run_until("the attempt ends", || engine.ends.0.borrow().len() == 1);
    assert_eq!(engine.ends.0.take(), [(2, Outcome::Overloaded)]);
}

/// An engine begins an answer and then sends it byte by byte. The time limit counts from the start
/// of the answer, not from its last byte; otherwise the attempt would never end. The same holds for
/// an answer whose first line never ends.
#[test]
fn an_answer_that_trickles_is_cut_short() {
    for begin in [
        "0000000000000001 ok chunks=1,spent=5,wanted=9 5000\r\n",
        "0000000000000001 ok chunks=",
    ] {
        let engine = FakeEngine::new(3);
        send(&engine.pool, 1);
        let (mut stream, _) = engine.accept_command();
        stream.write_all(begin.as_bytes()).unwrap();
        let mut last_sent = Instant::now();
        engine.run_until("the attempt ends", || {
            if last_sent.elapsed() > Duration::from_millis(20) {
                let _ = stream.write(b"1");
                last_sent = Instant::now();
            }
            !engine.ends.0.borrow().is_empty()
        });
        assert_eq!(engine.ends.0.take(), [(1, Outcome::ConnectionLost)]);
        assert!(engine.pool.connections.borrow().is_empty());
    }
}
