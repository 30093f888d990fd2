//! One connection to an engine. It carries many requests; what is sent is kept as commands until the moment
//! it is written, so that a request given up before that has surely never run.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::rc::Rc;

use async_io::Async;
use violetgate_policy::interface::{Cost, EngineId, Micros, Outcome, Progress, QueryId};

use super::codec::{self, Parsed, Reply, Word};
use crate::exchange::{Attempt, Pages, MAX_RESULT_BYTES};
use crate::stats::Stats;

/// More pages than this are none either: at 6,000 bytes each it takes 8.
const MAX_PAGES: usize = 256;
/// More commands than this waiting to be written: the engine has stopped reading.
const MAX_QUEUE: usize = 2_000;

enum Command {
    Serve(QueryId, u32),
    Line(String),
}

/// A request that is out on this connection.
struct Slot {
    attempt: Attempt,
    /// How many connections have broken before any of it was written.
    tries: u32,
    /// Some of it has been written.
    written: bool,
    pages: Vec<Option<Box<[u8]>>>,
    missing: usize,
    bytes: usize,
    cost: Option<Cost>,
}

#[derive(Default)]
struct State {
    open: HashMap<QueryId, Slot>,
    queue: VecDeque<Command>,
    /// The command being written, from `sent` on, and the request that it starts, if it does.
    writing: Vec<u8>,
    sent: usize,
    starts: Option<QueryId>,
    /// The command being written is an attempt, which counts once it has left whole.
    attempt: bool,
    stream: Option<Rc<Async<TcpStream>>>,
}

/// An attempt that this connection ended: whose, which, how, its cost and its pages.
pub(super) type End = (QueryId, u32, Outcome, Option<Cost>, Pages);

/// What an answer says of an attempt.
pub(super) enum Said {
    /// It has ended.
    End(End),
    /// News of one that is still out: whose, which, what.
    Note(QueryId, u32, Progress),
}

/// One connection to an engine.
pub(super) struct Connection {
    pub id: u64,
    pub engine: EngineId,
    pub addr: SocketAddr,
    /// It takes no further requests.
    pub retired: Cell<bool>,
    pub idle_since: Cell<Micros>,
    pub carried: Cell<u64>,
    /// Why it ended, once it has.
    pub ended: Cell<Option<&'static str>>,
    /// The socket takes no more at the moment.
    pub blocked: Cell<bool>,
    stats: Rc<Stats>,
    state: RefCell<State>,
}

impl Connection {
    pub fn new(
        id: u64,
        engine: EngineId,
        addr: SocketAddr,
        now: Micros,
        stats: Rc<Stats>,
    ) -> Rc<Self> {
        Rc::new(Connection {
            id,
            engine,
            addr,
            retired: Cell::new(false),
            idle_since: Cell::new(now),
            carried: Cell::new(0),
            ended: Cell::new(None),
            blocked: Cell::new(false),
            stats,
            state: RefCell::default(),
        })
    }

    pub fn load(&self) -> usize {
        self.state.borrow().open.len()
    }

    /// Its engine has closed it, or has said something while nothing was asked: that is read next.
    pub fn is_closing(&self) -> bool {
        let state = self.state.borrow();
        let said = state
            .stream
            .as_ref()
            .map(|stream| stream.get_ref().peek(&mut [0]));
        said.is_some_and(|said| !matches!(said, Err(e) if e.kind() == ErrorKind::WouldBlock))
    }

    pub fn is_up(&self) -> bool {
        self.state.borrow().stream.is_some()
    }

    pub fn stream(&self) -> Option<Rc<Async<TcpStream>>> {
        self.state.borrow().stream.clone()
    }

    pub fn up(&self, stream: Rc<Async<TcpStream>>) {
        self.state.borrow_mut().stream = Some(stream);
    }

    pub fn serve(&self, attempt: Attempt, tries: u32) {
        let mut s = self.state.borrow_mut();
        let id = attempt.exchange.request.query.id;
        attempt.exchange.used_connections.borrow_mut().push(self.id);
        s.queue.push_back(Command::Serve(id, attempt.number));
        let slot = Slot {
            attempt,
            tries,
            written: false,
            pages: Vec::new(),
            missing: 0,
            bytes: 0,
            cost: None,
        };
        s.open.insert(id, slot);
        self.carried.set(self.carried.get() + 1);
    }

    /// Gives a request up. False: nothing of it was ever written.
    pub fn cancel(&self, id: QueryId, now: Micros) -> bool {
        let mut s = self.state.borrow_mut();
        let Some(slot) = s.open.remove(&id) else {
            return true;
        };
        self.idle_since.set(now);
        if !slot.written {
            // It may be the command at hand, if the socket has taken nothing of that yet.
            if s.starts == Some(id) {
                s.writing.clear();
                (s.starts, s.attempt) = (None, false);
            }
            return false;
        }
        // Its engine, or this connection, gave no sign in time; where an answer stopped short, what comes next
        // here would be taken for its rest. And a late answer must not pass for one to a later attempt of the
        // same id. So nothing further is asked here, while others that are open still get their answers.
        self.retired.set(true);
        // Once its answer has begun, only the rest of its pages is given up.
        let word = if slot.pages.is_empty() {
            "cancel"
        } else {
            "release"
        };
        s.queue.push_back(Command::Line(format!(
            "{word} {}\r\n",
            slot.attempt.exchange.request.rid
        )));
        true
    }

    pub fn weigh(&self, id: QueryId, level: u8) {
        let mut s = self.state.borrow_mut();
        let Some(slot) = s.open.get_mut(&id) else {
            return;
        };
        slot.attempt.level = Some(level);
        if slot.written && slot.pages.is_empty() {
            let line = format!("weigh {} {level}\r\n", slot.attempt.exchange.request.rid);
            s.queue.push_back(Command::Line(line));
        }
    }

    /// Whether some of a request has been written.
    pub fn has_begun(&self, id: QueryId) -> bool {
        self.state.borrow().open.get(&id).is_some_and(|s| s.written)
    }

    /// Takes back every request of which nothing was written: the engine wants no more, and one that left
    /// late would break the rule on drains.
    pub fn take_unwritten(&self) -> Vec<End> {
        self.take_back(|_| true)
    }

    /// Takes back every request of which nothing was written by the time when it had to begin.
    pub fn take_late(&self, now: Micros) -> Vec<End> {
        self.take_back(|attempt| now >= attempt.begin_by)
    }

    fn take_back(&self, which: impl Fn(&Attempt) -> bool) -> Vec<End> {
        let late = |s: &Slot| !s.written && which(&s.attempt);
        let ids: Vec<_> = self
            .state
            .borrow()
            .open
            .iter()
            .filter(|(_, s)| late(s))
            .map(|(id, _)| *id)
            .collect();
        let number = |id: QueryId| self.state.borrow().open.get(&id).map(|s| s.attempt.number);
        let mut ends = Vec::new();
        for id in ids {
            ends.extend(number(id).map(|n| (id, n, Outcome::NeverSent, None, Pages::new())));
            self.cancel(id, self.idle_since.get());
        }
        ends
    }

    /// Writes as much as the socket takes. An error means that the connection is lost.
    pub fn flush(&self, now: Micros) -> Result<(), &'static str> {
        let mut guard = self.state.borrow_mut();
        let s = &mut *guard;
        let Some(stream) = s.stream.clone() else {
            return Ok(());
        };
        self.blocked.set(false);
        if s.queue.len() > MAX_QUEUE {
            return Err("stalled");
        }
        loop {
            if s.sent >= s.writing.len() {
                if std::mem::take(&mut s.attempt) {
                    self.stats.tried();
                }
                s.writing.clear();
                (s.sent, s.starts) = (0, None);
                match s.queue.pop_front() {
                    None => return Ok(()),
                    Some(Command::Line(line)) => s.writing.extend_from_slice(line.as_bytes()),
                    Some(Command::Serve(id, number)) => {
                        if let Some(slot) =
                            s.open.get(&id).filter(|slot| slot.attempt.number == number)
                        {
                            encode(&mut s.writing, &slot.attempt, now);
                            (s.starts, s.attempt) = (Some(id), true);
                        }
                    }
                }
                continue;
            }
            let rest = s.writing.get(s.sent..).unwrap_or_default();
            match stream.get_ref().write(rest) {
                Ok(0) => return Err("closed"),
                Ok(n) => {
                    s.sent += n;
                    if let Some(slot) = s.starts.take().and_then(|id| s.open.get_mut(&id)) {
                        slot.written = true;
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    self.blocked.set(true);
                    return Ok(());
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return Err("reset"),
            }
        }
    }

    /// Reads once. The answers that are whole now end their attempts; `Ok(false)` is the end of the stream.
    pub async fn read(
        &self,
        stream: &Async<TcpStream>,
        buffer: &mut Vec<u8>,
    ) -> Result<bool, std::io::Error> {
        let mut chunk = [0u8; 16 * 1024];
        let n = stream.read_with(|mut s| s.read(&mut chunk)).await?;
        buffer.extend_from_slice(chunk.get(..n).unwrap_or_default());
        Ok(n > 0)
    }

    /// Takes the next whole answer off `buffer` that says something of an attempt.
    pub fn next(
        &self,
        buffer: &[u8],
        used: &mut usize,
        now: Micros,
    ) -> Result<Option<Said>, &'static str> {
        loop {
            match codec::parse(buffer.get(*used..).unwrap_or_default()) {
                Parsed::Part => return Ok(None),
                Parsed::Garbage => return Err("garbage"),
                Parsed::Whole(reply, size) => {
                    *used += size;
                    if let Some(said) = self.take(&reply, now)? {
                        return Ok(Some(said));
                    }
                }
            }
        }
    }

    fn take(&self, reply: &Reply<'_>, now: Micros) -> Result<Option<Said>, &'static str> {
        let mut guard = self.state.borrow_mut();
        let s = &mut *guard;
        let Some(slot) = s.open.get_mut(&reply.id).filter(|slot| slot.written) else {
            // A late answer to a dead attempt, a second copy, or one under an id that nobody here knows: it is
            // skipped, and its further pages can go.
            if reply.word == Word::Ok && reply.chunks.is_some_and(|n| n > 1) {
                s.queue
                    .push_back(Command::Line(format!("release {}\r\n", reply.rid)));
            }
            return Ok(None);
        };
        let outcome = match reply.word {
            Word::Refused => Outcome::Overloaded,
            Word::Stale => Outcome::NeverSent,
            Word::Error => Outcome::Error,
            // Once its answer has begun, there is no more news of it.
            Word::Progress => {
                let news = reply.note.filter(|_| slot.pages.is_empty());
                return Ok(news.map(|n| Said::Note(reply.id, slot.attempt.number, n)));
            }
            Word::Ok | Word::Batch => {
                let first = reply.word == Word::Ok;
                let at = reply.at.filter(|_| !first).unwrap_or(0);
                if slot.pages.get(at).is_some_and(Option::is_some) {
                    // A second copy: the first counts, and the others' answers behind it are well.
                    return Ok(None);
                }
                if first != slot.pages.is_empty() {
                    return Err("garbage");
                }
                if first {
                    let chunks = reply.chunks.unwrap_or(1).max(1);
                    if chunks > MAX_PAGES {
                        return Err("garbage");
                    }
                    slot.pages.resize(chunks, None);
                    (slot.missing, slot.cost) = (chunks, reply.cost);
                    for page in 1..chunks {
                        let line = format!("read {} {page}\r\n", slot.attempt.exchange.request.rid);
                        s.queue.push_back(Command::Line(line));
                    }
                }
                slot.bytes += reply.body.len();
                let place = slot.pages.get_mut(at).filter(|p| p.is_none());
                if slot.bytes > MAX_RESULT_BYTES || !is_rows(reply.body) {
                    return Err("garbage");
                }
                *place.ok_or("garbage")? = Some(reply.body.into());
                slot.missing -= 1;
                if slot.missing > 0 {
                    return Ok(None);
                }
                Outcome::Completed
            }
        };
        let Some(slot) = s.open.remove(&reply.id) else {
            return Ok(None);
        };
        self.idle_since.set(now);
        let pages = if outcome == Outcome::Completed {
            slot.pages.into_iter().flatten().collect()
        } else {
            Pages::new()
        };
        Ok(Some(Said::End((
            reply.id,
            slot.attempt.number,
            outcome,
            slot.cost,
            pages,
        ))))
    }

    /// Ends the connection: the ends of what was written on it, which is severed, and what was not, which has
    /// surely never run, with the count of connections that have broken under it so far.
    pub fn end(&self, reason: &'static str) -> (Vec<End>, Vec<(Attempt, u32)>) {
        let (mut ends, mut unsent) = (Vec::new(), Vec::new());
        if self.ended.get().is_some() {
            return (ends, unsent);
        }
        self.ended.set(Some(reason));
        let mut s = self.state.borrow_mut();
        if let Some(stream) = s.stream.take() {
            let _ = stream.get_ref().shutdown(Shutdown::Both);
        }
        s.queue.clear();
        for (id, slot) in s.open.drain() {
            if slot.written {
                ends.push((
                    id,
                    slot.attempt.number,
                    Outcome::ConnectionLost,
                    None,
                    Pages::new(),
                ));
            } else {
                unsent.push((slot.attempt, slot.tries + 1));
            }
        }
        (ends, unsent)
    }
}

/// Whole rows of three columns of text, each row ended by a line feed.
fn is_rows(page: &[u8]) -> bool {
    (page.is_empty() || page.ends_with(b"\n"))
        && std::str::from_utf8(page).is_ok()
        && page
            .split_inclusive(|b| *b == b'\n')
            .all(|row| row.iter().filter(|b| **b == b'\t').count() == 2 && !row.contains(&0))
}

fn encode(out: &mut Vec<u8>, attempt: &Attempt, now: Micros) {
    let request = &attempt.exchange.request;
    let patience = attempt.until.saturating_sub(now).div_ceil(1000);
    let mut fields = format!("sort={},patience={patience}", request.class);
    if let Some(token) = &request.token {
        fields.push_str(",op=");
        fields.push_str(token);
    }
    if attempt.grant_mb > 0 {
        fields.push_str(&format!(",reserve={}", attempt.grant_mb));
    }
    if let Some(level) = attempt.level {
        fields.push_str(&format!(",level={level}"));
    }
    codec::serve(out, &request.rid, &fields, &request.statement);
}

#[cfg(test)]
#[allow(clippy::unwrap_used, clippy::indexing_slicing)]
mod tests;
