//! The pool of engine connections, by engine id: an address may pass from an engine to its successor, so a
//! connection never does.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::TcpStream;
use std::rc::{Rc, Weak};
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::FutureExt;
use linnetreach::interface::{EngineId, EngineState, ListScope, Micros, Outcome, QueryId};

use super::conn::{Conn, End};
use crate::clock::Clock;
use crate::config::Link;
use crate::exchange::{Attempt, AttemptEnd, Engines, Listed, Pages, Reports};
use crate::log;

/// How often idle connections are looked at.
const SWEEP: Duration = Duration::from_secs(1);

/// The pool.
pub struct Pool {
    me: Weak<Pool>,
    executor: Rc<LocalExecutor<'static>>,
    clock: Clock,
    link: Link,
    /// How many connections there may be.
    most: usize,
    reports: RefCell<Option<Weak<dyn Reports>>>,
    listed: RefCell<BTreeMap<EngineId, Listed>>,
    conns: RefCell<BTreeMap<u64, Rc<Conn>>>,
    /// Where the attempt of a query is out.
    at: RefCell<HashMap<QueryId, Rc<Conn>>>,
    next: Cell<u64>,
}

impl Pool {
    /// Creates a pool that knows no engines yet.
    #[must_use]
    pub fn new(executor: Rc<LocalExecutor<'static>>, clock: Clock, link: Link, most: usize) -> Rc<Self> {
        Rc::new_cyclic(|me| Pool {
            me: me.clone(),
            executor,
            clock,
            link,
            most,
            reports: RefCell::default(),
            listed: RefCell::default(),
            conns: RefCell::default(),
            at: RefCell::default(),
            next: Cell::new(0),
        })
    }

    /// Names the place where ends are told.
    pub fn report_to(&self, reports: Weak<dyn Reports>) {
        *self.reports.borrow_mut() = Some(reports);
    }

    /// Closes, for ever, connections that an engine would soon close for being idle, so that no request
    /// crosses its close, and those retired that carry nothing any more.
    pub async fn sweep(&self) {
        let idle = self.link.idle_close.as_micros() as Micros / 4 * 3;
        loop {
            Timer::after(SWEEP).await;
            let now = self.clock.now();
            let all: Vec<_> = self.conns.borrow().values().cloned().collect();
            for conn in all.iter().filter(|c| c.load() == 0 && c.is_up()) {
                if conn.retired.get() {
                    self.end(conn, "retired");
                } else if now >= conn.idle_since.get() + idle {
                    self.end(conn, "idle");
                }
            }
        }
    }

    fn report(&self, ends: Vec<End>) {
        let reports = self.reports.borrow().as_ref().and_then(Weak::upgrade);
        for (query, number, outcome, cost, pages) in ends {
            self.at.borrow_mut().remove(&query);
            let cost = cost.filter(|_| self.link.tells_cost);
            if let Some(reports) = &reports {
                reports.ended(AttemptEnd { query, number, outcome, cost, pages });
            }
        }
    }

    fn end(&self, conn: &Conn, reason: &'static str) {
        let ends = conn.end(reason);
        if self.conns.borrow_mut().remove(&conn.id).is_some() {
            log::ended("engine", conn.addr, reason, conn.carried.get());
        }
        self.report(ends);
    }

    fn flush(&self, conn: &Rc<Conn>) {
        let was_blocked = conn.blocked.get();
        if let Err(reason) = conn.flush() {
            self.end(conn, reason);
        } else if conn.blocked.get() && !was_blocked {
            // The socket is full: a task of its own waits for it, so that no other engine does.
            let (Some(pool), Some(stream)) = (self.me.upgrade(), conn.stream()) else { return };
            let conn = Rc::clone(conn);
            let writer = async move {
                while conn.blocked.get() && conn.ended.get().is_none() {
                    if stream.writable().await.is_err() {
                        break;
                    }
                    if let Err(reason) = conn.flush() {
                        pool.end(&conn, reason);
                    }
                }
            };
            self.executor.spawn(writer).detach();
        }
    }

    /// A connection to an engine that can take an attempt: an open one if there is one.
    fn pick(&self, listed: &Listed, trail: &[u64]) -> Option<Rc<Conn>> {
        let conns = self.conns.borrow();
        let fits = |c: &&Rc<Conn>| {
            c.engine == listed.engine.id
                && !c.retired.get()
                && c.load() < self.link.streams
                && !trail.contains(&c.id)
        };
        if let Some(conn) = conns.values().filter(fits).max_by_key(|c| c.is_up()) {
            return Some(Rc::clone(conn));
        }
        let full = conns.len() >= self.most;
        let idle = conns.values().find(|c| c.load() == 0).cloned();
        drop(conns);
        if full {
            let idle = idle?;
            self.end(&idle, "evicted");
        }
        self.open(listed)
    }

    fn open(&self, listed: &Listed) -> Option<Rc<Conn>> {
        let id = self.next.get();
        self.next.set(id + 1);
        let conn = Conn::new(id, listed.engine.id, listed.addr, self.clock.now());
        self.conns.borrow_mut().insert(id, Rc::clone(&conn));
        self.executor.spawn(self.me.upgrade()?.drive(Rc::clone(&conn))).detach();
        Some(conn)
    }

    async fn drive(self: Rc<Self>, conn: Rc<Conn>) {
        let late = async {
            Timer::after(self.link.connect_timeout).await;
            Err(std::io::ErrorKind::TimedOut.into())
        };
        let stream = match Async::<TcpStream>::connect(conn.addr).or(late).await {
            Ok(stream) => Rc::new(stream),
            Err(e) if e.kind() == std::io::ErrorKind::TimedOut => return self.end(&conn, "connect_timeout"),
            Err(_) => return self.end(&conn, "connect_refused"),
        };
        if conn.ended.get().is_some() {
            return;
        }
        let _ = stream.get_ref().set_nodelay(true);
        conn.up(Rc::clone(&stream));
        self.flush(&conn);
        let mut buffer = Vec::new();
        while conn.ended.get().is_none() {
            match conn.read(&stream, &mut buffer).await {
                Ok(true) => {}
                Ok(false) => return self.end(&conn, "closed"),
                Err(_) => return self.end(&conn, "reset"),
            }
            let mut used = 0;
            while conn.ended.get().is_none() {
                match conn.next(&buffer, &mut used, self.clock.now()) {
                    Ok(Some(end)) => self.report(vec![end]),
                    Ok(None) => break,
                    Err(reason) => return self.end(&conn, reason),
                }
            }
            buffer.drain(..used);
            if conn.ended.get().is_none() {
                self.flush(&conn);
            }
        }
    }
}

impl Engines for Pool {
    fn send(&self, attempt: Attempt) {
        let query = attempt.exchange.request.query.id;
        let number = attempt.number;
        let never = |outcome| vec![(query, number, outcome, None, Pages::new())];
        let listed = self.listed.borrow().get(&attempt.engine).cloned();
        let Some(listed) = listed.filter(|l| l.engine.state == EngineState::Ready) else {
            return self.report(never(Outcome::Superseded));
        };
        let trail = attempt.exchange.trail.borrow().clone();
        let Some(conn) = self.pick(&listed, &trail) else {
            return self.report(never(Outcome::Refused));
        };
        self.at.borrow_mut().insert(query, Rc::clone(&conn));
        conn.serve(attempt);
        self.flush(&conn);
    }

    fn cancel(&self, query: QueryId) -> bool {
        let Some(conn) = self.at.borrow_mut().remove(&query) else { return true };
        let written = conn.cancel(query, self.clock.now());
        self.flush(&conn);
        written
    }

    fn weigh(&self, query: QueryId, level: u8) {
        let conn = self.at.borrow().get(&query).cloned();
        if let Some(conn) = conn {
            conn.weigh(query, level);
            self.flush(&conn);
        }
    }

    fn list(&self, scope: ListScope, engines: &[Listed]) {
        let mut listed = self.listed.borrow_mut();
        if matches!(scope, ListScope::Whole | ListScope::Stale) {
            listed.values_mut().for_each(|l| l.engine.state = EngineState::Gone);
        }
        let mut moved = Vec::new();
        for l in engines {
            let old = listed.insert(l.engine.id, l.clone());
            // A new process, or a new place: what is open leads to the old one.
            if old.is_some_and(|o| o.engine.started != l.engine.started || o.addr != l.addr) {
                moved.push(l.engine.id);
            }
        }
        let state = |e: EngineId| listed.get(&e).map_or(EngineState::Gone, |l| l.engine.state);
        let mut ends = Vec::new();
        for conn in self.conns.borrow().values() {
            if moved.contains(&conn.engine) || state(conn.engine) == EngineState::Gone {
                conn.retired.set(true);
            }
            if conn.retired.get() || state(conn.engine) != EngineState::Ready {
                ends.extend(conn.take_unwritten());
            }
        }
        drop(listed);
        self.report(ends);
    }
}
