//! Applies idempotency keys before requests reach the decisions. Of all queries with the same key,
//! from any client protocol, only one runs, and all get its answer.
//!
//! [`IdempotencyLayer`] is a [`RequestSink`] in front of another sink, and carries out what
//! [`IdempotencyKeys`] decides. The query that runs is submitted with an exchange of its own, so
//! that it continues as long as at least one query waits for it. Queries without a key pass
//! through. This layer never retries a query.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::{Rc, Weak};
use std::time::Duration;

use async_executor::{LocalExecutor, Task};
use async_io::Timer;
use sha2::{Digest, Sha256};
use violetgate_policy::interface::{Class, DedupGroup, Idempotency, Micros, QueryId};
use violetgate_result_store::{
    ByteBudget, ByteReservation, ExecutionOutcome, IdempotencyKeys, KeyLookup, RequestFingerprint,
};

use crate::exchange::{
    Answer, Exchange, QueryResult, Request, RequestIdInUse, RequestSink, MAX_RESULT_BYTES,
};
use crate::stats::increment;

/// Maximum number of queries that wait for one key: a client's query and its early retries.
const MAX_WAITERS_PER_KEY: usize = 32;
/// For how long after the first attempt engines discard repeats, in microseconds, if the settings
/// of the class give no deduplication window.
const DEFAULT_DEDUP_WINDOW_US: Micros = 12_000_000;
/// The retry-after of a rejection for lack of capacity, if the time until capacity is free is
/// unknown.
const CAPACITY_RETRY_AFTER_US: Micros = 1_000_000;

/// A result that is replayed to retries, with its reservation in the byte budget that recorded and
/// stored results share.
#[derive(Clone)]
struct RecordedResult {
    result: Rc<QueryResult>,
    _reservation: Rc<ByteReservation>,
}

/// A query that waits for the answer of the query that runs for its key.
struct Waiter {
    key: Box<str>,
    exchange: Rc<Exchange>,
    /// Ends the wait at this query's own deadline, as the query that runs may have a later one.
    /// `None` for the query that runs itself.
    timeout: Option<Task<()>>,
}

/// The query that runs for a key, and the task that waits for its answer.
struct Execution {
    query: QueryId,
    task: Task<()>,
}

/// Counts of idempotency keys and their uses, for the metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyCounts {
    /// Number of keys in the table.
    pub keys: usize,
    /// Number of queries since the start of the process that joined a running query.
    pub joined: u64,
    /// Number of queries since the start of the process that got a recorded result.
    pub replayed: u64,
}

/// How engines discard repeats of the queries of a class.
#[derive(Debug, Clone, Copy)]
struct Deduplication {
    /// For how long after the first attempt engines discard repeats, in microseconds.
    window: Micros,
    /// The engines that discard each other's repeats.
    group: DedupGroup,
}

/// Runs one query for each idempotency key and gives its answer to all queries with that key.
pub struct IdempotencyLayer {
    this: Weak<IdempotencyLayer>,
    inner: Rc<dyn RequestSink>,
    executor: Rc<LocalExecutor<'static>>,
    /// By class. `None` if queries of the class take no keys.
    deduplication: Vec<Option<Deduplication>>,
    budget: ByteBudget,
    keys: RefCell<IdempotencyKeys<QueryId, RecordedResult>>,
    waiters: RefCell<HashMap<QueryId, Waiter>>,
    /// The running queries, by key.
    executions: RefCell<HashMap<Box<str>, Execution>>,
    joined: Cell<u64>,
    replayed: Cell<u64>,
}

impl IdempotencyLayer {
    /// Creates the layer in front of `inner`, for at most `max_keys` keys. Recorded results reserve
    /// their bytes from `budget`.
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
            deduplication: classes.iter().map(deduplication).collect(),
            budget,
            keys: RefCell::new(IdempotencyKeys::new(max_keys, MAX_WAITERS_PER_KEY, now)),
            waiters: RefCell::default(),
            executions: RefCell::default(),
            joined: Cell::new(0),
            replayed: Cell::new(0),
        })
    }

    /// Changes the maximum number of keys. Keys in use stay.
    pub fn resize(&self, max_keys: usize) {
        self.keys.borrow_mut().resize(max_keys);
    }

    /// Returns the counts for the metrics.
    #[must_use]
    pub fn counts(&self) -> KeyCounts {
        KeyCounts {
            keys: self.keys.borrow().len(),
            joined: self.joined.get(),
            replayed: self.replayed.get(),
        }
    }

    fn deduplication(&self, request: &Request) -> Option<Deduplication> {
        let class = request.query.class as usize;
        self.deduplication.get(class).copied().flatten()
    }

    /// Returns the answer to a query that can't be executed or wait for lack of capacity: a
    /// rejection if a retry does no harm. If an earlier query with the key may have taken effect
    /// and not all engines would discard a repeat, the query fails.
    fn no_capacity(&self, key: &str, exchange: &Exchange, retry_after: Micros) -> Answer {
        let class = self.deduplication(&exchange.request);
        let is_harmless = class.is_none_or(|class| class.group == DedupGroup::All);
        let keys = self.keys.borrow();
        if is_harmless || !keys.may_have_taken_effect(key, &exchange.id()) {
            Answer::Rejected { retry_after }
        } else {
            Answer::Failed
        }
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
        // The bytes are reserved before the query is submitted. Otherwise its result might not be
        // recorded, and retries would have nothing to replay.
        let Some(reservation) = self.budget.reserve(MAX_RESULT_BYTES) else {
            let answer = self.no_capacity(key, exchange, CAPACITY_RETRY_AFTER_US);
            self.finish_unsent(key, exchange, answer);
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

    /// Completes the query of a key that was never submitted. No other query can have joined it,
    /// because the key was looked up in the same call.
    fn finish_unsent(&self, key: &str, exchange: &Exchange, answer: Answer) {
        let outcome = ExecutionOutcome::NoEffect;
        let waiters = self.keys.borrow_mut().finish(self.now(), key, outcome);
        debug_assert_eq!(waiters, [exchange.id()]);
        exchange.complete(answer);
    }

    /// Records the outcome of the query that ran for a key, and gives its answer to all waiters.
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
            // If no engine connection was used, no engine has run the query.
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
        // This function runs in the execution's task. Dropping the handle would cancel that task,
        // so the handle is detached.
        if let Some(execution) = execution {
            execution.task.detach();
        }
    }

    /// Spawns a task that ends the wait of a joined query at its own deadline, as the query that
    /// runs may have a later one.
    fn timeout_at_deadline(&self, exchange: &Rc<Exchange>) -> Task<()> {
        let (this, exchange) = (self.this.clone(), Rc::clone(exchange));
        let time_left = exchange.request.deadline().saturating_sub(self.now());
        self.executor.spawn(async move {
            Timer::after(Duration::from_micros(time_left)).await;
            let Some(layer) = this.upgrade() else { return };
            // The waiter is removed first, as it owns this task, which must not be dropped while it
            // runs.
            let waiter = layer.waiters.borrow_mut().remove(&exchange.id());
            if let Some(mut waiter) = waiter {
                layer.abandon(&waiter.key, exchange.id());
                exchange.complete(Answer::Failed);
                waiter.timeout.take().into_iter().for_each(Task::detach);
            }
        })
    }

    /// Ends a query's wait for its key's answer. If no other query waits, the running query is
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

/// Returns how engines discard repeats of a query of this class, or `None` if they never do.
fn deduplication(class: &Class) -> Option<Deduplication> {
    let deduplication = Deduplication {
        window: class.dedup_window.unwrap_or(DEFAULT_DEDUP_WINDOW_US),
        group: class.dedup_group,
    };
    (class.idempotency == Idempotency::Deduplicated).then_some(deduplication)
}

/// Hashes the parts of a request that must be equal in all queries of one key.
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
    // The first byte tells whether the request has an ordering key. The next eight bytes are 0 if
    // it has none.
    let ordering_key = request.query.ordering_key;
    hash.update([u8::from(ordering_key.is_some())]);
    hash.update(ordering_key.unwrap_or(0).to_be_bytes());
    let mut fingerprint = RequestFingerprint::default();
    let digest = hash.finalize();
    // The fingerprint is the first half of the digest.
    for (byte, hashed) in fingerprint.iter_mut().zip(digest) {
        *byte = hashed;
    }
    fingerprint
}

impl RequestSink for IdempotencyLayer {
    fn submit(&self, exchange: &Rc<Exchange>) -> Result<(), RequestIdInUse> {
        let request = &exchange.request;
        let deduplication = self.deduplication(request);
        let (Some(key), Some(deduplication)) = (&request.idempotency_key, deduplication) else {
            return self.inner.submit(exchange);
        };
        let window = deduplication.window;
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
            // 0 means that the store does not know when it will accept another query.
            KeyLookup::Full { retry_after: 0 } => {
                exchange.complete(self.no_capacity(key, exchange, CAPACITY_RETRY_AFTER_US));
            }
            KeyLookup::Full { retry_after } => {
                exchange.complete(self.no_capacity(key, exchange, retry_after));
            }
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
