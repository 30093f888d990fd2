//! The pool of engine connections, by engine id: an address may pass from an engine to its successor, so a
//! connection never does.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::future::pending;
use std::net::TcpStream;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{future, FutureExt};
use violetgate_policy::interface::{EngineId, EngineState, ListScope, Micros, Outcome, QueryId};

use super::connection::{Connection, End, Said};
use crate::clock::Clock;
use crate::config::Link;
use crate::exchange::{Attempt, AttemptEnd, AttemptEvents, ListedEngine, Pages, UpstreamEngines};
use crate::fence::Fence;
use crate::log;
use crate::stats::Stats;

/// How often idle connections are looked at.
const SWEEP: Duration = Duration::from_secs(1);
/// How long the rest of an answer may take once some of it is here. Engines write answers whole, and may stand
/// still for half a second; what takes longer has stopped short, and nothing behind it can be read.
const REST: Duration = Duration::from_millis(600);
/// So many connections may break under a request before any of it is written; then there is no connection.
const TRIES: u32 = 3;
/// A connection that came to nothing, though nobody refused it: it was reset, or the machine gave none.
const CONNECT_ERROR: &str = "connect_error";

/// The pool.
pub struct Pool {
    me: Weak<Pool>,
    executor: Rc<LocalExecutor<'static>>,
    clock: Clock,
    link: Link,
    stats: Rc<Stats>,
    /// Whether anything may be sent, where that is not always so.
    fence: Option<Rc<dyn Fence>>,
    /// How many connections there may be.
    most: Cell<usize>,
    reports: RefCell<Option<Weak<dyn AttemptEvents>>>,
    listed: RefCell<BTreeMap<EngineId, ListedEngine>>,
    /// Engines that get nothing, whatever the list says.
    barred: RefCell<BTreeSet<EngineId>>,
    conns: RefCell<BTreeMap<u64, Rc<Connection>>>,
    /// Where the attempt of a query is out.
    at: RefCell<HashMap<QueryId, Rc<Connection>>>,
    next: Cell<u64>,
}

impl Pool {
    /// Creates a pool that knows no engines yet.
    #[must_use]
    pub fn new(
        executor: Rc<LocalExecutor<'static>>,
        clock: Clock,
        link: Link,
        stats: Rc<Stats>,
        fence: Option<Rc<dyn Fence>>,
        most: usize,
    ) -> Rc<Self> {
        Rc::new_cyclic(|me| Pool {
            me: me.clone(),
            executor,
            clock,
            link,
            stats,
            fence,
            most: Cell::new(most),
            reports: RefCell::default(),
            listed: RefCell::default(),
            barred: RefCell::default(),
            conns: RefCell::default(),
            at: RefCell::default(),
            next: Cell::new(0),
        })
    }

    /// Names the place where ends are told.
    pub fn report_to(&self, reports: Weak<dyn AttemptEvents>) {
        *self.reports.borrow_mut() = Some(reports);
    }

    /// Changes how many connections there may be. Where there are more, idle ones end, longest idle first.
    pub fn resize(&self, most: usize) {
        self.most.set(most);
        let mut idle: Vec<_> = self
            .conns
            .borrow()
            .values()
            .filter(|c| c.load() == 0)
            .cloned()
            .collect();
        idle.sort_by_key(|c| c.idle_since.get());
        let excess = self.conns.borrow().len().saturating_sub(most);
        idle.iter()
            .take(excess)
            .for_each(|c| self.end(c, "evicted"));
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
                reports.ended(AttemptEnd {
                    query,
                    number,
                    outcome,
                    cost,
                    pages,
                });
            }
        }
    }

    fn end(&self, conn: &Connection, reason: &'static str) {
        // A machine that refuses or stays silent is no better at the next try.
        let other = conn.is_up() || reason == CONNECT_ERROR;
        let (mut ends, unsent) = conn.end(reason);
        if self.conns.borrow_mut().remove(&conn.id).is_some() {
            log::ended("engine", conn.addr, reason, conn.carried.get());
        }
        for (attempt, tries) in unsent {
            let (query, number) = (attempt.exchange.request.query.id, attempt.number);
            if other && tries < TRIES {
                // One connection reset is no dead engine: what was not written takes the next one.
                self.place(attempt, tries);
            } else {
                ends.push((
                    query,
                    number,
                    Outcome::ConnectionRefused,
                    None,
                    Pages::new(),
                ));
            }
        }
        self.report(ends);
    }

    fn may_send(&self) -> bool {
        self.fence.as_ref().is_none_or(|f| f.is_open())
    }

    /// Writes what the socket takes, but no request that was queued before the fence was shut, or that waited too
    /// long for its connection.
    fn write(&self, conn: &Connection) -> Result<(), &'static str> {
        let now = self.clock.now();
        if conn.is_up() {
            let all = !self.may_send();
            self.report(if all {
                conn.take_unwritten()
            } else {
                conn.take_late(now)
            });
        }
        conn.flush(now)
    }

    fn flush(&self, conn: &Rc<Connection>) {
        let was_blocked = conn.blocked.get();
        if let Err(reason) = self.write(conn) {
            self.end(conn, reason);
        } else if conn.blocked.get() && !was_blocked {
            // The socket is full: a task of its own waits for it, so that no other engine does.
            let (Some(pool), Some(stream)) = (self.me.upgrade(), conn.stream()) else {
                return;
            };
            let conn = Rc::clone(conn);
            let writer = async move {
                while conn.blocked.get() && conn.ended.get().is_none() {
                    if stream.writable().await.is_err() {
                        break;
                    }
                    if let Err(reason) = pool.write(&conn) {
                        pool.end(&conn, reason);
                    }
                }
            };
            self.executor.spawn(writer).detach();
        }
    }

    /// A connection to an engine that can take an attempt. Whatever breaks or spoils a connection costs all
    /// that is open on it, so each attempt gets one of its own, the one used last, as long as there is room.
    fn pick(&self, listed: &ListedEngine, trail: &[u64]) -> Option<Rc<Connection>> {
        let conns = self.conns.borrow();
        let fits = |c: &&Rc<Connection>| {
            c.engine == listed.engine.id
                && !c.retired.get()
                && c.load() < self.link.streams
                && !trail.contains(&c.id)
        };
        let mut resting: Vec<_> = conns
            .values()
            .filter(fits)
            .filter(|c| c.load() == 0)
            .collect();
        resting.sort_by_key(|c| std::cmp::Reverse(c.idle_since.get()));
        // One that its engine has just closed would take the attempt along: it might have run.
        if let Some(conn) = resting.into_iter().find(|c| !c.is_closing()) {
            return Some(Rc::clone(conn));
        }
        if conns.len() >= self.most.get() {
            let shared = conns.values().filter(fits).filter(|c| c.load() > 0);
            if let Some(conn) = shared.min_by_key(|c| c.load()) {
                return Some(Rc::clone(conn));
            }
            let idle = conns
                .values()
                .filter(|c| c.load() == 0)
                .min_by_key(|c| c.idle_since.get())
                .cloned();
            drop(conns);
            self.end(&*idle?, "evicted");
        } else {
            drop(conns);
        }
        self.open(listed)
    }

    /// Puts an attempt on a connection, unless its engine has left the list meanwhile or was called out.
    fn place(&self, attempt: Attempt, tries: u32) {
        let query = attempt.exchange.request.query.id;
        let number = attempt.number;
        let never = |outcome| vec![(query, number, outcome, None, Pages::new())];
        let listed = self.listed.borrow().get(&attempt.engine).cloned();
        let barred = self.barred.borrow().contains(&attempt.engine) || !self.may_send();
        let Some(listed) = listed.filter(|l| l.engine.state == EngineState::Ready && !barred)
        else {
            return self.report(never(Outcome::NeverSent));
        };
        let trail = attempt.exchange.used_connections.borrow().clone();
        let Some(conn) = self.pick(&listed, &trail) else {
            return self.report(never(Outcome::ConnectionRefused));
        };
        self.at.borrow_mut().insert(query, Rc::clone(&conn));
        conn.serve(attempt, tries);
        self.flush(&conn);
    }

    fn open(&self, listed: &ListedEngine) -> Option<Rc<Connection>> {
        let id = self.next.get();
        self.next.set(id + 1);
        let conn = Connection::new(
            id,
            listed.engine.id,
            listed.addr,
            self.clock.now(),
            Rc::clone(&self.stats),
        );
        self.conns.borrow_mut().insert(id, Rc::clone(&conn));
        self.executor
            .spawn(self.me.upgrade()?.drive(Rc::clone(&conn)))
            .detach();
        Some(conn)
    }

    async fn drive(self: Rc<Self>, conn: Rc<Connection>) {
        let late = async {
            Timer::after(self.link.connect_timeout).await;
            Err(std::io::ErrorKind::TimedOut.into())
        };
        let stream = match Async::<TcpStream>::connect(conn.addr).or(late).await {
            Ok(stream) => Rc::new(stream),
            Err(e) if e.kind() == std::io::ErrorKind::TimedOut => {
                return self.end(&conn, "connect_timeout")
            }
            Err(e) if e.kind() == std::io::ErrorKind::ConnectionRefused => {
                return self.end(&conn, "connect_refused");
            }
            Err(_) => return self.end(&conn, CONNECT_ERROR),
        };
        if conn.ended.get().is_some() {
            return;
        }
        let _ = stream.get_ref().set_nodelay(true);
        conn.up(Rc::clone(&stream));
        self.flush(&conn);
        let mut buffer = Vec::new();
        // When the rest of an answer that has begun is due.
        let mut whole_by = None;
        while conn.ended.get().is_none() {
            let late = async {
                match whole_by {
                    Some(at) => Timer::at(at).await,
                    None => pending().await,
                };
                Err(std::io::ErrorKind::TimedOut.into())
            };
            match conn.read(&stream, &mut buffer).or(late).await {
                Ok(true) => {}
                Ok(false) => return self.end(&conn, "closed"),
                Err(e) if e.kind() == std::io::ErrorKind::TimedOut => {
                    return self.end(&conn, "cut_short")
                }
                Err(_) => return self.end(&conn, "reset"),
            }
            let mut used = 0;
            while conn.ended.get().is_none() {
                match conn.next(&buffer, &mut used, self.clock.now()) {
                    Ok(Some(Said::End(end))) => self.report(vec![end]),
                    Ok(Some(Said::Note(query, number, news))) => {
                        let reports = self.reports.borrow().as_ref().and_then(Weak::upgrade);
                        reports
                            .into_iter()
                            .for_each(|r| r.noted(query, number, news));
                    }
                    Ok(None) => break,
                    Err(reason) => return self.end(&conn, reason),
                }
            }
            buffer.drain(..used);
            if buffer.is_empty() {
                (whole_by, buffer) = (None, Vec::new());
            } else if used > 0 || whole_by.is_none() {
                whole_by = Some(Instant::now() + REST);
            }
            // An engine that sends without end always has more to read: the others come in between.
            future::yield_now().await;
            if conn.ended.get().is_none() {
                self.flush(&conn);
            }
        }
    }
}

impl UpstreamEngines for Pool {
    fn send(&self, attempt: Attempt) {
        self.place(attempt, 0);
    }

    fn cancel(&self, query: QueryId) -> bool {
        let Some(conn) = self.at.borrow_mut().remove(&query) else {
            return true;
        };
        let written = conn.cancel(query, self.clock.now());
        self.flush(&conn);
        if conn.retired.get() && conn.load() == 0 {
            self.end(&conn, "given_up");
        }
        written
    }

    fn recall(&self, query: QueryId) -> bool {
        let waits = self
            .at
            .borrow()
            .get(&query)
            .is_some_and(|conn| !conn.has_begun(query));
        waits && !self.cancel(query)
    }

    fn weigh(&self, query: QueryId, level: u8) {
        let conn = self.at.borrow().get(&query).cloned();
        if let Some(conn) = conn {
            conn.weigh(query, level);
            self.flush(&conn);
        }
    }

    fn cordon(&self, engine: EngineId, out: bool) {
        if out {
            self.barred.borrow_mut().insert(engine);
        } else {
            self.barred.borrow_mut().remove(&engine);
        }
        let all: Vec<_> = self
            .conns
            .borrow()
            .values()
            .filter(|c| c.engine == engine)
            .cloned()
            .collect();
        for conn in all {
            if out {
                self.report(conn.take_unwritten());
            } else {
                // Its process is a new one: what is open leads to the old one.
                conn.retired.set(true);
                if conn.load() == 0 {
                    self.end(&conn, "retired");
                }
            }
        }
    }

    fn list(&self, scope: ListScope, engines: &[ListedEngine]) {
        let mut listed = self.listed.borrow_mut();
        if matches!(scope, ListScope::Snapshot | ListScope::StaleSnapshot) {
            listed
                .values_mut()
                .for_each(|l| l.engine.state = EngineState::Removed);
        }
        let mut moved = Vec::new();
        for l in engines {
            let old = listed.insert(l.engine.id, l.clone());
            // A new process, or a new place: what is open leads to the old one.
            if old.is_some_and(|o| o.engine.started != l.engine.started || o.addr != l.addr) {
                moved.push(l.engine.id);
            }
        }
        let state = |e: EngineId| {
            listed
                .get(&e)
                .map_or(EngineState::Removed, |l| l.engine.state)
        };
        let mut ends = Vec::new();
        for conn in self.conns.borrow().values() {
            if moved.contains(&conn.engine) || state(conn.engine) == EngineState::Removed {
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

#[cfg(test)]
#[allow(clippy::unwrap_used, clippy::indexing_slicing)]
mod tests;
