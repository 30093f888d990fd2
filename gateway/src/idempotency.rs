//! Idempotency keys ahead of the decisions: of all queries of one key, by whichever front they come, one runs.
//!
//! It stands before an [`RequestSink`] as another one, and carries out what
//! [`IdempotencyKeys`] says: a query that runs is handed
//! on under an exchange of its own, so that it goes on while any of those that wait for it is there. It must
//! never decide about a query that carries no key, and never send one again by itself.

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

use crate::exchange::{Answer, Exchange, Request, RequestSink, Served, MAX_RESULT_BYTES};

/// How many queries may wait for one key: a client and its impatient repeats.
const JOINED: usize = 32;
/// The window of a keyed class whose settings name none.
const WINDOW: Micros = 12_000_000;
/// What is told a client that found no room where nobody knows when there will be some.
const RETRY: Micros = 1_000_000;

/// An answer kept for repeats, with the bytes that it holds.
#[derive(Clone)]
struct Recorded {
    served: Rc<Served>,
    _grant: Rc<ByteReservation>,
}

/// A query that waits for a key's answer.
struct Waiter {
    key: Box<str>,
    exchange: Rc<Exchange>,
    /// Ends its wait in time, where the query that runs has more.
    _late: Option<Task<()>>,
}

/// The query that runs for a key, and the task that waits for its end.
struct Run {
    query: QueryId,
    task: Task<()>,
}

/// The keys, and those that wait for them.
pub struct IdempotencyLayer {
    me: Weak<IdempotencyLayer>,
    inner: Rc<dyn RequestSink>,
    executor: Rc<LocalExecutor<'static>>,
    /// For how long engines discard a repeat, by class; `None`: the class has no keys.
    windows: Vec<Option<Micros>>,
    budget: ByteBudget,
    keys: RefCell<IdempotencyKeys<QueryId, Recorded>>,
    waiting: RefCell<HashMap<QueryId, Waiter>>,
    /// What runs, by key.
    runs: RefCell<HashMap<Box<str>, Run>>,
    joined: Cell<u64>,
    replayed: Cell<u64>,
}

impl IdempotencyLayer {
    /// Stands before `inner`, with room for `most` keys; recorded answers hold bytes of `budget`.
    #[must_use]
    pub fn new(
        inner: Rc<dyn RequestSink>,
        executor: Rc<LocalExecutor<'static>>,
        classes: &[Class],
        budget: ByteBudget,
        most: usize,
    ) -> Rc<Self> {
        let window = |c: &Class| {
            (c.idempotency == Idempotency::Deduplicated).then(|| c.dedup_window.unwrap_or(WINDOW))
        };
        let now = inner.now();
        Rc::new_cyclic(|me| IdempotencyLayer {
            me: me.clone(),
            inner,
            executor,
            windows: classes.iter().map(window).collect(),
            budget,
            keys: RefCell::new(IdempotencyKeys::new(most, JOINED, now)),
            waiting: RefCell::default(),
            runs: RefCell::default(),
            joined: Cell::new(0),
            replayed: Cell::new(0),
        })
    }

    /// Changes how many keys there may be.
    pub fn resize(&self, most: usize) {
        self.keys.borrow_mut().resize(most);
    }

    /// Keys that are taken, queries that joined another so far, and those that got a recorded answer.
    #[must_use]
    pub fn figures(&self) -> (usize, u64, u64) {
        (
            self.keys.borrow().len(),
            self.joined.get(),
            self.replayed.get(),
        )
    }

    fn wait(&self, key: &str, exchange: &Rc<Exchange>, late: Option<Task<()>>) {
        let waiter = Waiter {
            key: key.into(),
            exchange: Rc::clone(exchange),
            _late: late,
        };
        self.waiting
            .borrow_mut()
            .insert(exchange.request.query.id, waiter);
    }

    /// Hands a query on. False: its id is open, or was just now.
    fn run(&self, key: &str, exchange: &Rc<Exchange>) -> bool {
        let id = exchange.request.query.id;
        let harmless = |answer| {
            let waiters =
                self.keys
                    .borrow_mut()
                    .finish(self.now(), key, ExecutionOutcome::NoEffect);
            debug_assert_eq!(waiters, [id]);
            exchange.complete(answer);
        };
        // Reserved before it is admitted: an answer that could not be kept would leave a repeat nothing to meet.
        let Some(grant) = self.budget.reserve(MAX_RESULT_BYTES) else {
            harmless(Answer::Refused { retry_after: RETRY });
            return true;
        };
        let leader = Exchange::new(exchange.request.clone());
        if !self.inner.submit(&leader) {
            harmless(Answer::Failed);
            return false;
        }
        self.wait(key, exchange, None);
        let (me, key): (_, Box<str>) = (self.me.clone(), key.into());
        let name = key.clone();
        let task = self.executor.spawn(async move {
            let answer = leader.answer().await;
            if let Some(me) = me.upgrade() {
                me.finish(&key, &leader, answer, grant);
            }
        });
        self.runs.borrow_mut().insert(name, Run { query: id, task });
        true
    }

    /// The query that ran for a key has its answer, and so have all that wait for it.
    fn finish(&self, key: &str, leader: &Exchange, answer: Answer, mut grant: ByteReservation) {
        let run = self.runs.borrow_mut().remove(key);
        let ending = match &answer {
            Answer::Served(served) => {
                grant.shrink(served.bytes());
                ExecutionOutcome::Completed(Recorded {
                    served: Rc::clone(served),
                    _grant: Rc::new(grant),
                })
            }
            // What no engine connection ever had has surely not run.
            Answer::Refused { .. } | Answer::ShuttingDown | Answer::StateUnconfirmed
                if leader.used_connections.borrow().is_empty() =>
            {
                ExecutionOutcome::NoEffect
            }
            _ => ExecutionOutcome::Unknown,
        };
        let waiters = self.keys.borrow_mut().finish(self.now(), key, ending);
        for id in waiters {
            let waiter = self.waiting.borrow_mut().remove(&id);
            if let Some(waiter) = waiter {
                waiter.exchange.complete(answer.clone());
            }
        }
        // It is the one that runs this: it may end by itself.
        run.into_iter().for_each(|run| run.task.detach());
    }

    /// Waits no longer than its client does, though the query that runs may have more time.
    fn late(&self, exchange: &Rc<Exchange>) -> Task<()> {
        let (me, exchange) = (self.me.clone(), Rc::clone(exchange));
        let left = exchange.request.deadline().saturating_sub(self.now());
        self.executor.spawn(async move {
            Timer::after(Duration::from_micros(left)).await;
            let Some(me) = me.upgrade() else { return };
            let id = exchange.request.query.id;
            // Taken first: its task is this one, which must not be dropped while it runs.
            let waiter = me.waiting.borrow_mut().remove(&id);
            if let Some(mut waiter) = waiter {
                me.leave(&waiter.key, id);
                exchange.complete(Answer::Failed);
                waiter._late.take().into_iter().for_each(Task::detach);
            }
        })
    }

    fn leave(&self, key: &str, id: QueryId) {
        if self.keys.borrow_mut().abandon(self.now(), key, &id) {
            // Nobody waits any more: its client has left, and so it is withdrawn.
            let run = self.runs.borrow_mut().remove(key);
            run.into_iter()
                .for_each(|run| self.inner.withdraw(run.query));
        }
    }
}

/// What has to be the same in every query of a key.
fn print(request: &Request) -> RequestFingerprint {
    let mut hash = Sha256::new();
    for part in [
        request.class.as_bytes(),
        &request.query.tenant.to_be_bytes(),
        &request.statement,
    ] {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part);
    }
    hash.update(request.query.ordering_key.map_or([0; 9], |k| {
        let mut bytes = [1; 9];
        bytes
            .iter_mut()
            .skip(1)
            .zip(k.to_be_bytes())
            .for_each(|(b, k)| *b = k);
        bytes
    }));
    let mut print = RequestFingerprint::default();
    print
        .iter_mut()
        .zip(hash.finalize())
        .for_each(|(p, h)| *p = h);
    print
}

impl RequestSink for IdempotencyLayer {
    fn submit(&self, exchange: &Rc<Exchange>) -> bool {
        let request = &exchange.request;
        let window = self
            .windows
            .get(request.query.class as usize)
            .copied()
            .flatten();
        let (Some(key), Some(window)) = (&request.token, window) else {
            return self.inner.submit(exchange);
        };
        let id = request.query.id;
        if self.waiting.borrow().contains_key(&id) {
            return false;
        }
        let seen = self
            .keys
            .borrow_mut()
            .begin(self.now(), key, print(request), window, id);
        match seen {
            KeyLookup::Execute => return self.run(key, exchange),
            KeyLookup::JoinInFlight => {
                self.joined.set(self.joined.get() + 1);
                let late = self.late(exchange);
                self.wait(key, exchange, Some(late));
            }
            KeyLookup::Replay(recorded) => {
                self.replayed.set(self.replayed.get() + 1);
                exchange.complete(Answer::Served(recorded.served));
            }
            KeyLookup::KeyConflict => exchange.complete(Answer::KeyConflict),
            KeyLookup::OutcomeUnknown => exchange.complete(Answer::OutcomeUnknown),
            KeyLookup::Full { retry_after: wait } => {
                let retry_after = if wait == 0 { RETRY } else { wait };
                exchange.complete(Answer::Refused { retry_after });
            }
        }
        true
    }

    fn withdraw(&self, query: QueryId) {
        let waiter = self.waiting.borrow_mut().remove(&query);
        match waiter {
            Some(waiter) => self.leave(&waiter.key, query),
            None => self.inner.withdraw(query),
        }
    }

    fn now(&self) -> Micros {
        self.inner.now()
    }
}
