//! Starts and cancels attempts, and reports the end of each attempt to the decisions exactly once.

use std::collections::HashMap;
use std::rc::Rc;

use violetgate_policy::interface::{
    AttemptEnded, EngineId, LoadReport, Micros, Outcome, PossibleRun, QueryId,
};
use violetgate_policy::Event;

use super::open_request::{AttemptInFlight, OpenRequest};
use super::timers::TimerEvent;
use super::Dispatch;
use crate::exchange::{
    Answer, Attempt, AttemptEnd, AttemptEvents, AttemptProgress, CancelOutcome, QueryResult,
};
use crate::fence::rejection_or_failure;

impl Dispatch {
    /// Sends the next attempt of a query to an engine. `timeout` is in microseconds; with 0, only
    /// the request's deadline applies. An attempt that can't be sent ends as `NeverSent`.
    pub(super) fn send(&self, query: QueryId, engine: EngineId, timeout: Micros) {
        let now = self.clock.now();
        let mut open = self.open.borrow_mut();
        let Some(request) = open.get_mut(&query) else {
            return;
        };
        let number = request.attempts;
        let may_have_run = request.may_have_run();
        request.attempts += 1;
        let deadline = attempt_deadline(request.exchange.request.deadline(), now, timeout);
        let may_send = self.check_fence();
        if !may_send {
            let rejection = Answer::StateUnconfirmed;
            let answer = rejection_or_failure(request.idempotency, may_have_run, rejection);
            request.answer(answer);
        }
        if request.is_answered || request.in_flight.is_some() || deadline <= now {
            let end = AttemptEnded {
                query_answered: request.is_answered,
                ..never_sent(query, number, engine)
            };
            if !may_send && request.in_flight.is_none() {
                self.close(&mut open, query);
            }
            drop(open);
            self.queue(Event::AttemptEnded(end));
            return;
        }
        request.in_flight = Some(AttemptInFlight {
            number,
            engine,
            sent_at: now,
            deadline,
        });
        let attempt = Attempt {
            exchange: Rc::clone(&request.exchange),
            number,
            engine,
            priority: request.priority,
            memory_grant_mb: request.memory_grant_mb,
            begin_by: request.begin_by(deadline),
            deadline,
        };
        self.mark_duplicates(&mut open, query, engine, now);
        drop(open);
        let timer = TimerEvent::AttemptDeadline {
            query,
            attempt: number,
        };
        self.timers.schedule(deadline, timer);
        self.engines.send(attempt);
    }

    /// Records that an attempt of a request is sent, and tells the decisions which other open
    /// requests are duplicates of it.
    fn mark_duplicates(
        &self,
        open: &mut HashMap<QueryId, OpenRequest>,
        query: QueryId,
        engine: EngineId,
        sent_at: Micros,
    ) {
        let Some(key) = open.get(&query).and_then(OpenRequest::dedup_key) else {
            return;
        };
        let Some(location) = self.decisions.borrow().engine_location(engine) else {
            return;
        };
        let run = PossibleRun { location, sent_at };
        let duplicates = self.sent_keys.borrow_mut().sent(key, query, run);
        for duplicate in duplicates {
            if let Some(request) = open.get_mut(&duplicate) {
                request.record_possible_run(sent_at);
            }
            self.queue(Event::DuplicateSent {
                query: duplicate,
                run,
            });
        }
    }

    /// Cancels an attempt at the request of the decisions.
    pub(super) fn cancel_attempt(&self, query: QueryId, attempt: u32) {
        self.abort_attempt(query, attempt, Outcome::Cancelled);
    }

    /// Cancels an attempt whose deadline has passed.
    pub(super) fn time_out_attempt(&self, query: QueryId, attempt: u32) {
        self.abort_attempt(query, attempt, Outcome::TimedOut);
    }

    /// Cancels an attempt if it is in flight. The cancellation goes to the engine before the
    /// attempt's end goes to the decisions. Reports `outcome`, or [`Outcome::NeverSent`] if nothing
    /// of the attempt was written.
    fn abort_attempt(&self, query: QueryId, attempt: u32, outcome: Outcome) {
        if self.number_in_flight(query) != Some(attempt) {
            return;
        }
        let outcome = match self.engines.cancel(query) {
            CancelOutcome::MayHaveRun => outcome,
            CancelOutcome::NeverSent => Outcome::NeverSent,
        };
        self.attempt_ended(AttemptEnd::without_result(query, attempt, outcome));
    }

    /// Recalls the attempt in flight of a query whose answer is no longer awaited, if nothing of
    /// the attempt has been written.
    pub(super) fn recall_attempt(&self, query: QueryId) {
        let Some(number) = self.number_in_flight(query) else {
            return;
        };
        if self.engines.recall_unsent(query) {
            let end = AttemptEnd::without_result(query, number, Outcome::NeverSent);
            self.attempt_ended(end);
        }
    }

    /// Records whether an attempt that has ended may have run.
    fn record_end(&self, request: &mut OpenRequest, attempt: &AttemptInFlight, outcome: Outcome) {
        if outcome.may_have_run() {
            request.record_possible_run(attempt.sent_at);
        }
        let Some(key) = request.dedup_key() else {
            return;
        };
        let query = request.exchange.id();
        let mut sent_keys = self.sent_keys.borrow_mut();
        if outcome.may_have_run() {
            let window = request.dedup_window.unwrap_or(0);
            let forgotten_at = self.clock.now().saturating_add(window);
            sent_keys.may_have_run(key, query, forgotten_at);
        } else {
            sent_keys.never_ran(key, query);
        }
    }

    fn number_in_flight(&self, query: QueryId) -> Option<u32> {
        let open = self.open.borrow();
        let in_flight = open.get(&query)?.in_flight.as_ref()?;
        Some(in_flight.number)
    }
}

/// Returns the time by which an attempt has to end, in microseconds since the Unix epoch.
fn attempt_deadline(request_deadline: Micros, now: Micros, timeout: Micros) -> Micros {
    if timeout == 0 {
        request_deadline
    } else {
        request_deadline.min(now + timeout)
    }
}

/// Returns the end of an attempt of which nothing was written.
fn never_sent(query: QueryId, attempt: u32, engine: EngineId) -> AttemptEnded {
    AttemptEnded {
        query,
        attempt,
        engine,
        outcome: Outcome::NeverSent,
        query_answered: false,
        elapsed: 0,
        cost: None,
        load: LoadReport::default(),
    }
}

impl AttemptEvents for Dispatch {
    fn attempt_progressed(&self, progress: AttemptProgress) {
        let AttemptProgress {
            query,
            number,
            progress,
        } = progress;
        if self.number_in_flight(query) == Some(number) {
            self.queue(Event::Progress {
                query,
                attempt: number,
                progress,
            });
            self.process_events();
        }
    }

    fn attempt_ended(&self, end: AttemptEnd) {
        let mut open = self.open.borrow_mut();
        let Some(request) = open.get_mut(&end.query) else {
            return;
        };
        let is_same = |attempt: &mut AttemptInFlight| attempt.number == end.number;
        let Some(attempt) = request.in_flight.take_if(is_same) else {
            return;
        };
        self.record_end(request, &attempt, end.outcome);
        let timer = TimerEvent::AttemptDeadline {
            query: end.query,
            attempt: end.number,
        };
        self.timers.cancel(attempt.deadline, timer);
        if end.outcome == Outcome::Completed {
            request.answer(Answer::Served(Rc::new(QueryResult {
                pages: end.pages,
                query: end.query,
                attempt: end.number,
            })));
        }
        let query_answered = request.is_answered;
        if query_answered {
            self.close(&mut open, end.query);
        }
        drop(open);
        self.queue(Event::AttemptEnded(AttemptEnded {
            query: end.query,
            attempt: end.number,
            engine: attempt.engine,
            outcome: end.outcome,
            query_answered,
            elapsed: self.clock.now().saturating_sub(attempt.sent_at),
            cost: end.cost,
            load: LoadReport::default(),
        }));
        self.process_events();
    }
}
