//! One connection of the REST front as its limits see it: what it is at, since when, and whether it takes what is
//! written. The HTTP server reads and writes through it and knows nothing of it.

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

use crate::clock::Clock;
use crate::connection_limit::{ConnectionSlot, ConnectionState};

/// What a connection is at.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum At {
    /// It may ask, and does not.
    Idle,
    /// Some of a request's head is here.
    Head,
    /// A request is being read, or waits for its answer.
    Request,
    /// An answer is being written.
    Answer,
}

/// How long it may be at each.
#[derive(Debug, Clone, Copy)]
pub struct Patience {
    /// With nothing asked.
    pub idle: Duration,
    /// With half a head.
    pub head: Duration,
    /// Without taking a byte of its answer.
    pub write: Duration,
}

/// What is known of a connection.
pub struct Line {
    clock: Clock,
    guest: Rc<ConnectionSlot>,
    at: Cell<(At, Micros)>,
    /// Since when it has taken nothing, though there is more to write.
    blocked: Cell<Option<Micros>>,
    /// Requests answered so far.
    pub answered: Cell<u64>,
    /// A request was turned away before its body was read: what still comes has to be read over.
    pub unread: Cell<bool>,
}

impl Line {
    /// A connection that has just come up.
    #[must_use]
    pub fn new(clock: Clock, guest: Rc<ConnectionSlot>) -> Rc<Self> {
        let at = Cell::new((At::Idle, clock.now()));
        let (blocked, answered, unread) = (Cell::new(None), Cell::new(0), Cell::new(false));
        Rc::new(Line {
            clock,
            guest,
            at,
            blocked,
            answered,
            unread,
        })
    }

    /// What it is at.
    #[must_use]
    pub fn at(&self) -> At {
        self.at.get().0
    }

    /// Notes what it is at from now on.
    pub fn is(&self, at: At) {
        if self.at() == at {
            return;
        }
        let now = self.clock.now();
        self.at.set((at, now));
        self.guest.is(
            match at {
                At::Idle => ConnectionState::Idle,
                At::Head => ConnectionState::AwaitingMessage,
                At::Request | At::Answer => ConnectionState::Busy,
            },
            now,
        );
    }

    /// Its client has been promised further pages until a moment, and had better find this process again.
    pub fn owes(&self, until: Micros) {
        self.guest.owes(until);
    }

    /// Until when it is owed that.
    #[must_use]
    pub fn promised(&self) -> Micros {
        self.guest.owed()
    }

    /// When its patience ends as things are now, and the reason why.
    #[must_use]
    pub fn due(&self, patience: &Patience) -> Option<(Micros, &'static str)> {
        let (at, since) = self.at.get();
        let after = |since: Micros, span: Duration| since + span.as_micros() as Micros;
        match (at, self.blocked.get()) {
            (At::Idle, _) => Some((after(since, patience.idle), "idle")),
            (At::Head, _) => Some((after(since, patience.head), "head_timeout")),
            (_, Some(since)) => Some((after(since, patience.write), "stalled")),
            (At::Request | At::Answer, None) => None,
        }
    }
}

/// A connection's bytes, with notes of what passes.
pub struct Watched {
    stream: Rc<Async<TcpStream>>,
    line: Rc<Line>,
    /// The last read took all that was there. The server looks for more several times a request, and each look
    /// would be a call to the machine that brings nothing: it waits until the machine tells of more.
    dry: bool,
}

impl Watched {
    /// Watches a connection.
    #[must_use]
    pub fn new(stream: Rc<Async<TcpStream>>, line: Rc<Line>) -> Self {
        Watched {
            stream,
            line,
            dry: false,
        }
    }
}

impl AsyncRead for Watched {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        loop {
            if self.dry {
                ready!(self.stream.poll_readable(cx))?;
                self.dry = false;
            }
            match self.stream.get_ref().read(buf) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => self.dry = true,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                read => {
                    let n = *read.as_ref().unwrap_or(&0);
                    self.dry = n > 0 && n < buf.len();
                    if n > 0 && matches!(self.line.at(), At::Idle | At::Answer) {
                        self.line.is(At::Head);
                    }
                    return Poll::Ready(read);
                }
            }
        }
    }
}

impl Watched {
    fn wrote<T>(&self, done: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        let line = &self.line;
        line.blocked.set(match done {
            Poll::Pending => Some(line.blocked.get().unwrap_or_else(|| line.clock.now())),
            Poll::Ready(_) => None,
        });
        done
    }
}

impl AsyncWrite for Watched {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let done = Pin::new(&mut &*self.stream).poll_write(cx, buf);
        self.wrote(done)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let done = Pin::new(&mut &*self.stream).poll_write_vectored(cx, bufs);
        self.wrote(done)
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // A socket holds nothing back. The server flushes once an answer has left it whole.
        if self.line.at() == At::Answer {
            self.line.is(At::Idle);
        }
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &*self.stream).poll_close(cx)
    }
}
