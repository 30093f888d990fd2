//! Idempotency keys before the decisions: of all queries of one key, by whichever protocol, one
//! runs.
//!
//! [`IdempotencyLayer`] is a [`RequestSink`] before another one, and carries out what
//! [`IdempotencyKeys`] says. The query that runs is submitted under an exchange of its own, so that
//! it goes on while any of those that wait for it is there. Queries without a key pass through;
//! none is ever sent again from here.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::{Rc, Weak};
use std::time::Duration;

use async_executor::{LocalExecutor, Task};
use async_io::Timer;
use sha2::{Digest, Sha256};
use violetgate_policy::interface::{Class, Idempotency, Micros, QueryId};
use violetgate_result_store::{
    ByteBudget, ByteReservation, ExecutionOutcome, IdempotencyKeys, KeyLookup, RequestFingerprint,
};

use crate::exchange::{
    Answer, Exchange, QueryResult, Request, RequestIdInUse, RequestSink, MAX_RESULT_BYTES,
};
use crate::stats::increment;

/// How many queries may wait for one key: a client and its impatient retries.
const MAX_WAITERS_PER_KEY: usize = 32;
/// For how long engines discard a repeat, for a class whose settings state nothing.
const DEFAULT_DEDUP_WINDOW_US: Micros = 12_000_000;
/// The retry-after of a rejection for want of capacity, where nobody knows when there will be some.
const CAPACITY_RETRY_AFTER_US: Micros = 1_000_000;

/// A result that is replayed to retries, with the bytes that it reserves.
#[derive(Clone)]
struct RecordedResult {
    result: Rc<QueryResult>,
    _reservation: Rc<ByteReservation>,
}

/// A query that waits for a key's answer.
struct Waiter {
    key: Box<str>,
    exchange: Rc<Exchange>,
    /// Ends the wait at its own deadline, where the query that runs has a later one.
    timeout: Option<Task<()>>,
}

/// The query that runs for a key, and the task that waits for its end.
struct Execution {
    query: QueryId,
    task: Task<()>,
}

/// Counts of idempotency keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyCounts {
    /// Keys in the table.
    pub keys: usize,
    /// Queries that joined one that ran, since the start.
    pub joined: u64,
    /// Queries that got a recorded result, since the start.
    pub replayed: u64,
}

/// The keys, and the queries that wait for them.
pub struct IdempotencyLayer {
    this: Weak<IdempotencyLayer>,
    inner: Rc<dyn RequestSink>,
    executor: Rc<LocalExecutor<'static>>,
    /// For how long engines discard a repeat, by class; `None`: the class has no keys.
    dedup_windows: Vec<Option<Micros>>,
    budget: ByteBudget,
    keys: RefCell<IdempotencyKeys<QueryId, RecordedResult>>,
    waiters: RefCell<HashMap<QueryId, Waiter>>,
    /// What runs, by key.
    executions: RefCell<HashMap<Box<str>, Execution>>,
    joined: Cell<u64>,
    replayed: Cell<u64>,
}

impl IdempotencyLayer {
    /// Creates the layer before `inner`, for `max_keys` keys; recorded results reserve bytes of
    /// `budget`.
    #[must_use]
    pub fn new(
        inner: Rc<dyn RequestSink>,
        executor: Rc<LocalExecutor<'static>>,
        classes: &[Class],
        budget: ByteBudget,
        max_keys: usize,
    ) -> Rc<Self> {
        let now = inner.now();
        Rc::new_cyclic(|this| IdempotencyLayer {
            this: this.clone(),
            inner,
            executor,
            dedup_windows: classes.iter().map(dedup_window).collect(),
            budget,
            keys: RefCell::new(IdempotencyKeys::new(max_keys, MAX_WAITERS_PER_KEY, now)),
            waiters: RefCell::default(),
            executions: RefCell::default(),
            joined: Cell::new(0),
            replayed: Cell::new(0),
        })
    }

    /// Changes how many keys there may be.
    pub fn resize(&self, max_keys: usize) {
        self.keys.borrow_mut().resize(max_keys);
    }

    /// Counts for the metrics.
    #[must_use]
    pub fn counts(&self) -> KeyCounts {
        KeyCounts {
            keys: self.keys.borrow().len(),
            joined: self.joined.get(),
            replayed: self.replayed.get(),
        }
    }

    fn dedup_window(&self, request: &Request) -> Option<Micros> {
        let class = request.query.class as usize;
        self.dedup_windows.get(class).copied().flatten()
    }

    fn add_waiter(&self, key: &str, exchange: &Rc<Exchange>, timeout: Option<Task<()>>) {
        let waiter = Waiter {
            key: key.into(),
            exchange: Rc::clone(exchange),
            timeout,
        };
        self.waiters.borrow_mut().insert(exchange.id(), waiter);
    }

    /// Submits the query that runs for a key.
    fn execute(&self, key: &str, exchange: &Rc<Exchange>) -> Result<(), RequestIdInUse> {
        // Reserved before it is admitted: a result that could not be recorded would leave nothing
        // to replay.
        let Some(reservation) = self.budget.reserve(MAX_RESULT_BYTES) else {
            let retry_after = CAPACITY_RETRY_AFTER_US;
            self.finish_unsent(key, exchange, Answer::Rejected { retry_after });
            return Ok(());
        };
        let running = Exchange::new(exchange.request.clone());
        if let Err(error) = self.inner.submit(&running) {
            self.finish_unsent(key, exchange, Answer::Failed);
            return Err(error);
        }
        self.add_waiter(key, exchange, None);
        let (this, owned_key): (_, Box<str>) = (self.this.clone(), key.into());
        let task = self.executor.spawn(async move {
            let answer = running.answer().await;
            if let Some(layer) = this.upgrade() {
                layer.finish(&owned_key, &running, answer, reservation);
            }
        });
        let execution = Execution {
            query: exchange.id(),
            task,
        };
        self.executions.borrow_mut().insert(key.into(), execution);
        Ok(())
    }

    /// Ends the query of a key that was never sent, and had no time to be joined.
    fn finish_unsent(&self, key: &str, exchange: &Exchange, answer: Answer) {
        let outcome = ExecutionOutcome::NoEffect;
        let waiters = self.keys.borrow_mut().finish(self.now(), key, outcome);
        debug_assert_eq!(waiters, [exchange.id()]);
        exchange.complete(answer);
    }

    /// The query that ran for a key has its answer, and so have all that wait for it.
    fn finish(
        &self,
        key: &str,
        running: &Exchange,
        answer: Answer,
        mut reservation: ByteReservation,
    ) {
        let execution = self.executions.borrow_mut().remove(key);
        let outcome = match &answer {
            Answer::Served(result) => {
                reservation.shrink(result.size_bytes());
                ExecutionOutcome::Completed(RecordedResult {
                    result: Rc::clone(result),
                    _reservation: Rc::new(reservation),
                })
            }
            // What was never on an engine connection has not run.
            Answer::Rejected { .. } | Answer::ShuttingDown | Answer::StateUnconfirmed
                if running.used_connections.borrow().is_empty() =>
            {
                ExecutionOutcome::NoEffect
            }
            _ => ExecutionOutcome::Unknown,
        };
        let waiters = self.keys.borrow_mut().finish(self.now(), key, outcome);
        for id in waiters {
            let waiter = self.waiters.borrow_mut().remove(&id);
            if let Some(waiter) = waiter {
                waiter.exchange.complete(answer.clone());
            }
        }
        // Its task is the one that runs this: it may end by itself.
        if let Some(execution) = execution {
            execution.task.detach();
        }
    }

    /// Ends the wait of a joined query at its deadline, though the query that runs may have more
    /// time.
    fn timeout_at_deadline(&self, exchange: &Rc<Exchange>) -> Task<()> {
        let (this, exchange) = (self.this.clone(), Rc::clone(exchange));
        let time_left = exchange.request.deadline().saturating_sub(self.now());
        self.executor.spawn(async move {
            Timer::after(Duration::from_micros(time_left)).await;
            let Some(layer) = this.upgrade() else { return };
            // Removed first: its task is this one, which must not be dropped while it runs.
            let waiter = layer.waiters.borrow_mut().remove(&exchange.id());
            if let Some(mut waiter) = waiter {
                layer.abandon(&waiter.key, exchange.id());
                exchange.complete(Answer::Failed);
                waiter.timeout.take().into_iter().for_each(Task::detach);
            }
        })
    }

    /// A query no longer waits for its key's answer. With the last one, the query that runs is
    /// withdrawn.
    fn abandon(&self, key: &str, id: QueryId) {
        let is_last = self.keys.borrow_mut().abandon(self.now(), key, &id);
        if is_last {
            let execution = self.executions.borrow_mut().remove(key);
            if let Some(execution) = execution {
                self.inner.withdraw(execution.query);
            }
        }
    }
}

/// For how long engines discard a repeat of a class's queries; `None`: they do not.
fn dedup_window(class: &Class) -> Option<Micros> {
    let window = class.dedup_window.unwrap_or(DEFAULT_DEDUP_WINDOW_US);
    (class.idempotency == Idempotency::Deduplicated).then_some(window)
}

/// A hash over what has to be the same in every query of a key.
fn fingerprint(request: &Request) -> RequestFingerprint {
    let mut hash = Sha256::new();
    for part in [
        request.class.as_bytes(),
        &request.query.tenant.to_be_bytes(),
        &request.statement,
    ] {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part);
    }
    // One byte says whether there is an ordering key; without one its eight bytes are 0.
    let ordering_key = request.query.ordering_key;
    hash.update([u8::from(ordering_key.is_some())]);
    hash.update(ordering_key.unwrap_or(0).to_be_bytes());
    let mut fingerprint = RequestFingerprint::default();
    let digest = hash.finalize();
    // The fingerprint is as long as the first half of the digest.
    for (byte, hashed) in fingerprint.iter_mut().zip(digest) {
        *byte = hashed;
    }
    fingerprint
}

impl RequestSink for IdempotencyLayer {
    fn submit(&self, exchange: &Rc<Exchange>) -> Result<(), RequestIdInUse> {
        let request = &exchange.request;
        let window = self.dedup_window(request);
        let (Some(key), Some(window)) = (&request.idempotency_key, window) else {
            return self.inner.submit(exchange);
        };
        let id = exchange.id();
        if self.waiters.borrow().contains_key(&id) {
            return Err(RequestIdInUse);
        }
        let lookup =
            self.keys
                .borrow_mut()
                .begin(self.now(), key, fingerprint(request), window, id);
        match lookup {
            KeyLookup::Execute => return self.execute(key, exchange),
            KeyLookup::JoinInFlight => {
                increment(&self.joined);
                let timeout = self.timeout_at_deadline(exchange);
                self.add_waiter(key, exchange, Some(timeout));
            }
            KeyLookup::Replay(recorded) => {
                increment(&self.replayed);
                exchange.complete(Answer::Served(recorded.result));
            }
            KeyLookup::KeyConflict => exchange.complete(Answer::KeyConflict),
            KeyLookup::OutcomeUnknown => exchange.complete(Answer::OutcomeUnknown),
            // 0: the store does not know when there will be room.
            KeyLookup::Full { retry_after: 0 } => exchange.complete(Answer::Rejected {
                retry_after: CAPACITY_RETRY_AFTER_US,
            }),
            KeyLookup::Full { retry_after } => exchange.complete(Answer::Rejected { retry_after }),
        }
        Ok(())
    }

    fn withdraw(&self, query: QueryId) {
        let waiter = self.waiters.borrow_mut().remove(&query);
        match waiter {
            Some(waiter) => self.abandon(&waiter.key, query),
            None => self.inner.withdraw(query),
        }
    }

    fn now(&self) -> Micros {
        self.inner.now()
    }
}
