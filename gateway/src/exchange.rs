//! The interface between the downstream (client) side and the upstream (engine) side.
//!
//! A client protocol reads a [`Request`], opens an [`Exchange`] for it, submits the exchange to a
//! [`RequestSink`] and waits for the [`Answer`]. An engine protocol carries out each [`Attempt`]
//! and reports its end to [`AttemptEvents`]. The two sides do not depend on each other, and this
//! module depends on no protocol.

use std::cell::RefCell;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::ops::Deref;
use std::rc::Rc;
use std::task::{Poll, Waker};

use thiserror::Error;
use violetgate_memory_budget::Charge;
use violetgate_policy::interface::{
    Cost, Engine, EngineId, ListScope, Micros, NewQuery, Outcome, Progress, QueryId,
};

use crate::request_memory::RequestMemory;

/// The part of a client's timeout, in microseconds, that is reserved for the transit of the request
/// and of its answer, and for the rounding of the timeout to milliseconds. An answer given at the
/// very end of the timeout would arrive after the client has stopped waiting.
const TRANSIT_US: Micros = 25_000;

/// How long, in microseconds, a client may have waited before it wrote a request with an ordering
/// key. If its earlier request with the same key used a new connection, a client waits 250 ms
/// before it writes the next one, and the timeout that it states includes this wait.
const ORDERED_CLIENT_DELAY_US: Micros = 250_000;

/// `TRANSIT_US` and `ORDERED_CLIENT_DELAY_US` together are limited to the client's timeout divided
/// by this number, so that they don't use up a short timeout.
const ALLOWANCE_DIVISOR: Micros = 4;

/// The maximum size of a result in bytes. Engines send at most 48,000 bytes; the upstream side
/// rejects a result that is larger than this limit.
pub const MAX_RESULT_BYTES: usize = 64 * 1024;

/// A client's request: the query as the decisions see it, and the parts that are forwarded to the
/// engine unchanged.
#[derive(Debug, Clone)]
pub struct Request {
    /// The query as the decisions see it. Its `client_timeout` counts from `received`.
    pub query: NewQuery,
    /// When the last byte of the request was read, in microseconds since the Unix epoch.
    pub received: Micros,
    /// The request id as the client wrote it.
    pub id_text: Box<str>,
    /// The name of the request's class.
    pub class: Box<str>,
    /// The idempotency key, if the request has one.
    pub idempotency_key: Option<Box<str>>,
    /// The statement, without the comment that carried the request's fields.
    pub statement: Rc<[u8]>,
    /// The memory of the request, while it is open.
    pub memory: RequestMemory,
}

impl Request {
    /// Replaces the id of the request.
    pub fn set_id(&mut self, id: QueryId) {
        self.query.id = id;
        self.id_text = format!("{id:016x}").into();
    }

    /// Returns the latest time at which an answer can be given and still reach the client before
    /// its timeout, in microseconds since the Unix epoch.
    #[must_use]
    pub fn deadline(&self) -> Micros {
        let client_timeout = self.query.client_timeout;
        let client_delay = if self.query.ordering_key.is_some() {
            ORDERED_CLIENT_DELAY_US
        } else {
            0
        };
        let allowance = (TRANSIT_US + client_delay).min(client_timeout / ALLOWANCE_DIVISOR);
        self.received.saturating_add(client_timeout - allowance)
    }
}

/// The pages of a complete result, as the engine sent them, and their memory.
#[derive(Debug, Default)]
pub struct Pages {
    pages: Vec<Box<[u8]>>,
    memory: Option<Charge>,
}

impl Pages {
    /// Creates the pages of a result. `memory` is charged for them and for encoding them.
    #[must_use]
    pub fn new(pages: Vec<Box<[u8]>>, memory: Charge) -> Self {
        Pages {
            pages,
            memory: Some(memory),
        }
    }

    /// Returns the total size of the pages in bytes.
    #[must_use]
    pub fn size_bytes(&self) -> usize {
        self.pages.iter().map(|page| page.len()).sum()
    }

    /// Releases the memory for encoding the pages, because they are stored.
    pub fn release_encoding_memory(&self) {
        if let Some(memory) = &self.memory {
            // A smaller charge always fits.
            let _ = memory.resize(self.size_bytes().min(memory.bytes()));
        }
    }
}

impl Deref for Pages {
    type Target = [Box<[u8]>];

    fn deref(&self) -> &Self::Target {
        &self.pages
    }
}

/// A complete result, and the attempt that produced it.
#[derive(Debug)]
pub struct QueryResult {
    /// All pages of the result, in order.
    pub pages: Pages,
    /// The query that produced the result.
    pub query: QueryId,
    /// The number of the attempt that produced the result, from 0.
    pub attempt: u32,
}

impl QueryResult {
    /// Returns the total size of the pages in bytes.
    #[must_use]
    pub fn size_bytes(&self) -> usize {
        self.pages.size_bytes()
    }
}

/// The final answer to a request. Each request gets at most one.
#[derive(Debug, Clone)]
pub enum Answer {
    /// The query completed with this result.
    Served(Rc<QueryResult>),
    /// Rejected to shed load; a retry does no harm.
    Rejected {
        /// How long the client should wait before it retries, in microseconds.
        retry_after: Micros,
    },
    /// Rejected because this process is ending; a retry does no harm.
    ShuttingDown,
    /// Rejected because this instance can't confirm the shared state. Another instance may serve
    /// the request.
    StateUnconfirmed,
    /// Failed; the query may have had its effect.
    Failed,
    /// The idempotency key was already used with a different query. Nothing ran.
    KeyConflict,
    /// An earlier query with the same idempotency key may have had its effect, and engines would no
    /// longer discard a repeat. Nothing ran.
    OutcomeUnknown,
}

/// The answer of an exchange, until it is taken, and the task that waits for it.
#[derive(Debug, Default)]
struct AnswerSlot {
    answer: Option<Answer>,
    waker: Option<Waker>,
}

/// A request together with its pending answer.
#[derive(Debug)]
pub struct Exchange {
    /// The request, as the front end received it from the client.
    pub request: Request,
    /// The ids of the engine connections that the request's attempts used. Later attempts avoid
    /// these connections, because all attempts have the same request id: a late or duplicated
    /// answer to an earlier attempt would be taken for the answer to the current one.
    pub used_connections: RefCell<Vec<u64>>,
    slot: RefCell<AnswerSlot>,
}

impl Exchange {
    /// Creates an exchange without an answer.
    #[must_use]
    pub fn new(request: Request) -> Rc<Self> {
        Rc::new(Exchange {
            request,
            used_connections: RefCell::default(),
            slot: RefCell::default(),
        })
    }

    /// Returns the id of the request.
    #[must_use]
    pub fn id(&self) -> QueryId {
        self.request.query.id
    }

    /// Stores the answer and wakes the task that waits for it.
    pub fn complete(&self, answer: Answer) {
        let mut slot = self.slot.borrow_mut();
        slot.answer = Some(answer);
        if let Some(waker) = slot.waker.take() {
            waker.wake();
        }
    }

    /// Waits for the answer and takes it out of the exchange.
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

/// The request was not accepted, because its id belongs to a request that is open or was closed
/// recently.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("this request id is in use: send the request under another one")]
pub struct RequestIdInUse;

/// Accepts requests from the client protocols.
pub trait RequestSink {
    /// Submits a request. Its answer arrives through the exchange.
    ///
    /// # Errors
    ///
    /// Fails if the request's id is in use. The exchange then gets no answer.
    fn submit(&self, exchange: &Rc<Exchange>) -> Result<(), RequestIdInUse>;

    /// Withdraws a request whose client no longer waits for the answer. Without effect if the
    /// request is unknown or answered.
    fn withdraw(&self, query: QueryId);

    /// Returns the time on the process's clock, in microseconds since the Unix epoch.
    fn now(&self) -> Micros;
}

/// One attempt of a request at an engine.
#[derive(Debug)]
pub struct Attempt {
    /// The exchange of the request.
    pub exchange: Rc<Exchange>,
    /// The number of the attempt among those of its request, from 0.
    pub number: u32,
    /// The engine that the attempt is sent to.
    pub engine: EngineId,
    /// The priority level at the engine, if one was set.
    pub priority: Option<u8>,
    /// The memory granted to the attempt, in MB. With 0, the engine decides.
    pub memory_grant_mb: u64,
    /// When it becomes too late to begin writing the attempt, in microseconds since the Unix epoch.
    pub begin_by: Micros,
    /// When the attempt has to end, in microseconds since the Unix epoch.
    pub deadline: Micros,
}

/// How an attempt ended.
#[derive(Debug)]
pub struct AttemptEnd {
    /// The query that the attempt belonged to.
    pub query: QueryId,
    /// The number of the attempt, from 0.
    pub number: u32,
    /// The outcome as the decisions see it.
    pub outcome: Outcome,
    /// The cost of the query, if the engine reported it.
    pub cost: Option<Cost>,
    /// The pages of the result if `outcome` is `Completed`, else empty.
    pub pages: Pages,
}

impl AttemptEnd {
    /// Creates an end without cost and result.
    #[must_use]
    pub fn without_result(query: QueryId, number: u32, outcome: Outcome) -> Self {
        AttemptEnd {
            query,
            number,
            outcome,
            cost: None,
            pages: Pages::default(),
        }
    }
}

/// An engine's progress report on a running attempt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AttemptProgress {
    /// The query that the attempt belongs to.
    pub query: QueryId,
    /// The number of the attempt, from 0.
    pub number: u32,
    /// The progress that the engine reported.
    pub progress: Progress,
}

/// Receives the upstream side's reports on attempts.
pub trait AttemptEvents {
    /// Reports the end of an attempt that the dispatcher has not cancelled.
    fn attempt_ended(&self, end: AttemptEnd);

    /// Reports the progress of a running attempt.
    fn attempt_progressed(&self, progress: AttemptProgress);
}

/// An entry of the engine list.
#[derive(Debug, Clone)]
pub struct ListedEngine {
    /// The engine as the decisions see it.
    pub engine: Engine,
    /// The address at which the engine listens.
    pub addr: SocketAddr,
}

/// Whether a cancelled attempt may have reached its engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CancelOutcome {
    /// Part of the attempt was written, so the engine may have run it.
    MayHaveRun,
    /// Nothing of the attempt was written, so the engine has not received it.
    NeverSent,
}

/// The upstream side as the dispatcher uses it.
pub trait UpstreamEngines {
    /// Starts an attempt. Its end is reported to `AttemptEvents`, unless it is cancelled first.
    fn send(&self, attempt: Attempt);

    /// Cancels the attempt of a query. Nothing more is reported about it.
    fn cancel(&self, query: QueryId) -> CancelOutcome;

    /// Cancels the attempt of a query if nothing of it has been written, and reports nothing more
    /// about it. Returns false, and lets the attempt continue, if it has begun.
    fn recall_unsent(&self, query: QueryId) -> bool;

    /// Sets the priority level of the attempt of a query.
    fn set_priority(&self, query: QueryId, priority: u8);

    /// Cordons or uncordons an engine. A cordoned engine gets no more attempts, and those not yet
    /// written to it end as `NeverSent`. An uncordoned engine is used again, on new connections.
    fn set_cordoned(&self, engine: EngineId, cordoned: bool);

    /// Updates the engine list. Attempts not yet written to an engine that accepts no more end as
    /// `NeverSent`.
    fn update_list(&self, scope: ListScope, engines: &[ListedEngine]);
}
