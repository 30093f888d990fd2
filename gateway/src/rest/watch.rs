//! What a REST connection does, since when, and whether its client takes what is written: what its
//! timeouts need. The HTTP server reads and writes through a [`WatchedStream`] and knows nothing of
//! it.

use std::cell::Cell;
use std::io::{self, Read};
use std::net::TcpStream;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use async_io::Async;
use futures_lite::{ready, AsyncRead, AsyncWrite};
use violetgate_policy::interface::Micros;

use super::connection_end::ConnectionEnd;
use crate::clock::{micros, Clock};
use crate::connection_limit::{ConnectionSlot, ConnectionState};

/// What a connection does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// It may send a request, and does not.
    Idle,
    /// Some of a request's head is here.
    Head,
    /// A request is being read, or waits for its answer.
    Request,
    /// An answer is being written.
    Answer,
}

/// How long a phase may last.
#[derive(Debug, Clone, Copy)]
pub(super) struct PhaseTimeouts {
    /// Without a request.
    pub idle: Duration,
    /// With an incomplete head.
    pub head: Duration,
    /// Without taking a byte of its answer.
    pub write: Duration,
}

/// When a phase times out.
#[derive(Debug, Clone, Copy)]
pub(super) struct PhaseDeadline {
    /// The moment, in microseconds since the Unix epoch.
    pub at: Micros,
    /// Why the connection ends then.
    pub end: ConnectionEnd,
}

/// What is known of a connection.
pub(super) struct ConnectionWatch {
    clock: Clock,
    slot: Rc<ConnectionSlot>,
    phase: Cell<Phase>,
    /// Since when it is in this phase.
    since: Cell<Micros>,
    /// Since when it has taken nothing, though there is more to write.
    blocked_since: Cell<Option<Micros>>,
    /// Requests answered so far.
    pub answered: Cell<u64>,
    /// A request was answered before its body was read: what still arrives has to be read over.
    pub has_unread_input: Cell<bool>,
}

impl ConnectionWatch {
    /// A connection that has just come up.
    pub(super) fn new(clock: Clock, slot: Rc<ConnectionSlot>) -> Rc<Self> {
        Rc::new(ConnectionWatch {
            clock,
            slot,
            phase: Cell::new(Phase::Idle),
            since: Cell::new(clock.now()),
            blocked_since: Cell::new(None),
            answered: Cell::new(0),
            has_unread_input: Cell::new(false),
        })
    }

    pub(super) fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// Records what the connection does from now on.
    pub(super) fn set_phase(&self, phase: Phase) {
        if self.phase() == phase {
            return;
        }
        let now = self.clock.now();
        self.phase.set(phase);
        self.since.set(now);
        let state = match phase {
            Phase::Idle => ConnectionState::Idle,
            Phase::Head => ConnectionState::AwaitingMessage,
            Phase::Request | Phase::Answer => ConnectionState::Busy,
        };
        self.slot.set_state(state, now);
    }

    /// Its client was promised further pages until then, and needs this very process.
    pub(super) fn set_sticky_until(&self, until: Micros) {
        self.slot.set_sticky_until(until);
    }

    /// Until when its client needs this very process.
    pub(super) fn sticky_until(&self) -> Micros {
        self.slot.sticky_until()
    }

    /// When the connection times out as things are now.
    pub(super) fn deadline(&self, timeouts: &PhaseTimeouts) -> Option<PhaseDeadline> {
        let since = self.since.get();
        let (since, timeout, end) = match (self.phase(), self.blocked_since.get()) {
            (Phase::Idle, _) => (since, timeouts.idle, ConnectionEnd::Idle),
            (Phase::Head, _) => (since, timeouts.head, ConnectionEnd::HeadTimeout),
            (_, Some(blocked)) => (blocked, timeouts.write, ConnectionEnd::Stalled),
            (Phase::Request | Phase::Answer, None) => return None,
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
    }
}

/// A connection's bytes, as the HTTP server reads and writes them.
pub(super) struct WatchedStream {
    stream: Rc<Async<TcpStream>>,
    watch: Rc<ConnectionWatch>,
    /// The last read took all that was there. The server reads several times a request, and each
    /// read would be a system call that brings nothing: it waits until the kernel reports more.
    is_drained: bool,
}

impl WatchedStream {
    /// Watches a connection.
    pub(super) fn new(stream: Rc<Async<TcpStream>>, watch: Rc<ConnectionWatch>) -> Self {
        WatchedStream {
            stream,
            watch,
            is_drained: false,
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
            if self.is_drained {
                ready!(self.stream.poll_readable(context))?;
                self.is_drained = false;
            }
            match self.stream.get_ref().read(buffer) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => self.is_drained = true,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                read => {
                    let size = *read.as_ref().unwrap_or(&0);
                    self.is_drained = size > 0 && size < buffer.len();
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
        // A socket buffers nothing here. The server flushes once an answer has been written
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
