//! Accepts requests from the client protocols and handles their withdrawal.

use std::rc::Rc;

use violetgate_policy::interface::{Idempotency, Micros, NewQuery, PossibleRun, QueryId};
use violetgate_policy::Event;

use super::open_request::{ClassProperties, OpenRequest};
use super::sent_keys::TooManyKeys;
use super::Dispatch;
use crate::exchange::{Answer, Exchange, Request, RequestIdInUse, RequestSink};
use crate::fence::rejection_or_failure;

/// The retry-after of a request that is rejected because too much is remembered of earlier ones, in
/// microseconds.
const TOO_MUCH_RETAINED_RETRY_AFTER_US: Micros = 1_000_000;

impl Dispatch {
    /// Returns the attempts of earlier requests with the same idempotency key that may have run and
    /// that engines may remember.
    fn earlier_run(&self, request: &Request, class: ClassProperties) -> Option<PossibleRun> {
        let key = request.idempotency_key.as_deref()?;
        if class.idempotency != Idempotency::Deduplicated {
            return None;
        }
        self.sent_keys
            .borrow_mut()
            .earlier_run(key, self.clock.now())
    }

    /// Returns the rejection that every new request gets at the moment, if there is one.
    fn rejection_of_all(&self) -> Option<Answer> {
        if self.is_shut_down.get() {
            return Some(Answer::ShuttingDown);
        }
        (!self.check_fence()).then_some(Answer::StateUnconfirmed)
    }
}

impl RequestSink for Dispatch {
    fn submit(&self, exchange: &Rc<Exchange>) -> Result<(), RequestIdInUse> {
        let id = exchange.id();
        let query = exchange.request.query.clone();
        let class = self.classes.get(query.class as usize).copied();
        let class = class.unwrap_or_default();
        let earlier_run = self.earlier_run(&exchange.request, class);
        let request = OpenRequest::new(Rc::clone(exchange), class, earlier_run);
        if let Some(rejection) = self.rejection_of_all() {
            let may_have_run = request.may_have_run();
            exchange.complete(rejection_or_failure(
                class.idempotency,
                may_have_run,
                rejection,
            ));
            return Ok(());
        }
        let mut open = self.open.borrow_mut();
        // An engine would treat a second request with the same id as another attempt of the first
        // request, which may already be answered.
        if open.contains_key(&id) || self.recent_ids.borrow().contains(id) {
            return Err(RequestIdInUse);
        }
        let key = request.dedup_key();
        let opened = key.map_or(Ok(()), |key| self.sent_keys.borrow_mut().open(key, id));
        let retained = self.retained_memory.charge(&self.retained_counts(&open));
        if opened == Err(TooManyKeys) || retained.is_err() {
            if let Some(key) = key {
                self.sent_keys.borrow_mut().closed(key, id);
            }
            exchange.complete(Answer::Rejected {
                retry_after: TOO_MUCH_RETAINED_RETRY_AFTER_US,
            });
            return Ok(());
        }
        open.insert(id, request);
        drop(open);
        let client_timeout = exchange.request.deadline().saturating_sub(self.clock.now());
        self.queue(Event::QueryArrived(NewQuery {
            client_timeout,
            earlier_run,
            ..query
        }));
        self.process_events();
        Ok(())
    }

    fn withdraw(&self, query: QueryId) {
        let mut open = self.open.borrow_mut();
        let Some(request) = open.get_mut(&query) else {
            return;
        };
        if std::mem::replace(&mut request.is_answered, true) {
            return;
        }
        if request.in_flight.is_none() {
            self.close(&mut open, query);
        }
        drop(open);
        self.queue(Event::ClientDisconnected { query });
        self.process_events();
        self.recall_attempt(query);
    }

    fn now(&self) -> Micros {
        self.clock.now()
    }
}
