//! A request that has no answer yet, or still has an attempt in flight.

use std::rc::Rc;

use violetgate_policy::interface::{Class, EngineId, Idempotency, Micros, PossibleRun};

use crate::exchange::{Answer, Exchange};

/// The properties of a request class that the dispatcher uses.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ClassProperties {
    /// Whether requests of the class may be repeated, and whether engines discard repeats.
    pub idempotency: Idempotency,
    /// For how long after the first attempt engines discard repeats of a request, in microseconds.
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

/// The attempt of a request that was sent upstream and has not ended. Times are in microseconds
/// since the Unix epoch.
pub(super) struct AttemptInFlight {
    pub number: u32,
    pub engine: EngineId,
    pub sent_at: Micros,
    pub deadline: Micros,
}

/// A request that has no answer yet, or still has an attempt in flight.
pub(super) struct OpenRequest {
    pub exchange: Rc<Exchange>,
    pub idempotency: Idempotency,
    /// For how long after `dedup_window_start` engines discard repeats of this request, in
    /// microseconds. `None`: they don't.
    pub dedup_window: Option<Micros>,
    /// When the first attempt that may have run was sent, in microseconds since the Unix epoch.
    /// The deduplication window begins at this time. Attempts of earlier requests with the same
    /// idempotency key count.
    pub dedup_window_start: Option<Micros>,
    pub is_answered: bool,
    /// The number of attempts so far, which is also the number of the next attempt.
    pub attempts: u32,
    pub priority: Option<u8>,
    pub memory_grant_mb: u64,
    pub in_flight: Option<AttemptInFlight>,
}

impl OpenRequest {
    /// `earlier_run` are the attempts of earlier requests with the same idempotency key that may
    /// have run.
    pub(super) fn new(
        exchange: Rc<Exchange>,
        class: ClassProperties,
        earlier_run: Option<PossibleRun>,
    ) -> Self {
        let is_deduplicated = class.idempotency == Idempotency::Deduplicated;
        OpenRequest {
            exchange,
            idempotency: class.idempotency,
            dedup_window: class.dedup_window.filter(|_| is_deduplicated),
            dedup_window_start: earlier_run.map(|run| run.sent_at),
            is_answered: false,
            attempts: 0,
            priority: None,
            memory_grant_mb: 0,
            in_flight: None,
        }
    }

    /// Completes the request with an answer, unless it already has one.
    pub(super) fn answer(&mut self, answer: Answer) {
        if !std::mem::replace(&mut self.is_answered, true) {
            self.exchange.complete(answer);
        }
    }

    /// Returns the idempotency key by which engines discard repeats of the request, if there is one.
    pub(super) fn dedup_key(&self) -> Option<&str> {
        if self.idempotency != Idempotency::Deduplicated {
            return None;
        }
        self.exchange.request.idempotency_key.as_deref()
    }

    /// Records an attempt that may have run, of this request or of another one with its idempotency
    /// key.
    pub(super) fn record_possible_run(&mut self, sent_at: Micros) {
        let start = self.dedup_window_start.unwrap_or(sent_at);
        self.dedup_window_start = Some(start.min(sent_at));
    }

    /// Returns whether the request or another one with its idempotency key may have run.
    pub(super) fn may_have_run(&self) -> bool {
        self.attempts > 0 || self.dedup_window_start.is_some()
    }

    /// Returns whether the request was never sent and engines would no longer discard it, although
    /// another request with its idempotency key may have run.
    pub(super) fn is_outside_dedup_window(&self, now: Micros) -> bool {
        let dedup_window = self.dedup_window_start.zip(self.dedup_window);
        self.attempts == 0 && dedup_window.is_some_and(|(start, length)| now >= start + length)
    }

    /// Returns the time by which an attempt with this deadline has to begin, in microseconds since
    /// the Unix epoch. An attempt may wait for a connection. It must not begin after the
    /// deduplication window, because the engine would then run the request a second time.
    pub(super) fn begin_by(&self, deadline: Micros) -> Micros {
        let dedup_window = self.dedup_window_start.zip(self.dedup_window);
        dedup_window.map_or(deadline, |(start, length)| deadline.min(start + length))
    }
}
