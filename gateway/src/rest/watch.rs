//! Tracks the phase of a REST connection, the start time of the phase, and whether writes are
//! blocked. The connection's timeouts are computed from this state. The HTTP server reads and
//! writes through a [`WatchedStream`], which updates it.

use std::cell::{Cell, RefCell};
use std::io::{self, Read};
use std::net::TcpStream;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use async_io::Async;
use futures_lite::{ready, AsyncRead, AsyncWrite};
use hyper::Version;
use violetgate_memory_budget::{BudgetExhausted, Charge};
use violetgate_policy::interface::Micros;

use super::connection_end::ConnectionEnd;
use crate::clock::{micros, Clock};
use crate::connection_limit::{ConnectionSlot, ConnectionState, InputBuffer};
use crate::net;

/// An interim response, which clients of HTTP/1.1 ignore (RFC 9110, section 15.2).
const INTERIM_RESPONSE: &[u8] = b"HTTP/1.1 102 Processing\r\n\r\n";

/// The phase of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// The client has not begun a request.
    Idle,
    /// The head of a request has arrived in part.
    Head,
    /// The body of a request is being read.
    Body,
    /// A request waits for its answer.
    Request,
    /// An answer is being written.
    Answer,
}

/// The maximum durations of the phases that have a timeout.
#[derive(Debug, Clone, Copy)]
pub(super) struct PhaseTimeouts {
    /// The time that a connection may be idle.
    pub idle: Duration,
    /// The time in which the head of a request has to arrive completely.
    pub head: Duration,
    /// The time for which writes may be blocked.
    pub write: Duration,
}

/// The time at which a phase times out.
#[derive(Debug, Clone, Copy)]
pub(super) struct PhaseDeadline {
    /// The time in microseconds since the Unix epoch.
    pub at: Micros,
    /// The reason for which the connection ends at that time.
    pub end: ConnectionEnd,
}

/// The activity of a connection.
pub(super) struct ConnectionWatch {
    clock: Clock,
    slot: Rc<ConnectionSlot>,
    phase: Cell<Phase>,
    /// The time at which the current phase began.
    since: Cell<Micros>,
    /// The time since which writes have been blocked; `None` if the last write was accepted.
    blocked_since: Cell<Option<Micros>>,
    /// The number of requests answered so far.
    pub answered: Cell<u64>,
    /// The memory of the answer that is being written.
    answer_memory: RefCell<Option<Charge>>,
    /// Whether a query waits for its answer.
    has_open_query: Cell<bool>,
    /// Whether the client of the current request takes interim responses.
    takes_interim_responses: Cell<bool>,
    stream: Rc<Async<TcpStream>>,
    /// Whether a request was answered before its input was read completely. The rest has to be read
    /// and discarded before the connection closes.
    pub has_unread_input: Cell<bool>,
}

impl ConnectionWatch {
    /// Creates the state of a connection that was just accepted.
    pub(super) fn new(
        clock: Clock,
        slot: Rc<ConnectionSlot>,
        stream: Rc<Async<TcpStream>>,
    ) -> Rc<Self> {
        Rc::new(ConnectionWatch {
            clock,
            slot,
            phase: Cell::new(Phase::Idle),
            since: Cell::new(clock.now()),
            blocked_since: Cell::new(None),
            answered: Cell::new(0),
            answer_memory: RefCell::default(),
            has_open_query: Cell::new(false),
            takes_interim_responses: Cell::new(false),
            stream,
            has_unread_input: Cell::new(false),
        })
    }

    pub(super) fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// Records the start of a phase. Setting the current phase again keeps its start time.
    pub(super) fn set_phase(&self, phase: Phase) {
        if self.phase() == phase {
            return;
        }
        let now = self.clock.now();
        self.phase.set(phase);
        self.since.set(now);
        let state = match phase {
            Phase::Idle => ConnectionState::Idle,
            Phase::Head | Phase::Body => ConnectionState::AwaitingMessage,
            Phase::Request | Phase::Answer => ConnectionState::Busy,
        };
        self.slot.set_state(state, now);
        if phase == Phase::Idle {
            self.answer_memory.take();
        }
    }

    /// Charges the buffer of the HTTP server, which it keeps as long as the connection is open.
    pub(super) fn charge_server_buffer(&self, bytes: usize) -> Result<(), BudgetExhausted> {
        self.slot.input.set_parser_bytes(bytes)
    }

    /// Returns the input of the connection, to which the body of a request is appended.
    pub(super) fn body(&self) -> &InputBuffer {
        &self.slot.input
    }

    /// Records that the client has sent a complete and valid request.
    pub(super) fn record_request(&self) {
        self.slot.record_request();
    }

    /// Keeps the memory of the next answer charged until it is written.
    pub(super) fn set_answer_memory(&self, memory: Charge) {
        *self.answer_memory.borrow_mut() = Some(memory);
    }

    /// Whether a part of a request has arrived, and the rest of it has not.
    pub(super) fn awaits_rest_of_request(&self) -> bool {
        matches!(self.phase(), Phase::Head | Phase::Body)
    }

    /// Records the HTTP version of the current request. Interim responses came with HTTP/1.1.
    pub(super) fn set_version(&self, version: Version) {
        self.takes_interim_responses
            .set(version >= Version::HTTP_11);
    }

    /// Records that a query is open until the returned guard is dropped.
    pub(super) fn open_query(&self) -> OpenQueryGuard<'_> {
        self.has_open_query.set(true);
        OpenQueryGuard(self)
    }

    pub(super) fn has_open_query(&self) -> bool {
        self.has_open_query.get()
    }

    /// Returns a message that the client ignores while it waits for the answer to the current
    /// request, or `None` if it ignores none. It is empty while writes are blocked: a client that
    /// has gone answers with a reset to what is being written.
    pub(super) fn ignored_message(&self) -> Option<&'static [u8]> {
        let message: &[u8] = match self.blocked_since.get() {
            None => INTERIM_RESPONSE,
            Some(_) => &[],
        };
        self.takes_interim_responses.get().then_some(message)
    }

    /// Returns whether the client of the current request may still wait for its answer.
    pub(super) async fn is_client_waiting(&self) -> bool {
        net::is_waiting(&self.stream, self.ignored_message()).await
    }

    /// Records the time, in microseconds since the Unix epoch, until which the client can fetch
    /// further pages, which only this process has.
    pub(super) fn set_sticky_until(&self, until: Micros) {
        self.slot.set_sticky_until(until);
    }

    /// Returns the time until which the client depends on this process. It is 0 or in the past if
    /// the client does not depend on it now.
    pub(super) fn sticky_until(&self) -> Micros {
        self.slot.sticky_until()
    }

    /// Returns the time at which the current phase times out; `None` if it has no timeout.
    pub(super) fn deadline(&self, timeouts: &PhaseTimeouts) -> Option<PhaseDeadline> {
        let since = self.since.get();
        let (since, timeout, end) = match (self.phase(), self.blocked_since.get()) {
            (Phase::Idle, _) => (since, timeouts.idle, ConnectionEnd::Idle),
            (Phase::Head, _) => (since, timeouts.head, ConnectionEnd::HeadTimeout),
            (_, Some(blocked)) => (blocked, timeouts.write, ConnectionEnd::Stalled),
            (Phase::Body | Phase::Request | Phase::Answer, None) => return None,
        };
        let at = since + micros(timeout);
        Some(PhaseDeadline { at, end })
    }

    fn record_write<T>(&self, written: &Poll<io::Result<T>>) {
        self.blocked_since.set(match written {
            Poll::Pending => {
                let since = self.blocked_since.get();
                Some(since.unwrap_or_else(|| self.clock.now()))
            }
            Poll::Ready(_) => None,
        });
        self.slot.set_answer_blocked(self.blocked_since.get());
    }
}

/// Marks a query as open until it is dropped.
pub(super) struct OpenQueryGuard<'a>(&'a ConnectionWatch);

impl Drop for OpenQueryGuard<'_> {
    fn drop(&mut self) {
        self.0.has_open_query.set(false);
    }
}

/// The stream through which the HTTP server reads and writes. It updates the connection's
/// [`ConnectionWatch`].
pub(super) struct WatchedStream {
    stream: Rc<Async<TcpStream>>,
    watch: Rc<ConnectionWatch>,
    /// Whether the last read emptied the socket's receive buffer. The next read then waits until
    /// the kernel reports more data. This saves system calls that return nothing, because the
    /// server reads several times per request.
    is_emptied: bool,
}

impl WatchedStream {
    /// Wraps a stream whose activity is recorded in `watch`.
    pub(super) fn new(stream: Rc<Async<TcpStream>>, watch: Rc<ConnectionWatch>) -> Self {
        WatchedStream {
            stream,
            watch,
            is_emptied: false,
        }
    }
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        loop {
            if self.is_emptied {
                ready!(self.stream.poll_readable(context))?;
                self.is_emptied = false;
            }
            match self.stream.get_ref().read(buffer) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => self.is_emptied = true,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                read => {
                    let size = *read.as_ref().unwrap_or(&0);
                    self.is_emptied = size > 0 && size < buffer.len();
                    if size > 0 && matches!(self.watch.phase(), Phase::Idle | Phase::Answer) {
                        self.watch.set_phase(Phase::Head);
                    }
                    return Poll::Ready(read);
                }
            }
        }
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut &*self.stream).poll_write(context, buffer);
        self.watch.record_write(&written);
        written
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut &*self.stream).poll_write_vectored(context, buffers);
        self.watch.record_write(&written);
        written
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // There is no buffer to flush. The server calls this after it has written an answer
        // completely.
        if self.watch.phase() == Phase::Answer {
            self.watch.set_phase(Phase::Idle);
        }
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &*self.stream).poll_close(context)
    }
}
