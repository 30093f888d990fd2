//! Accepts requests from the client protocols and handles their withdrawal.

use std::rc::Rc;

use violetgate_policy::interface::{Micros, NewQuery, QueryId};
use violetgate_policy::Event;

use super::open_request::OpenRequest;
use super::Dispatch;
use crate::exchange::{Answer, Exchange, RequestIdInUse, RequestSink};

impl RequestSink for Dispatch {
    fn submit(&self, exchange: &Rc<Exchange>) -> Result<(), RequestIdInUse> {
        let id = exchange.id();
        if self.is_shut_down.get() {
            exchange.complete(Answer::ShuttingDown);
            return Ok(());
        }
        if !self.check_fence() {
            exchange.complete(Answer::StateUnconfirmed);
            return Ok(());
        }
        let mut open = self.open.borrow_mut();
        // An engine would treat a second request with the same id as another attempt of the first
        // request, which may already be answered.
        if open.contains_key(&id) || self.recent_ids.borrow().contains(id) {
            return Err(RequestIdInUse);
        }
        let query = exchange.request.query.clone();
        let class = self.classes.get(query.class as usize).copied();
        let request = OpenRequest::new(Rc::clone(exchange), class.unwrap_or_default());
        open.insert(id, request);
        drop(open);
        let client_timeout = exchange.request.deadline().saturating_sub(self.clock.now());
        self.queue(Event::QueryArrived(NewQuery {
            client_timeout,
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
