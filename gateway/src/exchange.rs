//! The exchange: the one place where the client side and the engine side meet.
//!
//! A client protocol turns what it read into a [`Request`], opens an [`Exchange`] for it through
//! [`RequestSink`] and waits for the [`Answer`]. An engine protocol carries out an [`Attempt`] at an exchange
//! and tells of its end through [`AttemptEvents`]. Neither knows the other; nothing here knows a protocol.

use std::cell::RefCell;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::{Poll, Waker};

use std::net::SocketAddr;
use violetgate_policy::interface::{
    Cost, Engine, EngineId, ListScope, Micros, NewQuery, Outcome, Progress, QueryId,
};

/// One client's request: what the decisions need, and the bytes that pass on as they came.
#[derive(Debug, Clone)]
pub struct Request {
    /// What the decisions need; its `client_timeout` counts from `received`.
    pub query: NewQuery,
    /// When its last byte was read.
    pub received: Micros,
    /// The id in the client's own spelling.
    pub rid: Box<str>,
    /// The class's name.
    pub class: Box<str>,
    /// The idempotency key, where the class has one.
    pub token: Option<Box<str>>,
    /// The statement, without the comment that held the fields.
    pub statement: Box<[u8]>,
}

/// The part of a client's time that is kept for the way of the request and of its answer, and for the whole
/// milliseconds in which a budget is told: an answer made at the very end of the time reaches nobody, as the
/// client has given up by then and the request counts as lost. A short budget gives a quarter at most.
const TRANSIT: Micros = 25_000;

/// What a client may have waited, of the time that it names, before it wrote a request that carries a key: it writes
/// those of one key a quarter of a second apart where the earlier one came on a new connection.
const KEY_HELD: Micros = 250_000;

impl Request {
    /// The last moment at which an answer still reaches the client.
    #[must_use]
    pub fn deadline(&self) -> Micros {
        let left = self.query.client_timeout;
        let kept = TRANSIT
            + if self.query.ordering_key.is_some() {
                KEY_HELD
            } else {
                0
            };
        self.received.saturating_add(left - kept.min(left / 4))
    }
}

/// The pages of a whole result, as the engine sent them.
pub type Pages = Vec<Box<[u8]>>;

/// The most bytes of a result; the engine side lets no more pass. 48,000 are allowed.
pub const MAX_RESULT_BYTES: usize = 64 * 1024;

/// A whole result, and the attempt that made it.
#[derive(Debug)]
pub struct Served {
    /// Its pages.
    pub pages: Pages,
    /// The query that ran.
    pub query: QueryId,
    /// Which attempt of it, from 0.
    pub attempt: u32,
}

impl Served {
    /// Bytes of all its pages.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.pages.iter().map(|p| p.len()).sum()
    }
}

/// The one final answer to a request.
#[derive(Debug, Clone)]
pub enum Answer {
    /// All rows.
    Served(Rc<Served>),
    /// Turned away; another try does no harm.
    Refused {
        /// How long the client had better stay away.
        retry_after: Micros,
    },
    /// Turned away because this process ends; another try does no harm.
    ShuttingDown,
    /// Turned away because this instance can't confirm the state that it shares with others; another instance may
    /// serve it.
    StateUnconfirmed,
    /// Failed; it may have had its effect.
    Failed,
    /// Its idempotency key was used with another query; nothing ran.
    KeyConflict,
    /// An earlier query of its idempotency key may have had its effect, and a second one would not be discarded
    /// any more; nothing ran.
    OutcomeUnknown,
}

/// A request on its way to its one answer.
#[derive(Debug)]
pub struct Exchange {
    /// What was asked.
    pub request: Request,
    /// The engine connections that earlier attempts used. A later attempt avoids them, so that a second copy
    /// of an answer to a dead attempt can't pass for an answer to a live one with the same id.
    pub used_connections: RefCell<Vec<u64>>,
    state: RefCell<(Option<Answer>, Option<Waker>)>,
}

impl Exchange {
    /// Opens an exchange.
    #[must_use]
    pub fn new(request: Request) -> Rc<Self> {
        Rc::new(Exchange {
            request,
            used_connections: RefCell::default(),
            state: RefCell::default(),
        })
    }

    /// Gives the answer.
    pub fn complete(&self, answer: Answer) {
        let mut state = self.state.borrow_mut();
        state.0 = Some(answer);
        if let Some(waker) = state.1.take() {
            waker.wake();
        }
    }

    /// Waits for the answer.
    pub async fn answer(&self) -> Answer {
        poll_fn(|cx| {
            let mut state = self.state.borrow_mut();
            match state.0.take() {
                Some(answer) => Poll::Ready(answer),
                None => {
                    state.1 = Some(cx.waker().clone());
                    Poll::Pending
                }
            }
        })
        .await
    }
}

/// What a client protocol may ask of the core.
pub trait RequestSink {
    /// Takes a request in; its answer comes through the exchange. False: that id is open, or was just now.
    fn submit(&self, exchange: &Rc<Exchange>) -> bool;
    /// The client no longer waits.
    fn withdraw(&self, query: QueryId);
    /// The time on the one clock.
    fn now(&self) -> Micros;
}

/// One attempt at an engine.
#[derive(Debug)]
pub struct Attempt {
    /// Whose.
    pub exchange: Rc<Exchange>,
    /// Which, from 0.
    pub number: u32,
    /// Where.
    pub engine: EngineId,
    /// At what priority, if one was set.
    pub level: Option<u8>,
    /// Memory granted, in MB; 0 leaves it to the engine.
    pub grant_mb: u64,
    /// By when it may begin: later, nothing of it may be written any more.
    pub begin_by: Micros,
    /// By when it has to end.
    pub until: Micros,
}

/// The end of an attempt that the engine side saw.
#[derive(Debug)]
pub struct AttemptEnd {
    /// Whose.
    pub query: QueryId,
    /// Which.
    pub number: u32,
    /// How.
    pub outcome: Outcome,
    /// What it cost, if told.
    pub cost: Option<Cost>,
    /// The result, if `outcome` is `Completed`.
    pub pages: Pages,
}

/// Where the engine side tells how attempts ended.
pub trait AttemptEvents {
    /// An attempt ended by itself.
    fn ended(&self, end: AttemptEnd);
    /// News of an attempt that is still out: whose, which, what.
    fn noted(&self, query: QueryId, number: u32, news: Progress);
}

/// An engine of the list, and where it listens.
#[derive(Debug, Clone)]
pub struct ListedEngine {
    /// What the decisions need.
    pub engine: Engine,
    /// Where it listens.
    pub addr: SocketAddr,
}

/// What the core may ask of an engine protocol.
pub trait UpstreamEngines {
    /// Starts an attempt. Its end comes through `AttemptEvents`, unless it is cancelled first.
    fn send(&self, attempt: Attempt);
    /// Gives an attempt up; nothing more is told of it. False: the engine surely never saw it.
    fn cancel(&self, query: QueryId) -> bool;
    /// Takes an attempt back of which nothing was written yet; nothing more is told of it. False: it has begun.
    fn recall(&self, query: QueryId) -> bool;
    /// Sets the priority of an attempt that is out.
    fn weigh(&self, query: QueryId, level: u8);
    /// Nothing more to an engine; attempts not yet written to it end as never sent. Or it may be used again, and
    /// old connections may not.
    fn cordon(&self, engine: EngineId, out: bool);
    /// News of the list. Attempts not yet written to an engine that wants no more end as never sent.
    fn list(&self, scope: ListScope, engines: &[ListedEngine]);
}
