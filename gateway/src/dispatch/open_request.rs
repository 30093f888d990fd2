//! A request that has no answer yet, or still has an attempt in flight.

use std::rc::Rc;

use violetgate_policy::interface::{Class, EngineId, Idempotency, Micros};

use crate::exchange::{Answer, Exchange};

/// What the dispatcher needs to know of a class of requests.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ClassProperties {
    /// Whether its requests may be repeated.
    pub idempotency: Idempotency,
    /// For how long engines discard a repeat, in microseconds.
    pub dedup_window: Option<Micros>,
}

impl ClassProperties {
    pub(super) fn from_class(class: &Class) -> Self {
        ClassProperties {
            idempotency: class.idempotency,
            dedup_window: class.dedup_window,
        }
    }
}

/// An attempt in flight.
pub(super) struct AttemptInFlight {
    pub number: u32,
    pub engine: EngineId,
    pub sent_at: Micros,
    pub deadline: Micros,
}

/// A request without its answer, or with an attempt in flight.
pub(super) struct OpenRequest {
    pub exchange: Rc<Exchange>,
    pub idempotency: Idempotency,
    /// For how long engines discard a repeat, where they do.
    pub dedup_window: Option<Micros>,
    /// When the first attempt was sent that an engine may have seen.
    pub first_seen_at: Option<Micros>,
    pub is_answered: bool,
    /// Attempts so far; also the number of the next one.
    pub attempts: u32,
    pub priority: Option<u8>,
    pub memory_grant_mb: u64,
    pub in_flight: Option<AttemptInFlight>,
}

impl OpenRequest {
    pub(super) fn new(exchange: Rc<Exchange>, class: ClassProperties) -> Self {
        let is_deduplicated = class.idempotency == Idempotency::Deduplicated;
        OpenRequest {
            exchange,
            idempotency: class.idempotency,
            dedup_window: class.dedup_window.filter(|_| is_deduplicated),
            first_seen_at: None,
            is_answered: false,
            attempts: 0,
            priority: None,
            memory_grant_mb: 0,
            in_flight: None,
        }
    }

    /// Gives the request its answer, unless it has one.
    pub(super) fn answer(&mut self, answer: Answer) {
        if !std::mem::replace(&mut self.is_answered, true) {
            self.exchange.complete(answer);
        }
    }

    /// The moment by which an attempt has to begin. It may wait for a connection: a repeat that
    /// left after the deduplication window would run a second time.
    pub(super) fn begin_by(&self, deadline: Micros) -> Micros {
        let window_end = self.first_seen_at.zip(self.dedup_window);
        window_end.map_or(deadline, |(first, window)| deadline.min(first + window))
    }
}
