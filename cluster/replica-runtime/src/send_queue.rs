//! What waits to be written on one connection, bounded in bytes.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::poll_fn;
use std::io::Write;
use std::net::TcpStream;
use std::rc::Rc;
use std::task::{Poll, Waker};
use std::time::Duration;

use async_io::Async;
use futures_lite::FutureExt;

use crate::connection::late;

/// A frame; one that goes to many connections is held once.
pub(crate) type SharedFrame = Rc<Vec<u8>>;

/// The queue of one connection.
pub(crate) struct SendQueue {
    limit: usize,
    /// How long the other side may take nothing.
    patience: Duration,
    frames: RefCell<VecDeque<SharedFrame>>,
    bytes: Cell<usize>,
    /// The connection ends for this reason once all is written.
    last: Cell<Option<&'static str>>,
    waker: RefCell<Option<Waker>>,
}

impl SendQueue {
    /// An empty queue that takes no more than `limit` bytes, and ends where the other side takes nothing for so long.
    pub(crate) fn new(limit: usize, patience: Duration) -> Rc<Self> {
        Rc::new(SendQueue {
            limit,
            patience,
            frames: RefCell::default(),
            bytes: Cell::new(0),
            last: Cell::new(None),
            waker: RefCell::default(),
        })
    }

    /// Appends a frame. False: the queue is full, or ends, and nothing was appended.
    pub(crate) fn push(&self, frame: SharedFrame) -> bool {
        let bytes = self.bytes.get() + frame.len();
        if bytes > self.limit || self.last.get().is_some() {
            return false;
        }
        self.bytes.set(bytes);
        self.frames.borrow_mut().push_back(frame);
        self.wake();
        true
    }

    /// Ends the connection for this reason once what waits is written.
    pub(crate) fn finish(&self, reason: &'static str) {
        if self.last.get().is_none() {
            self.last.set(Some(reason));
            self.wake();
        }
    }

    /// Ends the connection for this reason at once; what waits is dropped.
    pub(crate) fn abort(&self, reason: &'static str) {
        self.frames.borrow_mut().clear();
        self.bytes.set(0);
        self.finish(reason);
    }

    /// The connection is about to end, for a reason of this side.
    pub(crate) fn is_ending(&self) -> bool {
        self.last.get().is_some()
    }

    fn wake(&self) {
        self.waker
            .borrow_mut()
            .take()
            .into_iter()
            .for_each(Waker::wake);
    }

    /// Writes what comes until the queue ends or the connection breaks; the reason. `written` is called with the bytes
    /// that still wait each time some were written.
    pub(crate) async fn write_to(
        &self,
        stream: &Async<TcpStream>,
        mut written: impl FnMut(usize),
    ) -> &'static str {
        loop {
            let Some(frame) = self.next().await else {
                return self.last.get().unwrap_or("closed");
            };
            let mut rest = frame.as_slice();
            while !rest.is_empty() {
                let some = async {
                    stream
                        .write_with(|mut s| s.write(rest))
                        .await
                        .map_err(|_| "reset")
                };
                let n = match some.or(late("stalled", self.patience)).await {
                    Ok(n) => n,
                    Err(reason) => return reason,
                };
                rest = rest.get(n..).unwrap_or_default();
                self.bytes.set(self.bytes.get().saturating_sub(n));
                written(self.bytes.get());
            }
        }
    }

    async fn next(&self) -> Option<SharedFrame> {
        poll_fn(|cx| {
            if let Some(frame) = self.frames.borrow_mut().pop_front() {
                return Poll::Ready(Some(frame));
            }
            if self.last.get().is_some() {
                return Poll::Ready(None);
            }
            *self.waker.borrow_mut() = Some(cx.waker().clone());
            Poll::Pending
        })
        .await
    }
}
