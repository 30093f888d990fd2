//! Which connection an attempt gets, without sockets.

use super::*;
use crate::exchange::{Exchange, Request};
use linnetreach::interface::{Engine, NewQuery, Progress};

#[derive(Default)]
struct Ends(RefCell<Vec<(QueryId, Outcome)>>);

impl Reports for Ends {
    fn ended(&self, end: AttemptEnd) {
        self.0.borrow_mut().push((end.query, end.outcome));
    }
    fn noted(&self, _: QueryId, _: u32, _: Progress) {}
}

/// A pool with one listed engine. Its tasks are never run, so its connections stay as the test has them.
fn pool(most: usize) -> (Rc<Pool>, Rc<Ends>) {
    let link = Link {
        connect_timeout: Duration::from_secs(60),
        idle_close: Duration::from_secs(60),
        streams: 100,
        tells_cost: true,
    };
    let stats = Rc::new(Stats::new([].into_iter()));
    let pool = Pool::new(Rc::new(LocalExecutor::new()), Clock::start(), link, stats, None, most);
    let ends = Rc::new(Ends::default());
    let reports: Rc<dyn Reports> = Rc::<Ends>::clone(&ends);
    pool.report_to(Rc::downgrade(&reports));
    let engine = Engine { id: 0, zone: 0, kind: 0, cell: 0, state: EngineState::Ready, started: None };
    pool.list(ListScope::Whole, &[Listed { engine, addr: ([127, 0, 0, 1], 1).into() }]);
    (pool, ends)
}

fn send(pool: &Pool, id: QueryId) {
    let query = NewQuery { id, time_left: 1_000_000, ..NewQuery::default() };
    let request = Request {
        query,
        received: 0,
        rid: format!("{id:016x}").into(),
        class: "lookup".into(),
        token: None,
        statement: b"SELECT 1".as_slice().into(),
    };
    let exchange = Exchange::new(request);
    pool.send(Attempt { exchange, number: 0, engine: 0, level: None, grant_mb: 0, patience: 1_000_000 });
}

/// Each attempt has a connection of its own while there is room; then the least loaded is shared.
#[test]
fn what_breaks_costs_one_attempt() {
    let (pool, _) = pool(3);
    (1..=5).for_each(|id| send(&pool, id));
    let loads: Vec<_> = pool.conns.borrow().values().map(|c| c.load()).collect();
    assert_eq!(loads, [2, 2, 1]);
}

/// What an engine that is called out has not been written yet is taken back, and nothing more is put on its
/// connections; called back, it gets a new one.
#[test]
fn an_engine_called_out_gets_nothing() {
    let (pool, ends) = pool(3);
    send(&pool, 1);
    pool.cordon(0, true);
    send(&pool, 2);
    assert_eq!(ends.0.take(), [(1, Outcome::Superseded), (2, Outcome::Superseded)]);
    pool.cordon(0, false);
    send(&pool, 3);
    let loads: Vec<_> = pool.conns.borrow().values().map(|c| (c.id, c.load())).collect();
    assert_eq!(loads, [(1, 1)]);
}

/// A connection that is reset before anything was written is no attempt: the next one takes it, a few
/// times. One that is refused is: the engine does not run.
#[test]
fn a_reset_of_a_new_connection_is_no_dead_engine() {
    let (pool, ends) = pool(3);
    let last = || pool.conns.borrow().values().last().cloned().unwrap();
    send(&pool, 1);
    for _ in 1..TRIES {
        let first = last();
        pool.end(&first, CONNECT_ERROR);
        assert!(first.id != last().id && last().load() == 1 && ends.0.borrow().is_empty());
    }
    pool.end(&last(), CONNECT_ERROR);
    assert_eq!(ends.0.take(), [(1, Outcome::Refused)]);
    send(&pool, 2);
    pool.end(&last(), "connect_refused");
    assert_eq!(ends.0.take(), [(2, Outcome::Refused)]);
}
