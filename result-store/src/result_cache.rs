//! Cached results, whose pages a client may fetch with a token until the result expires.
//!
//! A result is complete when it enters the cache, so that a page never depends on the engine that
//! made it. Its bytes were reserved before its request was admitted, and only its expiry or its
//! client removes it: a full cache rejects new requests, it never evicts.

use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;

use crate::page_token::{AttemptId, PageToken, TokenSealer};
use crate::{ByteBudget, ByteReservation, Micros, TimerWheel};

/// What cached results may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResultLimits {
    /// Bytes of all results together.
    pub total_bytes: usize,
    /// Bytes of one result at most; as many are reserved before its request is admitted.
    pub max_result_bytes: usize,
    /// Results at a time, those whose requests are in flight included.
    pub max_results: usize,
}

/// Why a token has no page.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LookupError {
    /// This process has sealed no such token, or the result has no page of that number.
    UnknownToken,
    /// The result has expired, or its client has deleted it.
    Gone,
}

/// The cache is full.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CacheFull {
    /// After how long, in microseconds, the first cached result expires; 0 if there is none.
    pub retry_after: Micros,
}

/// Reserved capacity for a result that is still being made. Dropping it frees the capacity.
#[derive(Debug)]
pub struct ResultSlot {
    reservation: ByteReservation,
    _in_flight: InFlightCount,
}

/// One of the results that are still being made, counted until it is dropped.
#[derive(Debug)]
struct InFlightCount(Rc<Cell<usize>>);

impl InFlightCount {
    fn add_to(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        InFlightCount(Rc::clone(count))
    }
}

impl Drop for InFlightCount {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

/// A result to be cached.
#[derive(Debug)]
pub struct NewResult<P> {
    /// Its pages.
    pub pages: Rc<P>,
    /// The bytes that they occupy.
    pub bytes: usize,
    /// The attempt that made it.
    pub origin: AttemptId,
    /// Until when its pages may be fetched, in microseconds.
    pub expires_at: Micros,
}

/// A cached result and the token that names it.
#[derive(Debug)]
pub struct CachedResult<P> {
    /// What the client's token stands for.
    pub token: PageToken,
    /// The result's pages.
    pub pages: Rc<P>,
}

#[derive(Debug)]
struct Entry<P> {
    token: PageToken,
    pages: Rc<P>,
    _reservation: ByteReservation,
}

/// All cached results, of pages `P`.
#[derive(Debug)]
pub struct ResultCache<P> {
    sealer: TokenSealer,
    budget: ByteBudget,
    limits: ResultLimits,
    entries: HashMap<u64, Entry<P>>,
    expiries: TimerWheel<u64>,
    last_result_id: u64,
    /// Slots that are reserved and whose results are not cached yet.
    in_flight: Rc<Cell<usize>>,
}

impl<P> ResultCache<P> {
    /// Creates an empty cache.
    #[must_use]
    pub fn new(sealer: TokenSealer, limits: ResultLimits, now: Micros) -> Self {
        ResultCache {
            sealer,
            budget: ByteBudget::new(limits.total_bytes),
            limits,
            entries: HashMap::new(),
            expiries: TimerWheel::new(now),
            last_result_id: 0,
            in_flight: Rc::default(),
        }
    }

    /// Changes the limits. Cached results stay.
    pub fn set_limits(&mut self, limits: ResultLimits) {
        self.limits = limits;
        self.budget.resize(limits.total_bytes);
    }

    /// The budget of bytes.
    #[must_use]
    pub fn budget(&self) -> &ByteBudget {
        &self.budget
    }

    /// How many results are cached.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no result is cached.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Reserves capacity for one result, before its request is admitted.
    ///
    /// # Errors
    ///
    /// [`CacheFull`] if there are too many results or too few bytes.
    pub fn reserve(&mut self, now: Micros) -> Result<ResultSlot, CacheFull> {
        self.expire(now);
        let has_slot = self.entries.len() + self.in_flight.get() < self.limits.max_results;
        let reservation = has_slot
            .then(|| self.budget.reserve(self.limits.max_result_bytes))
            .flatten();
        let reservation = reservation.ok_or_else(|| CacheFull {
            retry_after: self.expiries.time_until_next(now).unwrap_or(0),
        })?;
        Ok(ResultSlot {
            reservation,
            _in_flight: InFlightCount::add_to(&self.in_flight),
        })
    }

    /// Caches a result in the slot that was reserved for it; returns its token's text.
    pub fn insert(&mut self, slot: ResultSlot, result: NewResult<P>) -> String {
        let mut reservation = slot.reservation;
        reservation.shrink(result.bytes);
        self.last_result_id += 1;
        let token = PageToken {
            result_id: self.last_result_id,
            origin: result.origin,
            expires_at: result.expires_at,
        };
        self.expiries.insert(token.expires_at, token.result_id);
        let entry = Entry {
            token,
            pages: result.pages,
            _reservation: reservation,
        };
        self.entries.insert(token.result_id, entry);
        self.sealer.seal(&token)
    }

    /// Finds the result that a token's text stands for.
    ///
    /// # Errors
    ///
    /// [`LookupError`] if the token is not of this process, or its result is not cached any more.
    pub fn get(&self, now: Micros, token_text: &str) -> Result<CachedResult<P>, LookupError> {
        let token = self.sealer.open(token_text);
        // Looked up in any case, so that a forged token takes as long as a good one.
        let entry = self.entries.get(&token.map_or(0, |token| token.result_id));
        let token = token.ok_or(LookupError::UnknownToken)?;
        // A result expires at its exact moment, whether the wheel has come to it or not.
        let entry = entry
            .filter(|entry| entry.token == token && now < token.expires_at)
            .ok_or(LookupError::Gone)?;
        Ok(CachedResult {
            token,
            pages: Rc::clone(&entry.pages),
        })
    }

    /// Removes a result before it expires, on its client's request.
    ///
    /// # Errors
    ///
    /// [`LookupError`] as for [`ResultCache::get`].
    pub fn delete(&mut self, now: Micros, token_text: &str) -> Result<(), LookupError> {
        let cached = self.get(now, token_text)?;
        self.entries.remove(&cached.token.result_id);
        Ok(())
    }

    /// Removes the results that have expired; returns how many.
    pub fn expire(&mut self, now: Micros) -> usize {
        let count_before = self.entries.len();
        let entries = &mut self.entries;
        self.expiries.advance(now, |result_id| {
            entries.remove(&result_id);
        });
        count_before - self.entries.len()
    }

    /// When [`ResultCache::expire`] has to be called next.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Micros> {
        self.expiries.next_expiry()
    }
}
