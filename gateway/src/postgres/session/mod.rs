//! A client session: reads messages and writes their answers in the order of the protocol.
//!
//! A session makes no scheduling decisions; it passes requests to the request sink.

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
use super::codec::{self, Malformed, MessageHead};
use super::session_end::SessionEnd;
use super::sessions::Sessions;
use crate::connection_limit::{ConnectionSlot, ConnectionState, MEMORY_LIMIT};

/// Maximum time from the accept of a connection to a complete start-up packet, and from the first
/// byte of a message to its last, even if single bytes keep arriving. A client that sends an
/// incomplete message must get an error or a close within 3 s.
const STARTUP_TIMEOUT: Duration = Duration::from_millis(2_000);
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Maximum time that a session stays open without a request. Clients close an idle session after
/// 4 s.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Whether messages are carried out or skipped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mode {
    Normal,
    /// An extended query was rejected, and messages are skipped up to the next Sync.
    SkipToSync,
}

/// The state of a client session.
pub(super) struct Session<'a> {
    sessions: &'a Rc<Sessions>,
    slot: &'a Rc<ConnectionSlot>,
    stream: Rc<Async<TcpStream>>,
    /// Whether the end of the client's stream was read. The client may still wait for answers.
    input_ended: bool,
    /// When input was last read, in microseconds since the Unix epoch. This is the time at which
    /// the current query counts as received.
    read_at: Micros,
    output: Vec<u8>,
    /// The part of the session that a CancelRequest acts on; `None` until the session has started.
    cancel_target: Option<Rc<CancelTarget>>,
    requests: u64,
    mode: Mode,
    /// The deadline for the rest of a message whose first bytes have been read.
    message_due: Option<Instant>,
}

impl Drop for Session<'_> {
    fn drop(&mut self) {
        if let Some(target) = &self.cancel_target {
            self.sessions.cancel_targets.remove(target);
        }
    }
}

/// Waits for `duration`, and then returns `end` as an error, which ends the session.
async fn end_after<T>(duration: Duration, end: SessionEnd) -> Result<T, SessionEnd> {
    Timer::after(duration).await;
    Err(end)
}

async fn end_at<T>(at: Instant, end: SessionEnd) -> Result<T, SessionEnd> {
    Timer::at(at).await;
    Err(end)
}

/// Waits until a close of the connection is requested, and then returns the reason as an error,
/// which ends the session.
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
            input_ended: false,
            read_at: 0,
            output: Vec::new(),
            cancel_target: None,
            requests: 0,
            mode: Mode::Normal,
            message_due: None,
        }
    }

    /// Returns the number of queries that were carried out or rejected.
    pub(super) fn requests(&self) -> u64 {
        self.requests
    }

    /// Serves the session until it ends, and returns the reason.
    pub(super) async fn run(&mut self) -> SessionEnd {
        let end = match self.serve().await {
            Ok(never) => match never {},
            Err(end) => end,
        };
        if end == SessionEnd::Requested(MEMORY_LIMIT) && self.output.is_empty() {
            self.tell_out_of_memory();
        }
        end
    }

    async fn serve(&mut self) -> Result<Infallible, SessionEnd> {
        let slot = Rc::clone(self.slot);
        // Input is polled before the request to close, so that what has already arrived is still
        // served.
        self.start()
            .or(end_on_request(&slot))
            .or(end_after(STARTUP_TIMEOUT, SessionEnd::StartupTimeout))
            .await?;
        loop {
            let message = self.slot.input.with(codec::message_head);
            let MessageHead { kind, size } = match message {
                Ok(Some(message)) => message,
                Ok(None) => {
                    self.read_more(&slot).await?;
                    continue;
                }
                Err(error) => return Err(self.fail_with_protocol_error(error).await),
            };
            self.message_due = None;
            if kind != codec::QUERY {
                self.handle_message(kind, size).await?;
            } else {
                self.handle_query(size).await?;
            }
        }
    }

    /// Reads once more, as the next message is not complete yet.
    async fn read_more(&mut self, slot: &ConnectionSlot) -> Result<(), SessionEnd> {
        let (state, deadline, end) = if self.slot.input.is_empty() {
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
    async fn handle_query(&mut self, size: usize) -> Result<(), SessionEnd> {
        let query = match self.take_query(size) {
            Ok(query) => query,
            Err(error) => return Err(self.fail_with_protocol_error(error).await),
        };
        if self.mode == Mode::SkipToSync {
            self.take_cancelled();
            return Ok(());
        }
        self.query(query).await?;
        let now = self.sessions.sink.now();
        if let Some(reason) = self.sessions.drain.close_reason(now) {
            // The connection is closed only if no further input has arrived. Otherwise the queries
            // in the input are served first.
            self.read_ahead()?;
            if self.slot.input.is_empty() {
                return Err(SessionEnd::Requested(reason));
            }
        }
        future::yield_now().await;
        Ok(())
    }

    /// Handles a message of `size` bytes that is not a Query.
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
                return Err(self.fail_with_protocol_error(error).await);
            }
            // Flush needs no answer, and messages of a rejected extended query are skipped. Copy
            // data that was not requested is skipped too, as in PostgreSQL.
            _ => {}
        }
        self.slot.input.discard_front(size);
        // A cancel request that arrived while this message was read was meant for it.
        self.take_cancelled();
        self.write().await?;
        // Without this, a client that sends continuously would prevent other tasks from running.
        future::yield_now().await;
        Ok(())
    }

    /// Answers a violation of the protocol with a fatal error, and returns why the session ends.
    /// Nothing that follows on such a connection can be read.
    async fn fail_with_protocol_error(&mut self, error: Malformed) -> SessionEnd {
        codec::write_error(
            &mut self.output,
            &codec::ErrorResponse::fatal("08P01", error.0),
        );
        match self.write().await {
            Ok(()) => SessionEnd::ProtocolViolation,
            Err(end) => end,
        }
    }

    /// Returns whether the current query was cancelled, and resets that state.
    fn take_cancelled(&self) -> bool {
        let target = self.cancel_target.as_ref();
        target.is_some_and(|target| target.take_cancelled())
    }
}
