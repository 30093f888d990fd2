//! One session: messages in, answers out, in the order of the protocol. It decides nothing.

mod answers;
mod query;
mod socket;
mod startup;

use std::convert::Infallible;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use futures_lite::{future, FutureExt};
use violetgate_policy::interface::Micros;

#[cfg(test)]
pub(super) use socket::READ_AHEAD_BYTES;

use super::cancellation::CancelTarget;
use super::codec::{self, Malformed};
use super::session_end::SessionEnd;
use super::sessions::Sessions;
use crate::connection_limit::{ConnectionSlot, ConnectionState};

/// How long a client may take over its start-up packet, and over the rest of a message that it has
/// begun, however it trickles in: one that sends an incomplete message has to get an error or a
/// close within 3 s.
const STARTUP_TIMEOUT: Duration = Duration::from_millis(2_000);
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// How long a session may stay open without a request; clients close theirs after 4 s.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Whether messages are carried out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mode {
    /// Messages are carried out.
    Normal,
    /// An extended query failed: its messages are skipped up to Sync.
    SkipToSync,
}

/// One session.
pub(super) struct Session<'a> {
    sessions: &'a Rc<Sessions>,
    slot: &'a Rc<ConnectionSlot>,
    stream: Rc<Async<TcpStream>>,
    input: Vec<u8>,
    /// When the last bytes were read.
    read_at: Micros,
    output: Vec<u8>,
    /// What a CancelRequest reaches, once the session has started.
    cancel_target: Option<Rc<CancelTarget>>,
    requests: u64,
    mode: Mode,
    /// When the rest of a message that has begun is due.
    message_due: Option<Instant>,
}

impl Drop for Session<'_> {
    fn drop(&mut self) {
        if let Some(target) = &self.cancel_target {
            self.sessions.cancel_targets.remove(target);
        }
    }
}

/// Ends a wait after a time, with this reason.
async fn end_after<T>(duration: Duration, end: SessionEnd) -> Result<T, SessionEnd> {
    Timer::after(duration).await;
    Err(end)
}

async fn end_at<T>(at: Instant, end: SessionEnd) -> Result<T, SessionEnd> {
    Timer::at(at).await;
    Err(end)
}

/// Ends a wait once a close of the connection is requested.
async fn end_on_request<T>(slot: &ConnectionSlot) -> Result<T, SessionEnd> {
    Err(SessionEnd::Requested(slot.close_requested().await))
}

impl<'a> Session<'a> {
    pub(super) fn new(
        sessions: &'a Rc<Sessions>,
        slot: &'a Rc<ConnectionSlot>,
        stream: Rc<Async<TcpStream>>,
    ) -> Self {
        Session {
            sessions,
            slot,
            stream,
            input: Vec::new(),
            read_at: 0,
            output: Vec::new(),
            cancel_target: None,
            requests: 0,
            mode: Mode::Normal,
            message_due: None,
        }
    }

    /// The number of queries read.
    pub(super) fn requests(&self) -> u64 {
        self.requests
    }

    /// Serves the session up to its end.
    pub(super) async fn run(&mut self) -> SessionEnd {
        match self.serve().await {
            Ok(never) => match never {},
            Err(end) => end,
        }
    }

    async fn serve(&mut self) -> Result<Infallible, SessionEnd> {
        let slot = Rc::clone(self.slot);
        // What has been read comes first: a request that is here already is still served.
        self.start()
            .or(end_on_request(&slot))
            .or(end_after(STARTUP_TIMEOUT, SessionEnd::StartupTimeout))
            .await?;
        loop {
            let message = match codec::parse_message(&self.input) {
                Ok(Some(message)) => message,
                Ok(None) => {
                    self.read_more(&slot).await?;
                    continue;
                }
                Err(error) => return Err(self.break_off(error).await),
            };
            self.message_due = None;
            let (kind, size) = (message.kind, message.size);
            if kind != codec::QUERY {
                self.handle_message(kind, size).await?;
            } else {
                let sql = codec::query_text(message.body).map(<[u8]>::to_vec);
                match sql {
                    Ok(sql) => self.handle_query(&sql, size).await?,
                    Err(error) => return Err(self.break_off(error).await),
                }
            }
        }
    }

    /// Reads on, as the next message is not complete yet.
    async fn read_more(&mut self, slot: &ConnectionSlot) -> Result<(), SessionEnd> {
        let (state, deadline, end) = if self.input.is_empty() {
            let deadline = Instant::now() + IDLE_TIMEOUT;
            (ConnectionState::Idle, deadline, SessionEnd::Idle)
        } else {
            let deadline = *self
                .message_due
                .get_or_insert_with(|| Instant::now() + MESSAGE_TIMEOUT);
            let state = ConnectionState::AwaitingMessage;
            (state, deadline, SessionEnd::MessageTimeout)
        };
        slot.set_state(state, self.sessions.sink.now());
        self.read()
            .or(end_on_request(slot))
            .or(end_at(deadline, end))
            .await
    }

    /// Handles a Query message of `size` bytes.
    async fn handle_query(&mut self, sql: &[u8], size: usize) -> Result<(), SessionEnd> {
        self.input.drain(..size);
        if self.mode == Mode::SkipToSync {
            self.take_cancelled();
            return Ok(());
        }
        self.query(sql).await?;
        let now = self.sessions.sink.now();
        if let Some(reason) = self.sessions.drain.close_reason(now) {
            // What is here already is served first.
            self.read_ahead()?;
            if self.input.is_empty() {
                return Err(SessionEnd::Requested(reason));
            }
        }
        future::yield_now().await;
        Ok(())
    }

    /// Handles a message of `size` bytes that is no Query.
    async fn handle_message(&mut self, kind: u8, size: usize) -> Result<(), SessionEnd> {
        match kind {
            codec::TERMINATE => return Err(SessionEnd::Terminated),
            codec::SYNC => {
                self.mode = Mode::Normal;
                codec::write_ready(&mut self.output);
            }
            kind if codec::is_extended_query(kind) && self.mode == Mode::Normal => {
                self.mode = Mode::SkipToSync;
                self.write_error("0A000", "only simple queries are served here");
            }
            codec::FUNCTION_CALL => {
                self.write_error("0A000", "function calls are not served here");
                codec::write_ready(&mut self.output);
            }
            codec::PASSWORD => {
                let error = Malformed("unexpected password message");
                return Err(self.break_off(error).await);
            }
            // Flush, and extended queries that are skipped; copy data that was not requested is
            // skipped, as PostgreSQL does.
            _ => {}
        }
        self.input.drain(..size);
        // A cancel request that came while this was read meant it.
        self.take_cancelled();
        self.write().await?;
        // A client that sends without end always has more to read: other tasks run in between.
        future::yield_now().await;
        Ok(())
    }

    /// Answers what violates the protocol; nothing that follows on such a connection can be read.
    async fn break_off(&mut self, error: Malformed) -> SessionEnd {
        codec::write_error(
            &mut self.output,
            &codec::ErrorResponse::fatal("08P01", error.0),
        );
        match self.write().await {
            Ok(()) => SessionEnd::ProtocolViolation,
            Err(end) => end,
        }
    }

    /// Whether the query at hand was cancelled; it is reported once.
    fn take_cancelled(&self) -> bool {
        let target = self.cancel_target.as_ref();
        target.is_some_and(|target| target.take_cancelled())
    }
}
