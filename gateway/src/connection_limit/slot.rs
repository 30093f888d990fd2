//! The state of one connection that counts towards a limit, and the memory of its input.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::rc::{Rc, Weak};
use std::task::{Poll, Waker};

use violetgate_memory_budget::{
    HolderRegistration, MemoryBudget, ReclaimPriority, ReclaimRank, Reclaimable,
};
use violetgate_policy::interface::Micros;

use super::input_buffer::InputBuffer;

/// How long a connection may take to send a complete message after it was accepted, or after a
/// message began. After that time it is unresponsive and evicted first. Before, it is evicted last,
/// because its client is about to send and it must not be evicted for the next new connection.
pub(super) const FIRST_MESSAGE_GRACE_US: Micros = 250_000;
/// After the client has taken no byte of its answer for this long, its connection may be evicted.
const UNREAD_ANSWER_GRACE_US: Micros = 1_000_000;
/// The reason for which a connection ends whose memory was reclaimed.
pub const MEMORY_LIMIT: &str = "memory_limit";

/// The activity of a connection, which decides whether it may be evicted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionState {
    /// The start-up packet or the rest of a message has not arrived yet.
    AwaitingMessage,
    /// The client may send a request and has not begun one.
    Idle,
    /// The connection has an open request.
    Busy,
}

/// The order of eviction: connections of the smallest rank are evicted first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum EvictionRank {
    /// No complete message has arrived for [`FIRST_MESSAGE_GRACE_US`] or longer.
    Unresponsive,
    Idle,
    /// The client takes no byte of its answer.
    AnswerUnread,
    /// The connection was just accepted, or a message has just begun.
    New,
}

/// The state of one connection that counts towards the limit.
pub struct ConnectionSlot {
    id: u64,
    /// The input that is read and not handled yet.
    pub input: InputBuffer,
    /// Whether the client has sent a complete and valid request.
    has_sent_request: Cell<bool>,
    /// Since when the client takes no byte of its answer; `None` while it does, or there is none.
    answer_blocked_since: Cell<Option<Micros>>,
    state: Cell<ConnectionState>,
    /// When the connection entered its current state.
    since: Cell<Micros>,
    /// Until when the client may need this process and no other instance, for example to fetch the
    /// remaining pages of a result that only this process stores.
    sticky_until: Cell<Micros>,
    pub(super) close_reason: Cell<Option<&'static str>>,
    waker: RefCell<Option<Waker>>,
    /// Removes the slot from the memory budget's holders when it is dropped.
    _registration: HolderRegistration,
}

impl ConnectionSlot {
    pub(super) fn new(id: u64, now: Micros, memory: &MemoryBudget) -> Rc<Self> {
        Rc::new_cyclic(|this: &Weak<ConnectionSlot>| ConnectionSlot {
            id,
            input: InputBuffer::new(memory),
            has_sent_request: Cell::new(false),
            answer_blocked_since: Cell::new(None),
            _registration: memory.register(Weak::<ConnectionSlot>::clone(this)),
            state: Cell::new(ConnectionState::AwaitingMessage),
            since: Cell::new(now),
            sticky_until: Cell::new(0),
            close_reason: Cell::new(None),
            waker: RefCell::default(),
        })
    }

    pub(super) fn id(&self) -> u64 {
        self.id
    }

    /// Returns when the connection entered its current state.
    pub(super) fn since(&self) -> Micros {
        self.since.get()
    }

    /// Records a state change at `now`. Setting the current state again keeps its start time.
    pub fn set_state(&self, state: ConnectionState, now: Micros) {
        if self.state.get() != state {
            self.state.set(state);
            self.since.set(now);
        }
    }

    /// Marks the connection as sticky: its client may need this process, and no other instance,
    /// until this time. The connection is not closed as idle before then.
    pub fn set_sticky_until(&self, until: Micros) {
        self.sticky_until.set(until);
    }

    /// Returns the time until which the client may need this process; 0 if it was never sticky.
    pub fn sticky_until(&self) -> Micros {
        self.sticky_until.get()
    }

    /// Whether the connection's state is [`ConnectionState::Idle`].
    pub fn is_idle(&self) -> bool {
        self.state.get() == ConnectionState::Idle
    }

    /// Waits until a close of the connection is requested, and returns the reason.
    pub async fn close_requested(&self) -> &'static str {
        poll_fn(|context| {
            if let Some(reason) = self.close_reason.get() {
                return Poll::Ready(reason);
            }
            *self.waker.borrow_mut() = Some(context.waker().clone());
            Poll::Pending
        })
        .await
    }

    /// Whether the connection has to end at once, because its memory was reclaimed.
    pub fn is_reclaimed(&self) -> bool {
        self.close_reason.get() == Some(MEMORY_LIMIT)
    }

    /// Records that the client has sent a complete and valid request.
    pub fn record_request(&self) {
        self.has_sent_request.set(true);
    }

    /// Records whether the client takes its answer. If not, `since` is when it stopped to.
    pub fn set_answer_blocked(&self, since: Option<Micros>) {
        self.answer_blocked_since.set(since);
    }

    /// Waits until the connection has to end because its memory was reclaimed.
    pub async fn memory_reclaimed(&self) {
        poll_fn(|context| {
            if self.is_reclaimed() {
                return Poll::Ready(());
            }
            *self.waker.borrow_mut() = Some(context.waker().clone());
            Poll::Pending
        })
        .await;
    }

    /// Requests a close of the connection. Requests that have already arrived are still read and
    /// answered.
    pub(super) fn request_close(&self, reason: &'static str) {
        self.close_reason.set(Some(reason));
        let waker = self.waker.borrow_mut().take();
        waker.into_iter().for_each(Waker::wake);
    }

    pub(super) fn eviction_rank(&self, now: Micros) -> Option<EvictionRank> {
        let is_new = now < self.since.get() + FIRST_MESSAGE_GRACE_US;
        let is_unread = |blocked_since| now >= blocked_since + UNREAD_ANSWER_GRACE_US;
        match self.state.get() {
            ConnectionState::AwaitingMessage if is_new => Some(EvictionRank::New),
            ConnectionState::AwaitingMessage => Some(EvictionRank::Unresponsive),
            ConnectionState::Idle => Some(EvictionRank::Idle),
            ConnectionState::Busy => {
                let blocked_since = self.answer_blocked_since.get();
                let is_unread = blocked_since.is_some_and(is_unread);
                is_unread.then_some(EvictionRank::AnswerUnread)
            }
        }
    }
}

impl Reclaimable for ConnectionSlot {
    fn reclaim_priority(&self) -> Option<ReclaimPriority> {
        if self.is_reclaimed() {
            return None;
        }
        match (self.state.get(), self.answer_blocked_since.get()) {
            (ConnectionState::Busy, Some(since)) => {
                ReclaimPriority::new(ReclaimRank::AnswerUnread, usize::MAX, since)
            }
            (ConnectionState::Busy, None) => None,
            (ConnectionState::AwaitingMessage | ConnectionState::Idle, _) => {
                let rank = if self.has_sent_request.get() {
                    ReclaimRank::LaterRequestIncomplete
                } else {
                    ReclaimRank::FirstRequestIncomplete
                };
                ReclaimPriority::new(rank, self.input.charged_bytes(), self.since.get())
            }
        }
    }

    fn reclaim(&self) {
        self.input.reclaim();
        self.request_close(MEMORY_LIMIT);
    }
}
