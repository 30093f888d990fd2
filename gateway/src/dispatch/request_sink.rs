//! What client protocols ask of the dispatcher: requests in, and clients that no longer wait. It decides nothing.

use super::*;
use crate::exchange::RequestSink;

impl RequestSink for Dispatch {
    fn submit(&self, exchange: &Rc<Exchange>) -> bool {
        let id = exchange.request.query.id;
        if self.closed.get() {
            exchange.complete(Answer::ShuttingDown);
            return true;
        }
        if !self.may_send() {
            exchange.complete(Answer::StateUnconfirmed);
            return true;
        }
        let mut open = self.open.borrow_mut();
        // An engine that meets an id again takes it for a further attempt of the first request, whose turn and
        // whose answer have passed.
        if open.contains_key(&id) || self.spent.borrow().ids.contains(&id) {
            return false;
        }
        let query = exchange.request.query.clone();
        let (effect, window) = self
            .effects
            .get(query.class as usize)
            .copied()
            .unwrap_or_default();
        let exchange = Rc::clone(exchange);
        let client_timeout = exchange.request.deadline().saturating_sub(self.clock.now());
        let window = window.filter(|_| effect == Idempotency::Deduplicated);
        let (level, first, out) = (None, None, None);
        let (answered, attempts, grant_mb) = (false, 0, 0);
        open.insert(
            id,
            Open {
                exchange,
                effect,
                window,
                first,
                answered,
                attempts,
                level,
                grant_mb,
                out,
            },
        );
        drop(open);
        self.events
            .borrow_mut()
            .push_back(Event::QueryArrived(NewQuery {
                client_timeout,
                ..query
            }));
        self.run();
        true
    }

    fn withdraw(&self, query: QueryId) {
        let mut open = self.open.borrow_mut();
        let Some(o) = open.get_mut(&query).filter(|o| !o.answered) else {
            return;
        };
        o.answered = true;
        if o.out.is_none() {
            self.strike(&mut open, query);
        }
        drop(open);
        self.events
            .borrow_mut()
            .push_back(Event::ClientDisconnected { query });
        self.run();
        self.recall(query);
    }

    fn now(&self) -> Micros {
        self.clock.now()
    }
}
