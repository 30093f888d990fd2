//! A connection to an engine, which can carry many attempts at a time.
//!
//! Attempts wait in a command queue and are encoded only when the socket accepts them. An attempt
//! that is cancelled before that has not run.

mod command_queue;
mod partial_result;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::rc::Rc;

use async_io::Async;
use violetgate_memory_budget::MemoryBudget;
use violetgate_policy::interface::{EngineId, Micros, Outcome, QueryId};

use super::close_reason::CloseReason;
use super::codec::{self, Parsed, Reply, ReplyKind};
use crate::exchange::{Attempt, AttemptEnd, AttemptProgress, CancelOutcome, Pages};
use crate::stats::Stats;
use command_queue::{Command, CommandQueue, WriteOutcome};
use partial_result::{PageOutcome, PartialResult};

/// An attempt that is queued or running on this connection.
struct ActiveAttempt {
    attempt: Attempt,
    /// The number of earlier connections that broke before any of the attempt was written.
    broken_connections: u32,
    /// Whether part of the attempt has been written.
    has_begun: bool,
    result: PartialResult,
}

impl ActiveAttempt {
    fn new(attempt: Attempt, broken_connections: u32, memory: &MemoryBudget) -> Self {
        ActiveAttempt {
            attempt,
            broken_connections,
            has_begun: false,
            result: PartialResult::new(memory),
        }
    }

    fn query(&self) -> QueryId {
        self.attempt.exchange.id()
    }

    fn request_id(&self) -> &str {
        &self.attempt.exchange.request.id_text
    }

    fn end_without_result(&self, outcome: Outcome) -> AttemptEnd {
        AttemptEnd::without_result(self.query(), self.attempt.number, outcome)
    }
}

#[derive(Default)]
struct State {
    open: HashMap<QueryId, ActiveAttempt>,
    commands: CommandQueue,
    stream: Option<Rc<Async<TcpStream>>>,
}

/// What an engine reported about an attempt.
pub(super) enum UpstreamEvent {
    /// The next answer does not fit into the memory budget now. It was not removed from the input.
    OutOfMemory,
    /// The attempt has ended.
    Ended(AttemptEnd),
    /// The attempt is still running and made progress.
    Progressed(AttemptProgress),
}

/// An attempt on a connection that ended before any of the attempt was written.
pub(super) struct UnsentAttempt {
    pub attempt: Attempt,
    /// The number of connections that broke before any of the attempt was written.
    pub broken_connections: u32,
}

/// The attempts that were open on a connection when it ended.
#[derive(Default)]
pub(super) struct UnfinishedAttempts {
    /// The ends of the attempts of which at least a part was written. They may have run.
    pub interrupted: Vec<AttemptEnd>,
    /// The attempts of which nothing was written. They have not run.
    pub unsent: Vec<UnsentAttempt>,
}

/// A connection to an engine, from the start of connecting to its close.
pub(super) struct Connection {
    pub id: u64,
    pub engine: EngineId,
    pub addr: SocketAddr,
    /// Whether no further attempt may be queued on the connection.
    pub is_retired: Cell<bool>,
    /// When the connection was opened or an attempt on it last ended, in microseconds since the
    /// Unix epoch. Meaningful only while no attempt is open.
    pub idle_since: Cell<Micros>,
    /// The number of attempts queued on the connection so far.
    pub attempts: Cell<u64>,
    pub has_ended: Cell<bool>,
    /// Whether the socket accepts no more data at the moment.
    pub is_blocked: Cell<bool>,
    stats: Rc<Stats>,
    memory: MemoryBudget,
    state: RefCell<State>,
}

impl Connection {
    pub(super) fn new(
        id: u64,
        engine: EngineId,
        addr: SocketAddr,
        now: Micros,
        stats: Rc<Stats>,
        memory: MemoryBudget,
    ) -> Rc<Self> {
        Rc::new(Connection {
            id,
            engine,
            addr,
            is_retired: Cell::new(false),
            idle_since: Cell::new(now),
            attempts: Cell::new(0),
            has_ended: Cell::new(false),
            is_blocked: Cell::new(false),
            stats,
            memory,
            state: RefCell::default(),
        })
    }

    /// Returns the number of attempts that are queued or running on the connection.
    pub(super) fn load(&self) -> usize {
        self.state.borrow().open.len()
    }

    /// Returns whether the engine has closed the connection, or data from it waits to be read.
    /// An idle connection for which either is true can't be used any more.
    pub(super) fn has_unread_input(&self) -> bool {
        let state = self.state.borrow();
        let peeked = state
            .stream
            .as_ref()
            .map(|stream| stream.get_ref().peek(&mut [0]));
        peeked.is_some_and(
            |peeked| !matches!(peeked, Err(error) if error.kind() == ErrorKind::WouldBlock),
        )
    }

    pub(super) fn is_connected(&self) -> bool {
        self.state.borrow().stream.is_some()
    }

    pub(super) fn stream(&self) -> Option<Rc<Async<TcpStream>>> {
        self.state.borrow().stream.clone()
    }

    pub(super) fn set_connected(&self, stream: Rc<Async<TcpStream>>) {
        self.state.borrow_mut().stream = Some(stream);
    }

    /// Queues an attempt. `broken_connections` is the number of earlier connections that broke
    /// before any of it was written.
    pub(super) fn queue_attempt(&self, attempt: Attempt, broken_connections: u32) {
        let mut state = self.state.borrow_mut();
        let query = attempt.exchange.id();
        attempt.exchange.used_connections.borrow_mut().push(self.id);
        state.commands.push(Command::Run {
            query,
            attempt: attempt.number,
        });
        let active = ActiveAttempt::new(attempt, broken_connections, &self.memory);
        state.open.insert(query, active);
        self.attempts.set(self.attempts.get() + 1);
    }

    /// Cancels the attempt of a query. If it has begun, the connection is retired.
    pub(super) fn cancel(&self, query: QueryId, now: Micros) -> CancelOutcome {
        let mut state = self.state.borrow_mut();
        let Some(active) = state.open.remove(&query) else {
            return CancelOutcome::MayHaveRun;
        };
        self.idle_since.set(now);
        if !active.has_begun {
            state.commands.discard_unwritten(query);
            return CancelOutcome::NeverSent;
        }
        // No further attempt is sent on this connection, for three reasons: The engine or the
        // connection may have stopped responding. If an answer is incomplete, the next answer would
        // be read as the rest of it. A late answer could be taken for the answer to a later attempt
        // of the same query. Other open attempts still get their answers.
        self.is_retired.set(true);
        let line = if active.result.has_begun() {
            codec::release_line(active.request_id())
        } else {
            codec::cancel_line(active.request_id())
        };
        state.commands.push(Command::Line(line));
        CancelOutcome::MayHaveRun
    }

    /// Sets the priority level of the attempt of a query. The engine is told if the attempt has
    /// begun and its answer has not.
    pub(super) fn set_priority(&self, query: QueryId, priority: u8) {
        let mut state = self.state.borrow_mut();
        let Some(active) = state.open.get_mut(&query) else {
            return;
        };
        active.attempt.priority = Some(priority);
        if active.has_begun && !active.result.has_begun() {
            let line = codec::priority_line(active.request_id(), priority);
            state.commands.push(Command::Line(line));
        }
    }

    /// Returns whether part of the attempt of a query has been written.
    pub(super) fn has_begun(&self, query: QueryId) -> bool {
        let state = self.state.borrow();
        state
            .open
            .get(&query)
            .is_some_and(|active| active.has_begun)
    }

    /// Cancels every attempt of which nothing was written, and returns their ends. Used when
    /// attempts may no longer be sent to the engine, for example because it is draining.
    pub(super) fn take_unwritten(&self) -> Vec<AttemptEnd> {
        self.cancel_unwritten(|_| true)
    }

    /// Cancels every attempt of which nothing is written although its `begin_by` has passed, and
    /// returns their ends.
    pub(super) fn take_late(&self, now: Micros) -> Vec<AttemptEnd> {
        self.cancel_unwritten(|attempt| now >= attempt.begin_by)
    }

    fn cancel_unwritten(&self, is_affected: impl Fn(&Attempt) -> bool) -> Vec<AttemptEnd> {
        let ends: Vec<_> = self
            .state
            .borrow()
            .open
            .values()
            .filter(|active| !active.has_begun && is_affected(&active.attempt))
            .map(|active| active.end_without_result(Outcome::NeverSent))
            .collect();
        for end in &ends {
            self.cancel(end.query, self.idle_since.get());
        }
        ends
    }

    /// Writes as much as the socket accepts.
    ///
    /// # Errors
    ///
    /// Fails if the connection is lost or the engine has stopped reading, and returns the reason to
    /// close the connection with.
    pub(super) fn flush(&self, now: Micros) -> Result<(), CloseReason> {
        let mut guard = self.state.borrow_mut();
        let state = &mut *guard;
        let Some(stream) = &state.stream else {
            return Ok(());
        };
        self.is_blocked.set(false);
        let mut socket = stream.get_ref();
        let open = &mut state.open;
        let outcome = state
            .commands
            .write_to(&mut socket, open, now, || self.stats.count_attempt())?;
        self.is_blocked.set(outcome == WriteOutcome::Blocked);
        Ok(())
    }

    /// Parses answers from `buffer`, starting at byte `used`, up to the first one that ends an
    /// attempt or reports its progress. Adds the size of the parsed answers to `used`. `None`: the
    /// buffer holds no such complete answer.
    ///
    /// # Errors
    ///
    /// Fails if the engine violated the protocol.
    pub(super) fn next_event(
        &self,
        buffer: &[u8],
        used: &mut usize,
        now: Micros,
    ) -> Result<Option<UpstreamEvent>, CloseReason> {
        loop {
            match codec::parse(buffer.get(*used..).unwrap_or_default()) {
                Parsed::Incomplete => return Ok(None),
                Parsed::Malformed => return Err(CloseReason::ProtocolError),
                Parsed::Complete(reply, size) => {
                    let event = self.take_reply(&reply, now)?;
                    if matches!(event, Some(UpstreamEvent::OutOfMemory)) {
                        return Ok(event);
                    }
                    *used += size;
                    if event.is_some() {
                        return Ok(event);
                    }
                }
            }
        }
    }

    fn take_reply(
        &self,
        reply: &Reply<'_>,
        now: Micros,
    ) -> Result<Option<UpstreamEvent>, CloseReason> {
        let mut guard = self.state.borrow_mut();
        let state = &mut *guard;
        let active = state.open.get_mut(&reply.query);
        let Some(active) = active.filter(|active| active.has_begun) else {
            state.commands.handle_unknown_reply(reply);
            return Ok(None);
        };
        let outcome = match reply.kind {
            ReplyKind::Overloaded => Outcome::Overloaded,
            ReplyKind::NeverRan => Outcome::NeverSent,
            ReplyKind::Error => Outcome::Error,
            ReplyKind::Progress => return Ok(active.progress_event(reply)),
            ReplyKind::FirstPage | ReplyKind::FurtherPage => match active.result.add_page(reply)? {
                PageOutcome::Complete => Outcome::Completed,
                PageOutcome::Duplicate => return Ok(None),
                PageOutcome::OutOfMemory => return Ok(Some(UpstreamEvent::OutOfMemory)),
                PageOutcome::Incomplete { pages_to_request } => {
                    if !pages_to_request.is_empty() {
                        let request_id = active.request_id().into();
                        let pages = pages_to_request;
                        state
                            .commands
                            .push(Command::ReadPages { request_id, pages });
                    }
                    return Ok(None);
                }
            },
        };
        let Some(active) = state.open.remove(&reply.query) else {
            return Ok(None);
        };
        self.idle_since.set(now);
        Ok(Some(UpstreamEvent::Ended(active.into_end(outcome))))
    }

    /// Ends the connection and returns its open attempts. A second call returns none.
    pub(super) fn end(&self) -> UnfinishedAttempts {
        let mut end = UnfinishedAttempts::default();
        if self.has_ended.replace(true) {
            return end;
        }
        let mut state = self.state.borrow_mut();
        if let Some(stream) = state.stream.take() {
            let _ = stream.get_ref().shutdown(Shutdown::Both);
        }
        state.commands.clear();
        for (_, active) in state.open.drain() {
            if active.has_begun {
                end.interrupted
                    .push(active.end_without_result(Outcome::ConnectionLost));
            } else {
                end.unsent.push(UnsentAttempt {
                    attempt: active.attempt,
                    broken_connections: active.broken_connections + 1,
                });
            }
        }
        end
    }
}

impl ActiveAttempt {
    /// Returns the event for a progress report. Reports after the first page are ignored.
    fn progress_event(&self, reply: &Reply<'_>) -> Option<UpstreamEvent> {
        let progress = reply.progress.filter(|_| !self.result.has_begun())?;
        Some(UpstreamEvent::Progressed(AttemptProgress {
            query: reply.query,
            number: self.attempt.number,
            progress,
        }))
    }

    fn into_end(self, outcome: Outcome) -> AttemptEnd {
        let end = self.end_without_result(outcome);
        let cost = self.result.reported_cost();
        let pages = if outcome == Outcome::Completed {
            self.result.into_pages()
        } else {
            Pages::default()
        };
        AttemptEnd { cost, pages, ..end }
    }
}

#[cfg(test)]
mod tests;
