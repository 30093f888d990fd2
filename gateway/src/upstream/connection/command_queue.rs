//! The queue of commands to an engine, and the command that is being written.

use std::collections::{HashMap, VecDeque};
use std::io::{ErrorKind, IoSlice, Write};
use std::ops::Range;
use std::rc::Rc;

use violetgate_policy::interface::{Micros, QueryId};

use super::super::close_reason::CloseReason;
use super::super::codec::{self, Reply, ReplyKind, RunCommand};
use super::ActiveAttempt;
use crate::exchange::Attempt;

/// If more commands than this are waiting, the engine is considered stalled, and the connection is
/// closed.
const MAX_QUEUED_COMMANDS: usize = 2_000;
/// If more commands than this are waiting, an engine is no longer told that it may discard pages of
/// answers that nobody waits for.
const MAX_QUEUED_BEFORE_RELEASE: usize = 64;
const MICROS_PER_MS: Micros = 1_000;

/// A command to an engine.
pub(super) enum Command {
    /// Starts an attempt, unless it is cancelled before the command is written.
    Run {
        /// The query of the attempt.
        query: QueryId,
        /// The number of the attempt, from 0.
        attempt: u32,
    },
    /// Sends this line, which includes its CR LF.
    Line(String),
    /// Requests pages of an answer.
    ReadPages {
        /// The id of the request as the client wrote it.
        request_id: Box<str>,
        /// The numbers of the pages, from 0.
        pages: Range<usize>,
    },
}

/// The state of the queue after a successful write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WriteOutcome {
    /// All commands were written.
    Done,
    /// The socket accepts no more data at the moment.
    Blocked,
}

/// The command that is being written.
#[derive(Default)]
struct CurrentWrite {
    /// The lines of the command.
    lines: Vec<u8>,
    /// The statement after the line of a command that starts an attempt. It is shared with the
    /// request, so that it is not held twice.
    statement: Option<Rc<[u8]>>,
    written: usize,
    /// The query whose attempt the command starts. `None` for other commands, and once part of the
    /// command has been written.
    starts: Option<QueryId>,
    /// Whether the command starts an attempt, which is counted once it is written completely.
    /// Unlike `starts`, this stays set while the command is being written.
    is_attempt: bool,
}

impl CurrentWrite {
    /// Returns what is not written yet.
    fn unwritten(&self) -> [IoSlice<'_>; 3] {
        let (statement, end) = match &self.statement {
            Some(statement) => (&**statement, codec::RUN_COMMAND_END),
            None => (&[][..], &[][..]),
        };
        let mut skipped = self.written;
        [&*self.lines, statement, end].map(|part| {
            let start = skipped.min(part.len());
            skipped -= start;
            IoSlice::new(part.get(start..).unwrap_or_default())
        })
    }

    fn is_written(&self) -> bool {
        self.unwritten().iter().all(|part| part.is_empty())
    }
}

/// The commands to one engine, in the order in which they are written.
#[derive(Default)]
pub(super) struct CommandQueue {
    waiting: VecDeque<Command>,
    current: CurrentWrite,
}

impl CommandQueue {
    pub(super) fn push(&mut self, command: Command) {
        self.waiting.push_back(command);
    }

    pub(super) fn clear(&mut self) {
        self.waiting.clear();
    }

    /// Discards the current command if it starts the attempt of `query` and none of it has been
    /// written.
    pub(super) fn discard_unwritten(&mut self, query: QueryId) {
        if self.current.starts == Some(query) {
            self.current = CurrentWrite::default();
        }
    }

    /// Handles a reply that belongs to no open attempt: a late reply to an attempt that has ended,
    /// a duplicate, or a reply with an unknown id. The reply is skipped, and if it is the first of
    /// several pages, the engine is told that it may discard the others.
    pub(super) fn handle_unknown_reply(&mut self, reply: &Reply<'_>) {
        let has_more = reply.page_count.is_some_and(|pages| pages > 1);
        let may_queue = self.waiting.len() <= MAX_QUEUED_BEFORE_RELEASE;
        if reply.kind == ReplyKind::FirstPage && has_more && may_queue {
            let line = codec::release_line(reply.request_id);
            self.push(Command::Line(line));
        }
    }

    /// Writes as much as the socket accepts. Attempts in `open` are marked as begun once part of
    /// them is written. Calls `count_attempt` for each attempt that is written completely.
    ///
    /// # Errors
    ///
    /// Fails if the connection is lost or too many commands are waiting, and returns the reason to
    /// close it with.
    pub(super) fn write_to(
        &mut self,
        socket: &mut impl Write,
        open: &mut HashMap<QueryId, ActiveAttempt>,
        now: Micros,
        count_attempt: impl Fn(),
    ) -> Result<WriteOutcome, CloseReason> {
        if self.waiting.len() > MAX_QUEUED_COMMANDS {
            return Err(CloseReason::Stalled);
        }
        loop {
            if self.current.is_written() {
                if self.current.is_attempt {
                    count_attempt();
                }
                if !self.start_next(open, now) {
                    return Ok(WriteOutcome::Done);
                }
                continue;
            }
            match socket.write_vectored(&self.current.unwritten()) {
                Ok(0) => return Err(CloseReason::Closed),
                Ok(size) => {
                    self.current.written += size;
                    let started = self.current.starts.take();
                    if let Some(active) = started.and_then(|query| open.get_mut(&query)) {
                        active.has_begun = true;
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    return Ok(WriteOutcome::Blocked);
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return Err(CloseReason::Reset),
            }
        }
    }

    /// Makes the next waiting command the current one. The command of an attempt that was cancelled
    /// in the meantime becomes empty. Returns false if no command is waiting.
    fn start_next(&mut self, open: &HashMap<QueryId, ActiveAttempt>, now: Micros) -> bool {
        self.current = CurrentWrite::default();
        match self.waiting.pop_front() {
            None => return false,
            Some(Command::Line(line)) => self.current.lines = line.into_bytes(),
            Some(Command::ReadPages { request_id, pages }) => {
                let lines = pages.map(|page| codec::page_line(&request_id, page));
                self.current.lines = lines.collect::<String>().into_bytes();
            }
            Some(Command::Run { query, attempt }) => {
                let active = open.get(&query);
                let active = active.filter(|active| active.attempt.number == attempt);
                if let Some(active) = active {
                    write_attempt_line(&mut self.current.lines, &active.attempt, now);
                    let statement = &active.attempt.exchange.request.statement;
                    self.current.statement = Some(Rc::clone(statement));
                    self.current.starts = Some(query);
                    self.current.is_attempt = true;
                }
            }
        }
        true
    }
}

/// Appends the line of the command that starts an attempt. The time left is sent in milliseconds,
/// rounded up.
pub(super) fn write_attempt_line(out: &mut Vec<u8>, attempt: &Attempt, now: Micros) {
    let request = &attempt.exchange.request;
    let time_left_ms = attempt.deadline.saturating_sub(now).div_ceil(MICROS_PER_MS);
    let command = RunCommand {
        request_id: &request.id_text,
        class: &request.class,
        time_left_ms,
        idempotency_key: request.idempotency_key.as_deref(),
        memory_grant_mb: attempt.memory_grant_mb,
        priority: attempt.priority,
        statement_bytes: request.statement.len(),
    };
    command.write_line_to(out);
}
