//! The exchange: the one place where the downstream (client) side and the upstream (engine) side
//! meet.
//!
//! A client protocol makes a [`Request`] of what it read, opens an [`Exchange`] for it, submits
//! that to a [`RequestSink`] and waits for the [`Answer`]. An engine protocol carries out an
//! [`Attempt`] at an exchange and reports its end to [`AttemptEvents`]. Neither knows the other;
//! nothing here knows a protocol.

use std::cell::RefCell;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::{Poll, Waker};

use thiserror::Error;
use violetgate_policy::interface::{
    Cost, Engine, EngineId, ListScope, Micros, NewQuery, Outcome, Progress, QueryId,
};

/// The part of a client's time that is reserved for the transit of the request and of its answer,
/// and for the rounding of a budget to milliseconds: an answer made at the very end of the time
/// arrives after its client has given up.
const TRANSIT_US: Micros = 25_000;

/// What a client may have waited, of the time that it states, before it wrote a request with an
/// ordering key: it writes those of one key a quarter of a second apart where the earlier one came
/// on a new connection.
const ORDERED_CLIENT_DELAY_US: Micros = 250_000;

/// Of a client's time, one part in so many is the most that the two allowances above may take: they
/// would eat up a short one.
const LARGEST_ALLOWANCE_DIVISOR: Micros = 4;

/// The most bytes of a result; the upstream side lets no more pass. Engines are allowed 48,000.
pub const MAX_RESULT_BYTES: usize = 64 * 1024;

/// One client's request: what the decisions need, and the bytes that are forwarded as they came.
#[derive(Debug, Clone)]
pub struct Request {
    /// What the decisions need; its `client_timeout` counts from `received`.
    pub query: NewQuery,
    /// When its last byte was read, in microseconds since the Unix epoch.
    pub received: Micros,
    /// The request id in the client's own spelling.
    pub id_text: Box<str>,
    /// The class's name.
    pub class: Box<str>,
    /// The idempotency key, where the class has one.
    pub idempotency_key: Option<Box<str>>,
    /// The statement, without the comment that held the fields.
    pub statement: Box<[u8]>,
}

impl Request {
    /// The last moment at which an answer still reaches the client, in microseconds since the Unix
    /// epoch.
    #[must_use]
    pub fn deadline(&self) -> Micros {
        let client_timeout = self.query.client_timeout;
        let client_delay = if self.query.ordering_key.is_some() {
            ORDERED_CLIENT_DELAY_US
        } else {
            0
        };
        let allowance = (TRANSIT_US + client_delay).min(client_timeout / LARGEST_ALLOWANCE_DIVISOR);
        self.received.saturating_add(client_timeout - allowance)
    }
}

/// The pages of a complete result, as the engine sent them.
pub type Pages = Vec<Box<[u8]>>;

/// A complete result, and the attempt that made it.
#[derive(Debug)]
pub struct QueryResult {
    /// Its pages.
    pub pages: Pages,
    /// The query that ran.
    pub query: QueryId,
    /// The number of the attempt, from 0.
    pub attempt: u32,
}

impl QueryResult {
    /// The size of all its pages in bytes.
    #[must_use]
    pub fn size_bytes(&self) -> usize {
        self.pages.iter().map(|page| page.len()).sum()
    }
}

/// The one final answer to a request.
#[derive(Debug, Clone)]
pub enum Answer {
    /// All rows.
    Served(Rc<QueryResult>),
    /// Rejected to shed load; a retry does no harm.
    Rejected {
        /// How long the client should wait before it retries, in microseconds.
        retry_after: Micros,
    },
    /// Rejected because this process ends; a retry does no harm.
    ShuttingDown,
    /// Rejected because this instance can't confirm the shared state; another instance
    /// may serve it.
    StateUnconfirmed,
    /// Failed; it may have had its effect.
    Failed,
    /// Its idempotency key was used with another query; nothing ran.
    KeyConflict,
    /// An earlier query of its idempotency key may have had its effect, and engines would no longer
    /// discard a second one; nothing ran.
    OutcomeUnknown,
}

/// The answer of an exchange, and who waits for it.
#[derive(Debug, Default)]
struct AnswerSlot {
    answer: Option<Answer>,
    waker: Option<Waker>,
}

/// A request on its way to its one answer.
#[derive(Debug)]
pub struct Exchange {
    /// The request.
    pub request: Request,
    /// The engine connections that earlier attempts used. A later attempt avoids them, so that a
    /// duplicated answer to a dead attempt can't pass for an answer to a live one with the same id.
    pub used_connections: RefCell<Vec<u64>>,
    slot: RefCell<AnswerSlot>,
}

impl Exchange {
    /// Opens an exchange.
    #[must_use]
    pub fn new(request: Request) -> Rc<Self> {
        Rc::new(Exchange {
            request,
            used_connections: RefCell::default(),
            slot: RefCell::default(),
        })
    }

    /// The id of the request.
    #[must_use]
    pub fn id(&self) -> QueryId {
        self.request.query.id
    }

    /// Gives the answer.
    pub fn complete(&self, answer: Answer) {
        let mut slot = self.slot.borrow_mut();
        slot.answer = Some(answer);
        if let Some(waker) = slot.waker.take() {
            waker.wake();
        }
    }

    /// Waits for the answer.
    pub async fn answer(&self) -> Answer {
        poll_fn(|context| {
            let mut slot = self.slot.borrow_mut();
            match slot.answer.take() {
                Some(answer) => Poll::Ready(answer),
                None => {
                    slot.waker = Some(context.waker().clone());
                    Poll::Pending
                }
            }
        })
        .await
    }
}

/// A request was not taken: its id is that of a request which is open, or was until just now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("this request id is in use: send the request under another one")]
pub struct RequestIdInUse;

/// Where client protocols submit requests.
pub trait RequestSink {
    /// Takes a request; its answer comes through the exchange.
    ///
    /// # Errors
    ///
    /// Its id is in use; the exchange gets no answer.
    fn submit(&self, exchange: &Rc<Exchange>) -> Result<(), RequestIdInUse>;

    /// The client no longer waits for its answer.
    fn withdraw(&self, query: QueryId);

    /// The time on the one clock, in microseconds since the Unix epoch.
    fn now(&self) -> Micros;
}

/// One attempt of a request at an engine.
#[derive(Debug)]
pub struct Attempt {
    /// The exchange that it serves.
    pub exchange: Rc<Exchange>,
    /// Its number, from 0.
    pub number: u32,
    /// The engine that it goes to.
    pub engine: EngineId,
    /// Its priority level at the engine, if one was set.
    pub priority: Option<u8>,
    /// Memory granted, in MB; 0: the engine decides.
    pub memory_grant_mb: u64,
    /// The moment from which nothing of it may be written any more if nothing was yet.
    pub begin_by: Micros,
    /// The moment by which it has to end.
    pub deadline: Micros,
}

/// The end of an attempt that the upstream side saw.
#[derive(Debug)]
pub struct AttemptEnd {
    /// The query that it served.
    pub query: QueryId,
    /// Its number, from 0.
    pub number: u32,
    /// How it ended.
    pub outcome: Outcome,
    /// What it cost, if the engine reported that.
    pub cost: Option<Cost>,
    /// The result, if `outcome` is `Completed`.
    pub pages: Pages,
}

impl AttemptEnd {
    /// An end without a result.
    #[must_use]
    pub fn without_result(query: QueryId, number: u32, outcome: Outcome) -> Self {
        AttemptEnd {
            query,
            number,
            outcome,
            cost: None,
            pages: Pages::new(),
        }
    }
}

/// What an engine reported of an attempt that still runs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AttemptProgress {
    /// The query that it serves.
    pub query: QueryId,
    /// Its number, from 0.
    pub number: u32,
    /// The report.
    pub progress: Progress,
}

/// Where the upstream side reports on attempts.
pub trait AttemptEvents {
    /// An attempt ended by itself.
    fn attempt_ended(&self, end: AttemptEnd);

    /// An attempt that still runs made progress.
    fn attempt_progressed(&self, progress: AttemptProgress);
}

/// An engine of the list, and where it listens.
#[derive(Debug, Clone)]
pub struct ListedEngine {
    /// What the decisions need.
    pub engine: Engine,
    /// Where it listens.
    pub addr: SocketAddr,
}

/// What became of a cancelled attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CancelOutcome {
    /// Some of it was written: the engine may have run it.
    MayHaveRun,
    /// Nothing of it was ever written: the engine has not seen it.
    NeverSent,
}

/// What the dispatcher requests of an engine protocol.
pub trait UpstreamEngines {
    /// Starts an attempt. Its end comes through `AttemptEvents`, unless it is cancelled first.
    fn send(&self, attempt: Attempt);

    /// Cancels the attempt of a query; nothing more is reported of it.
    fn cancel(&self, query: QueryId) -> CancelOutcome;

    /// Takes back the attempt of a query if nothing of it was written yet; nothing more is reported
    /// of it. False: it has begun, and goes on.
    fn recall_unsent(&self, query: QueryId) -> bool;

    /// Sets the priority level of the attempt of a query.
    fn set_priority(&self, query: QueryId, priority: u8);

    /// Cordons an engine: attempts not yet written to it end as never sent, and it gets no more. Or
    /// uncordons it: it may be used again, but not by its old connections.
    fn set_cordoned(&self, engine: EngineId, cordoned: bool);

    /// Updates the engine list. Attempts not yet written to an engine that takes no more end as
    /// never sent.
    fn update_list(&self, scope: ListScope, engines: &[ListedEngine]);
}
