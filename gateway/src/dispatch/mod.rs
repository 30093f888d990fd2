//! The dispatcher owns the decision module, passes events to it and carries out its actions in
//! order.
//!
//! The dispatcher makes no routing decisions. It does the bookkeeping that the decision module's
//! interface requires: it numbers the attempts, reports one end for each attempt, gives one answer
//! to each request, and keeps the timers.

mod attempts;
mod open_request;
mod recent_ids;
mod request_sink;
mod retained_memory;
mod sent_keys;
mod timers;

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

use violetgate_memory_budget::MemoryBudget;
use violetgate_policy::interface::{EngineId, ListScope, QueryId};
use violetgate_policy::{Action, EngineCounts, Event, Gateway, Settings};

use crate::clock::Clock;
use crate::exchange::{Answer, ListedEngine, RequestSink as _, UpstreamEngines};
use crate::fence::{rejection_or_failure, Fence};
use open_request::{ClassProperties, OpenRequest};
use recent_ids::RecentIds;
use retained_memory::{RetainedCounts, RetainedMemory};
use sent_keys::SentKeys;
use timers::{TimerEvent, TimerQueue};

/// Connects the client protocols, the decision module and the upstream side of one gateway.
pub struct Dispatch {
    clock: Clock,
    decisions: RefCell<Gateway>,
    classes: Vec<ClassProperties>,
    engines: Rc<dyn UpstreamEngines>,
    /// The fence, which is checked before anything is sent upstream. `None`: sending is always
    /// allowed.
    fence: Option<Rc<dyn Fence>>,
    /// The number of requests and attempts that the fence has stopped.
    fenced_count: Cell<u64>,
    /// Whether the process is ending, so that new requests are rejected.
    is_shut_down: Cell<bool>,
    open: RefCell<HashMap<QueryId, OpenRequest>>,
    recent_ids: RefCell<RecentIds>,
    sent_keys: RefCell<SentKeys>,
    retained_memory: RetainedMemory,
    events: RefCell<VecDeque<Event>>,
    /// Whether `process_events` is running. Events that occur meanwhile are only queued.
    is_running: Cell<bool>,
    timers: TimerQueue,
}

impl Dispatch {
    /// Creates a dispatcher that sends attempts to `engines`. `seed` initialises the random numbers
    /// of the decision module. What is remembered of requests is charged to `memory`. Without a
    /// `fence`, sending is always allowed.
    #[must_use]
    pub fn new(
        clock: Clock,
        settings: Settings,
        seed: u64,
        engines: Rc<dyn UpstreamEngines>,
        memory: &MemoryBudget,
        fence: Option<Rc<dyn Fence>>,
    ) -> Rc<Self> {
        Rc::new(Dispatch {
            clock,
            classes: settings
                .classes
                .iter()
                .map(ClassProperties::from_class)
                .collect(),
            decisions: RefCell::new(Gateway::new(settings, seed)),
            engines,
            fence,
            fenced_count: Cell::new(0),
            is_shut_down: Cell::new(false),
            open: RefCell::default(),
            recent_ids: RefCell::default(),
            sent_keys: RefCell::default(),
            retained_memory: RetainedMemory::new(memory),
            events: RefCell::new(VecDeque::from([Event::TimerFired])),
            is_running: Cell::new(false),
            timers: TimerQueue::default(),
        })
    }

    /// Updates the engine list.
    pub fn update_engines(&self, scope: ListScope, listed: &[ListedEngine]) {
        let engines = listed.iter().map(|listed| listed.engine).collect();
        // The decision module gets the new list before the ends of the attempts that
        // `update_list` ends, and before any further attempt is sent.
        self.queue(Event::EngineList { scope, engines });
        self.engines.update_list(scope, listed);
        self.process_events();
    }

    /// Returns the number of listed engines, and how many of them are cordoned or ejected as
    /// outliers.
    #[must_use]
    pub fn engine_counts(&self) -> EngineCounts {
        self.decisions.borrow().engine_counts()
    }

    /// Sets the number of gateways that share the engines.
    pub fn set_fleet_size(&self, gateways: u32) {
        self.queue(Event::FleetSize { gateways });
        self.process_events();
    }

    /// Cordons an engine, so that nothing more is sent to it, or uncordons it.
    pub fn set_cordoned(&self, engine: EngineId, cordoned: bool) {
        self.queue(Event::Cordon { engine, cordoned });
        self.engines.set_cordoned(engine, cordoned);
        self.process_events();
    }

    /// Answers every open request because the process is ending: with a rejection if a retry does
    /// no harm, else with a failure (see `rejection_or_failure`). Requests submitted later are
    /// rejected at once, because the end of the process would interrupt them.
    pub fn shut_down(&self) {
        self.is_shut_down.set(true);
        self.reject_open(&Answer::ShuttingDown, |_| true);
    }

    /// Answers every request that has no attempt in flight, because the fence has closed: with a
    /// rejection if a retry does no harm, else with a failure (see `rejection_or_failure`).
    /// Attempts in flight may still complete.
    pub fn reject_queued(&self) {
        self.reject_open(&Answer::StateUnconfirmed, |request| {
            request.in_flight.is_none()
        });
    }

    fn reject_open(&self, rejection: &Answer, is_affected: impl Fn(&OpenRequest) -> bool) {
        let affected: Vec<_> = self
            .open
            .borrow()
            .iter()
            .filter(|(_, request)| !request.is_answered && is_affected(request))
            .map(|(id, _)| *id)
            .collect();
        for id in affected {
            if let Some(request) = self.open.borrow().get(&id) {
                let may_have_run = request.may_have_run();
                let answer =
                    rejection_or_failure(request.idempotency, may_have_run, rejection.clone());
                request.exchange.complete(answer);
            }
            self.withdraw(id);
        }
    }

    /// Returns whether sending is allowed, and counts the calls for which it is not.
    fn check_fence(&self) -> bool {
        let is_open = self.fence.as_ref().is_none_or(|fence| fence.is_open());
        let stopped = u64::from(!is_open);
        self.fenced_count.set(self.fenced_count.get() + stopped);
        is_open
    }

    /// Returns the number of requests and attempts that the fence has stopped.
    #[must_use]
    pub fn fenced_count(&self) -> u64 {
        self.fenced_count.get()
    }

    fn queue(&self, event: Event) {
        self.events.borrow_mut().push_back(event);
    }

    /// Passes queued events to the decision module and carries out its actions, until no event is
    /// left. A nested call returns at once, for example when an attempt ends while it is being
    /// sent: the outer call processes the event later, so that actions are carried out in order.
    fn process_events(&self) {
        if self.is_running.replace(true) {
            return;
        }
        let mut actions = Vec::new();
        loop {
            let events: Vec<Event> = self.events.borrow_mut().drain(..).collect();
            if events.is_empty() {
                break;
            }
            self.decisions
                .borrow_mut()
                .handle(self.clock.now(), &events, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(action);
            }
        }
        self.is_running.set(false);
    }

    fn carry_out(&self, action: Action) {
        match action {
            Action::SetResources {
                query,
                memory_mb,
                priority,
            } => self.set_resources(query, memory_mb, priority),
            Action::Send {
                query,
                engine,
                timeout,
            } => self.send(query, engine, timeout),
            Action::Cancel { query, attempt } => self.cancel_attempt(query, attempt),
            Action::Reject { query, retry_after } => {
                self.answer_without_result(query, Answer::Rejected { retry_after });
            }
            Action::Fail { query } => self.answer_without_result(query, Answer::Failed),
            Action::SetTimer { at } => self.timers.schedule(at, TimerEvent::Decisions),
            // The engine list is always subscribed to.
            Action::SubscribeEngineList => {}
        }
    }

    /// Sets the memory grant and the priority of a query's next attempts. The priority also applies
    /// to the attempt in flight. `memory_mb` is rounded to whole megabytes.
    fn set_resources(&self, query: QueryId, memory_mb: f64, priority: u8) {
        let mut open = self.open.borrow_mut();
        let Some(request) = open.get_mut(&query) else {
            return;
        };
        // The cast saturates if the value is out of range.
        request.memory_grant_mb = memory_mb.round() as u64;
        let is_new = request.priority.replace(priority) != Some(priority);
        let is_in_flight = request.in_flight.is_some();
        drop(open);
        if is_new && is_in_flight {
            self.engines.set_priority(query, priority);
        }
    }

    /// Carries out the decision to give a request no result. If engines would no longer discard it
    /// as a duplicate of an earlier request, its client is told so.
    fn answer_without_result(&self, query: QueryId, answer: Answer) {
        let open = self.open.borrow();
        let now = self.clock.now();
        let is_too_late = open
            .get(&query)
            .is_some_and(|request| request.is_outside_dedup_window(now));
        drop(open);
        let answer = if is_too_late {
            Answer::OutcomeUnknown
        } else {
            answer
        };
        self.answer(query, answer);
    }

    /// Answers a request. An attempt of which nothing has been written is recalled, so that it does
    /// not begin. Whether an attempt that has begun is cancelled is up to the decision module.
    fn answer(&self, query: QueryId, answer: Answer) {
        let mut open = self.open.borrow_mut();
        let Some(request) = open.get_mut(&query) else {
            return;
        };
        request.answer(answer);
        if request.in_flight.is_none() {
            self.close(&mut open, query);
            return;
        }
        drop(open);
        self.recall_attempt(query);
    }

    /// Closes a request that is answered or withdrawn and has no attempt in flight.
    fn close(&self, open: &mut HashMap<QueryId, OpenRequest>, query: QueryId) {
        let closed = open.remove(&query);
        let key = closed.as_ref().and_then(OpenRequest::dedup_key);
        if let Some(key) = key {
            self.sent_keys.borrow_mut().closed(key, query);
        }
        if closed.is_some_and(|request| request.attempts > 0) {
            self.recent_ids.borrow_mut().add(query, self.clock.now());
        }
    }

    /// Returns how much is remembered of open and ended requests, with one more request.
    fn retained_counts(&self, open: &HashMap<QueryId, OpenRequest>) -> RetainedCounts {
        RetainedCounts {
            ids: self.recent_ids.borrow().len() + open.len() + 1,
            keys: self.sent_keys.borrow().len(),
            decisions: self.decisions.borrow().remembered_counts(),
        }
    }

    /// Fires timers when they are due. Never returns.
    pub async fn run_timers(&self) {
        self.timers.run(self.clock, || self.fire_due_timers()).await;
    }

    fn fire_due_timers(&self) {
        let now = self.clock.now();
        while let Some(event) = self.timers.pop_due(now) {
            match event {
                TimerEvent::Decisions => self.queue(Event::TimerFired),
                TimerEvent::AttemptDeadline { query, attempt } => {
                    self.time_out_attempt(query, attempt);
                }
            }
        }
        self.process_events();
    }
}

#[cfg(test)]
mod tests;
