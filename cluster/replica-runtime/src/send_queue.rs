//! A queue of frames for one connection, bounded in bytes.

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

/// A frame that several connections' queues may share.
pub(crate) type SharedFrame = Rc<Vec<u8>>;

/// The send queue of one connection, which ends with that connection. Bytes count as queued until
/// they are written, as an observer uses their number to tell whether a subscriber still reads.
///
/// Replicas use another queue between them, `PeerQueue`, which outlives its connections.
pub(crate) struct SendQueue {
    max_bytes: usize,
    /// The time for which the other side may read nothing before the connection is closed.
    stall_timeout: Duration,
    frames: RefCell<VecDeque<SharedFrame>>,
    bytes: Cell<usize>,
    /// The reason to end the connection once the queued frames are written, if it is ending.
    end: Cell<Option<CloseReason>>,
    waker: RefCell<Option<Waker>>,
}

impl SendQueue {
    /// Creates an empty queue of at most `max_bytes`.
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

    /// Appends a frame. Returns `false` and drops the frame if it does not fit or the queue is
    /// ending.
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

    /// Ends the connection once the queued frames are written.
    pub(crate) fn finish(&self, reason: CloseReason) {
        if !self.is_ending() {
            self.end.set(Some(reason));
            self.wake();
        }
    }

    /// Drops the queued frames and ends the connection.
    pub(crate) fn abort(&self, reason: CloseReason) {
        self.frames.borrow_mut().clear();
        self.bytes.set(0);
        self.finish(reason);
    }

    /// Whether this side is ending the connection.
    pub(crate) fn is_ending(&self) -> bool {
        self.end.get().is_some()
    }

    fn wake(&self) {
        if let Some(waker) = self.waker.borrow_mut().take() {
            waker.wake();
        }
    }

    /// Writes queued frames until the connection ends or fails, and returns the reason.
    /// `on_written` is called after each write with the number of bytes that are still queued.
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

    /// Waits for the next frame. Fails with the reason for the end if the queue ends.
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
