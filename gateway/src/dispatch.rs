//! The dispatcher: owns the decision module, feeds it what happens and carries out what it says, in order.
//!
//! It decides nothing. It keeps the books that the module's interface asks for: the number of each
//! attempt, one end for each, one answer for each request, and one queue of timers.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Poll, Waker};

use async_io::Timer;
use futures_lite::Future;
use violetgate_policy::interface::{
    AttemptEnded, Cost, EngineId, Idempotency, ListScope, LoadReport, Micros, NewQuery, Outcome,
    Progress, QueryId,
};
use violetgate_policy::{Action, EngineCounts, Event, Gateway, Settings};

use crate::clock::Clock;
use crate::exchange::{
    Answer, Attempt, AttemptEnd, AttemptEvents, Exchange, ListedEngine, RequestSink as _, Served,
    UpstreamEngines,
};
use crate::fence::{self, Fence};

mod recent_ids;
mod request_sink;

use recent_ids::RecentIds;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Wake,
    Overdue(QueryId, u32),
}

struct Out {
    number: u32,
    engine: EngineId,
    sent: Micros,
    until: Micros,
}

/// A request without its answer, or with an attempt still out.
struct Open {
    exchange: Rc<Exchange>,
    effect: Idempotency,
    /// Where engines discard repeats, for how long, and when the first attempt left that they may have seen.
    window: Option<Micros>,
    first: Option<Micros>,
    answered: bool,
    attempts: u32,
    level: Option<u8>,
    grant_mb: u64,
    out: Option<Out>,
}

/// The dispatcher of one gateway.
pub struct Dispatch {
    clock: Clock,
    gateway: RefCell<Gateway>,
    effects: Vec<(Idempotency, Option<Micros>)>,
    engines: Rc<dyn UpstreamEngines>,
    /// Whether anything may be sent, where that is not always so.
    fence: Option<Rc<dyn Fence>>,
    turned_away: Cell<u64>,
    /// The process ends, and takes nothing any more.
    closed: Cell<bool>,
    open: RefCell<HashMap<QueryId, Open>>,
    spent: RefCell<RecentIds>,
    events: RefCell<VecDeque<Event>>,
    running: Cell<bool>,
    timers: RefCell<BTreeSet<(Micros, Due)>>,
    armed: Cell<Micros>,
    waker: RefCell<Option<Waker>>,
}

impl Dispatch {
    /// Creates a dispatcher over an engine side.
    #[must_use]
    pub fn new(
        clock: Clock,
        settings: Settings,
        seed: u64,
        engines: Rc<dyn UpstreamEngines>,
        fence: Option<Rc<dyn Fence>>,
    ) -> Rc<Self> {
        Rc::new(Dispatch {
            clock,
            effects: settings
                .classes
                .iter()
                .map(|c| (c.idempotency, c.dedup_window))
                .collect(),
            gateway: RefCell::new(Gateway::new(settings, seed)),
            engines,
            fence,
            turned_away: Cell::new(0),
            closed: Cell::new(false),
            open: RefCell::default(),
            spent: RefCell::default(),
            events: RefCell::new(VecDeque::from([Event::TimerFired])),
            running: Cell::new(false),
            timers: RefCell::default(),
            armed: Cell::new(Micros::MAX),
            waker: RefCell::default(),
        })
    }

    /// Takes news of the engine list.
    pub fn news(&self, scope: ListScope, listed: &[ListedEngine]) {
        let engines = listed.iter().map(|l| l.engine).collect();
        // The module hears of it before the attempts that it ends, and before any further send.
        self.events
            .borrow_mut()
            .push_back(Event::EngineList { scope, engines });
        self.engines.list(scope, listed);
        self.run();
    }

    /// How many engines are listed, and how many of those are avoided.
    #[must_use]
    pub fn engine_counts(&self) -> EngineCounts {
        self.gateway.borrow().engine_counts()
    }

    /// So many gateways share the engines from now on.
    pub fn fleet(&self, gateways: u32) {
        self.events
            .borrow_mut()
            .push_back(Event::FleetSize { gateways });
        self.run();
    }

    /// Takes an operator's call: nothing more to an engine, or again.
    pub fn cordon(&self, engine: EngineId, out: bool) {
        self.events.borrow_mut().push_back(Event::Cordon {
            engine,
            cordoned: out,
        });
        self.engines.cordon(engine, out);
        self.run();
    }

    /// Gives every request still open its answer, as the process ends: a refusal where the class lets it
    /// be repeated, else a failure.
    ///
    /// What is read later is answered so at once: begun now, it would be cut by the end.
    pub fn close(&self) {
        self.closed.set(true);
        self.turn_away(&Answer::ShuttingDown, |_| true);
    }

    /// Gives every request that waits to be sent its answer, as the fence is shut. What is out may still come back.
    pub fn shut(&self) {
        self.turn_away(&Answer::StateUnconfirmed, |o| o.out.is_none());
    }

    fn turn_away(&self, refusal: &Answer, which: impl Fn(&Open) -> bool) {
        let open = self.open.borrow();
        let rest: Vec<_> = open
            .iter()
            .filter(|(_, o)| !o.answered && which(o))
            .map(|(id, _)| *id)
            .collect();
        drop(open);
        for id in rest {
            if let Some(o) = self.open.borrow().get(&id) {
                o.exchange
                    .complete(fence::turned_away(o.effect, o.attempts, refusal.clone()));
            }
            self.withdraw(id);
        }
    }

    fn may_send(&self) -> bool {
        let open = self.fence.as_ref().is_none_or(|f| f.is_open());
        self.turned_away
            .set(self.turned_away.get() + u64::from(!open));
        open
    }

    /// Requests and attempts that the fence has turned away.
    #[must_use]
    pub fn turned_away(&self) -> u64 {
        self.turned_away.get()
    }

    /// Fires timers for ever.
    pub async fn run_timers(&self) {
        let mut timer = Timer::never();
        poll_fn(|cx| loop {
            *self.waker.borrow_mut() = Some(cx.waker().clone());
            self.fire();
            let next = self.timers.borrow().first().map(|t| t.0);
            self.armed.set(next.unwrap_or(Micros::MAX));
            let Some(at) = next else {
                return Poll::<()>::Pending;
            };
            timer.set_at(self.clock.instant(at));
            if Pin::new(&mut timer).poll(cx).is_pending() {
                return Poll::Pending;
            }
        })
        .await;
    }

    fn fire(&self) {
        let now = self.clock.now();
        loop {
            let first = self
                .timers
                .borrow()
                .first()
                .copied()
                .filter(|(at, _)| *at <= now);
            let Some(first) = first else { break };
            self.timers.borrow_mut().remove(&first);
            match first.1 {
                Due::Wake => self.events.borrow_mut().push_back(Event::TimerFired),
                Due::Overdue(id, number) => self.give_up(id, number, Outcome::TimedOut),
            }
        }
        self.run();
    }

    fn schedule(&self, at: Micros, due: Due) {
        self.timers.borrow_mut().insert((at, due));
        if at < self.armed.get() {
            if let Some(waker) = self.waker.borrow_mut().take() {
                waker.wake();
            }
        }
    }

    /// Feeds what is queued to the module until nothing is left. A call from within (an attempt that ends
    /// while it is being sent) only queues its event, so that actions are carried out in their order.
    fn run(&self) {
        if self.running.replace(true) {
            return;
        }
        let mut actions = Vec::new();
        loop {
            let events: Vec<Event> = self.events.borrow_mut().drain(..).collect();
            if events.is_empty() {
                break;
            }
            self.gateway
                .borrow_mut()
                .handle(self.clock.now(), &events, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(action);
            }
        }
        self.running.set(false);
    }

    fn carry_out(&self, action: Action) {
        match action {
            Action::SetResources {
                query,
                memory_mb,
                priority,
            } => {
                let mut open = self.open.borrow_mut();
                let Some(o) = open.get_mut(&query) else {
                    return;
                };
                // What is no sensible figure becomes the nearest one; the grant holds from the next attempt on.
                o.grant_mb = memory_mb.round() as u64;
                let changed = o.level.replace(priority) != Some(priority);
                let out = o.out.is_some();
                drop(open);
                if changed && out {
                    self.engines.weigh(query, priority);
                }
            }
            Action::Send {
                query,
                engine,
                timeout,
            } => self.send(query, engine, timeout),
            Action::Cancel { query, attempt } => self.give_up(query, attempt, Outcome::Cancelled),
            Action::Reject { query, retry_after } => {
                self.settle(query, Answer::Refused { retry_after })
            }
            Action::Fail { query } => self.settle(query, Answer::Failed),
            Action::SetTimer { at } => self.schedule(at, Due::Wake),
            // The event bus is always followed.
            Action::SubscribeEngineList => {}
        }
    }

    fn send(&self, id: QueryId, engine: EngineId, timeout: Micros) {
        let now = self.clock.now();
        let mut open = self.open.borrow_mut();
        let Some(o) = open.get_mut(&id) else { return };
        let number = o.attempts;
        o.attempts += 1;
        let deadline = o.exchange.request.deadline();
        let until = if timeout == 0 {
            deadline
        } else {
            deadline.min(now + timeout)
        };
        let may_send = self.may_send();
        if !may_send && !std::mem::replace(&mut o.answered, true) {
            o.exchange.complete(fence::turned_away(
                o.effect,
                number,
                Answer::StateUnconfirmed,
            ));
        }
        if o.answered || o.out.is_some() || until <= now {
            let end = ended(id, number, engine, Outcome::NeverSent, o.answered, 0, None);
            if !may_send && o.out.is_none() {
                self.strike(&mut open, id);
            }
            drop(open);
            self.events.borrow_mut().push_back(end);
            return;
        }
        o.out = Some(Out {
            number,
            engine,
            sent: now,
            until,
        });
        // It may wait for a connection: a repeat that left after its window would run a second time.
        let begin_by = o
            .first
            .zip(o.window)
            .map_or(until, |(first, window)| until.min(first + window));
        let exchange = Rc::clone(&o.exchange);
        let (level, grant_mb) = (o.level, o.grant_mb);
        let attempt = Attempt {
            exchange,
            number,
            engine,
            level,
            grant_mb,
            begin_by,
            until,
        };
        drop(open);
        self.schedule(until, Due::Overdue(id, number));
        self.engines.send(attempt);
    }

    /// Takes an attempt back: the engine is told first, then the module.
    fn give_up(&self, id: QueryId, number: u32, outcome: Outcome) {
        let is_out = self
            .open
            .borrow()
            .get(&id)
            .and_then(|o| o.out.as_ref())
            .is_some_and(|out| out.number == number);
        if is_out {
            let written = self.engines.cancel(id);
            let outcome = if written { outcome } else { Outcome::NeverSent };
            self.ended(AttemptEnd {
                query: id,
                number,
                outcome,
                cost: None,
                pages: Vec::new(),
            });
        }
    }

    fn strike(&self, open: &mut HashMap<QueryId, Open>, id: QueryId) {
        open.remove(&id);
        self.spent.borrow_mut().add(id, self.clock.now());
    }

    fn settle(&self, id: QueryId, answer: Answer) {
        let mut open = self.open.borrow_mut();
        let Some(o) = open.get_mut(&id) else { return };
        if !std::mem::replace(&mut o.answered, true) {
            o.exchange.complete(answer);
        }
        if o.out.is_none() {
            self.strike(&mut open, id);
            return;
        }
        drop(open);
        self.recall(id);
    }

    /// Nobody waits for it any more. An attempt that still waits for its connection must not begin; one that has begun
    /// is the module's to withdraw or to leave.
    fn recall(&self, id: QueryId) {
        let number = self
            .open
            .borrow()
            .get(&id)
            .and_then(|o| o.out.as_ref())
            .map(|out| out.number);
        if let Some(number) = number.filter(|_| self.engines.recall(id)) {
            let outcome = Outcome::NeverSent;
            self.ended(AttemptEnd {
                query: id,
                number,
                outcome,
                cost: None,
                pages: Vec::new(),
            });
        }
    }
}

fn ended(
    query: QueryId,
    attempt: u32,
    engine: EngineId,
    outcome: Outcome,
    settled: bool,
    elapsed: Micros,
    cost: Option<Cost>,
) -> Event {
    Event::AttemptEnded(AttemptEnded {
        query,
        attempt,
        engine,
        outcome,
        query_answered: settled,
        elapsed,
        cost,
        load: LoadReport::default(),
    })
}

impl AttemptEvents for Dispatch {
    fn noted(&self, query: QueryId, number: u32, news: Progress) {
        let out = self
            .open
            .borrow()
            .get(&query)
            .and_then(|o| o.out.as_ref().map(|out| out.number));
        if out == Some(number) {
            self.events.borrow_mut().push_back(Event::Progress {
                query,
                attempt: number,
                progress: news,
            });
            self.run();
        }
    }

    fn ended(&self, end: AttemptEnd) {
        let mut open = self.open.borrow_mut();
        let Some(o) = open.get_mut(&end.query) else {
            return;
        };
        let Some(out) = o.out.take_if(|out| out.number == end.number) else {
            return;
        };
        if !matches!(
            end.outcome,
            Outcome::Overloaded | Outcome::ConnectionRefused | Outcome::NeverSent
        ) {
            o.first = o.first.or(Some(out.sent));
        }
        self.timers
            .borrow_mut()
            .remove(&(out.until, Due::Overdue(end.query, end.number)));
        if end.outcome == Outcome::Completed && !std::mem::replace(&mut o.answered, true) {
            let served = Served {
                pages: end.pages,
                query: end.query,
                attempt: end.number,
            };
            o.exchange.complete(Answer::Served(Rc::new(served)));
        }
        let settled = o.answered;
        if settled {
            self.strike(&mut open, end.query);
        }
        drop(open);
        let elapsed = self.clock.now().saturating_sub(out.sent);
        let event = ended(
            end.query,
            end.number,
            out.engine,
            end.outcome,
            settled,
            elapsed,
            end.cost,
        );
        self.events.borrow_mut().push_back(event);
        self.run();
    }
}

#[cfg(test)]
#[allow(clippy::unwrap_used, clippy::indexing_slicing)]
mod tests;
