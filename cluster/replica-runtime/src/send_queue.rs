//! The frames queued for one connection, bounded in bytes.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::poll_fn;
use std::net::TcpStream;
use std::rc::Rc;
use std::task::{Poll, Waker};
use std::time::Duration;

use async_io::Async;

use crate::close_reason::CloseReason;
use crate::framing::write_some;

/// A frame; one that goes to many connections is held once.
pub(crate) type SharedFrame = Rc<Vec<u8>>;

/// The queue of one connection, which ends with it. Its bytes count until they are written, as an
/// observer judges by them whether a subscriber reads.
///
/// The queue between replicas is another, `PeerQueue`: it outlives its connections.
pub(crate) struct SendQueue {
    max_bytes: usize,
    /// How long the other side may read nothing.
    stall_timeout: Duration,
    frames: RefCell<VecDeque<SharedFrame>>,
    bytes: Cell<usize>,
    /// Set once the connection is to end: after what is queued was written.
    end: Cell<Option<CloseReason>>,
    waker: RefCell<Option<Waker>>,
}

impl SendQueue {
    /// An empty queue of at most `max_bytes`.
    pub(crate) fn new(max_bytes: usize, stall_timeout: Duration) -> Rc<Self> {
        Rc::new(SendQueue {
            max_bytes,
            stall_timeout,
            frames: RefCell::default(),
            bytes: Cell::new(0),
            end: Cell::new(None),
            waker: RefCell::default(),
        })
    }

    /// Appends a frame, unless the queue is full or ends.
    #[must_use]
    pub(crate) fn push(&self, frame: SharedFrame) -> bool {
        let bytes = self.bytes.get() + frame.len();
        if bytes > self.max_bytes || self.is_ending() {
            return false;
        }
        self.bytes.set(bytes);
        self.frames.borrow_mut().push_back(frame);
        self.wake();
        true
    }

    /// Ends the connection once what is queued was written.
    pub(crate) fn finish(&self, reason: CloseReason) {
        if !self.is_ending() {
            self.end.set(Some(reason));
            self.wake();
        }
    }

    /// Ends the connection at once; what is queued is dropped.
    pub(crate) fn abort(&self, reason: CloseReason) {
        self.frames.borrow_mut().clear();
        self.bytes.set(0);
        self.finish(reason);
    }

    /// Whether this side is about to end the connection.
    pub(crate) fn is_ending(&self) -> bool {
        self.end.get().is_some()
    }

    fn wake(&self) {
        if let Some(waker) = self.waker.borrow_mut().take() {
            waker.wake();
        }
    }

    /// Writes what is queued until the queue ends or the connection fails. `on_written` is called
    /// after each write, with the number of bytes that are still queued.
    pub(crate) async fn write_to(
        &self,
        stream: &Async<TcpStream>,
        mut on_written: impl FnMut(usize),
    ) -> CloseReason {
        loop {
            let frame = match self.next().await {
                Ok(frame) => frame,
                Err(reason) => return reason,
            };
            let mut rest = frame.as_slice();
            while !rest.is_empty() {
                let written = match write_some(stream, rest, self.stall_timeout).await {
                    Ok(written) => written,
                    Err(reason) => return reason,
                };
                rest = rest.get(written..).unwrap_or_default();
                let queued = self.bytes.get().saturating_sub(written);
                self.bytes.set(queued);
                on_written(queued);
            }
        }
    }

    /// The next frame, or why there will be none.
    async fn next(&self) -> Result<SharedFrame, CloseReason> {
        poll_fn(|context| {
            if let Some(frame) = self.frames.borrow_mut().pop_front() {
                return Poll::Ready(Ok(frame));
            }
            if let Some(reason) = self.end.get() {
                return Poll::Ready(Err(reason));
            }
            *self.waker.borrow_mut() = Some(context.waker().clone());
            Poll::Pending
        })
        .await
    }
}
