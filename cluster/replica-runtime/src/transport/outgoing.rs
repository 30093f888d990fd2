//! Maintains the connection to one other replica. It is used for sending only, and made again
//! whenever it ends.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::poll_fn;
use std::io::Read;
use std::net::{SocketAddr, TcpStream};
use std::rc::{Rc, Weak};
use std::task::{Poll, Waker};
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::FutureExt;
use violetgate_memory_budget::{BudgetExhausted, Charge, MemoryBudget, Purpose};
use violetgate_raft::NodeId;

use super::{PeerConnectionEnd, Transport};
use crate::close_reason::CloseReason;
use crate::framing::{connect, write_all, FrameReader};
use crate::wire::{self, Hello, Welcome};

/// The delay before the next attempt. It doubles with each failed attempt, up to [`MAX_BACKOFF`].
const INITIAL_BACKOFF: Duration = Duration::from_millis(20);
const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// The maximum number of bytes queued for one replica.
const MAX_QUEUED_BYTES: usize = 32 << 20;
/// The number of bytes of a queue that are not charged to the memory budget.
const UNCHARGED_BYTES: usize = 16 << 10;

/// The queue of frames for one replica.
///
/// Unlike a [`SendQueue`](crate::send_queue::SendQueue), it outlives its connections: it never
/// ends, is emptied between two connections, and counts a frame only until its write begins.
pub(super) struct PeerQueue {
    frames: RefCell<VecDeque<Vec<u8>>>,
    bytes: Cell<usize>,
    /// The memory of the frames. A small queue is not charged, so that heartbeats and votes are
    /// sent while memory is short.
    memory: Charge,
    waker: RefCell<Option<Waker>>,
}

impl PeerQueue {
    pub fn new(memory: &MemoryBudget) -> Self {
        PeerQueue {
            frames: RefCell::default(),
            bytes: Cell::new(0),
            memory: memory.empty_charge(Purpose::Control),
            waker: RefCell::default(),
        }
    }

    /// Appends a frame. Returns false, and drops the frame, if the queue or the memory budget is
    /// full.
    pub fn push(&self, frame: Vec<u8>) -> bool {
        let bytes = self.bytes.get() + frame.len();
        if bytes > MAX_QUEUED_BYTES || self.charge(bytes).is_err() {
            return false;
        }
        self.bytes.set(bytes);
        self.frames.borrow_mut().push_back(frame);
        if let Some(waker) = self.waker.borrow_mut().take() {
            waker.wake();
        }
        true
    }

    fn charge(&self, bytes: usize) -> Result<(), BudgetExhausted> {
        self.memory.resize(bytes.saturating_sub(UNCHARGED_BYTES))
    }

    fn clear(&self) {
        self.frames.borrow_mut().clear();
        self.set_smaller_size(0);
    }

    fn set_smaller_size(&self, bytes: usize) {
        self.bytes.set(bytes);
        // A smaller charge always fits.
        let _ = self.charge(bytes);
    }

    async fn next(&self) -> Vec<u8> {
        poll_fn(|context| {
            let Some(frame) = self.frames.borrow_mut().pop_front() else {
                *self.waker.borrow_mut() = Some(context.waker().clone());
                return Poll::Pending;
            };
            self.set_smaller_size(self.bytes.get() - frame.len());
            Poll::Ready(frame)
        })
        .await
    }
}

/// Whether the other replica accepted the hello of the last attempt.
#[derive(Clone, Copy, PartialEq, Eq)]
enum HelloStatus {
    NotAccepted,
    Accepted,
}

/// Maintains a connection to a replica until the transport is dropped, and writes the queued frames
/// to it.
pub(super) async fn keep_connected(
    transport: Weak<Transport>,
    id: NodeId,
    address: SocketAddr,
    queue: Rc<PeerQueue>,
) {
    let mut backoff = INITIAL_BACKOFF;
    let mut last_end = None;
    loop {
        let Some(hello) = transport.upgrade().map(|transport| transport.hello(id)) else {
            return;
        };
        let mut hello_status = HelloStatus::NotAccepted;
        let end = match send_all(&transport, &hello, address, &queue, &mut hello_status).await {
            Ok(never) => match never {},
            Err(end) => end,
        };
        let accepted = hello_status == HelloStatus::Accepted;
        // Consecutive attempts that fail for the same reason are logged once.
        if accepted || last_end.as_ref() != Some(&end) {
            tracing::info!("member {id} at {address} ended reason={end}");
        }
        last_end = Some(end);
        backoff = if accepted {
            INITIAL_BACKOFF
        } else {
            (backoff * 2).min(MAX_BACKOFF)
        };
        // Frames queued for this connection are outdated by the time the next one is made.
        queue.clear();
        Timer::after(backoff).await;
    }
}

/// Connects, and writes queued frames until the connection ends.
async fn send_all(
    transport: &Weak<Transport>,
    hello: &Hello,
    address: SocketAddr,
    queue: &PeerQueue,
    hello_status: &mut HelloStatus,
) -> Result<std::convert::Infallible, PeerConnectionEnd> {
    let stream = connect(address).await?;
    exchange_hellos(transport, hello, &stream).await?;
    *hello_status = HelloStatus::Accepted;
    loop {
        let next = async { Ok(queue.next().await) };
        let frame = next.or(closed_by_peer(&stream)).await?;
        write_all(&stream, &frame).await?;
    }
}

async fn exchange_hellos(
    transport: &Weak<Transport>,
    hello: &Hello,
    stream: &Async<TcpStream>,
) -> Result<(), PeerConnectionEnd> {
    write_all(stream, &wire::encode_frame(hello)?).await?;
    let welcome: Welcome = FrameReader::default().read_hello(stream).await?;
    if let Some(reason) = welcome.rejected {
        return Err(PeerConnectionEnd::Rejected(reason));
    }
    let transport = transport.upgrade();
    if transport.is_some_and(|transport| transport.is_other_disk(hello.to, welcome.disk_id)) {
        return Err(PeerConnectionEnd::OtherDisk(hello.to));
    }
    Ok(())
}

/// Waits until the other replica closes the connection. It sends nothing after its answer to the
/// hello, so any completed read counts as the end of the connection.
async fn closed_by_peer(stream: &Async<TcpStream>) -> Result<Vec<u8>, CloseReason> {
    let mut byte = [0];
    let _ = stream.read_with(|mut stream| stream.read(&mut byte)).await;
    Err(CloseReason::Closed)
}
