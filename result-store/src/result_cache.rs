//! The cache of results, whose pages a client may fetch with a token until the result expires.
//!
//! A result is complete when it enters the cache, so fetching a page never depends on the engine
//! that produced the result. Its memory is reserved before its request is admitted. A result is
//! removed only when it expires or its client deletes it: a full cache rejects new requests and
//! never evicts a result.

use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;

use crate::page_token::{AttemptId, PageToken, TokenSealer};
use crate::{ByteBudget, ByteReservation, Micros, TimerWheel};

/// Limits on the size and number of cached results.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResultLimits {
    /// Maximum size of all results together, in bytes.
    pub total_bytes: usize,
    /// Maximum size of one result, in bytes. The cache reserves this much before a request is
    /// admitted.
    pub max_result_bytes: usize,
    /// Maximum number of results, including those whose requests are in flight.
    pub max_results: usize,
}

/// The reason why the page for a token was not found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LookupError {
    /// The token was not sealed by this process, or the result has no page with the requested
    /// number.
    UnknownToken,
    /// The result has expired, or its client deleted it.
    Gone,
}

/// The error of [`ResultCache::reserve`] when the cache is full.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CacheFull {
    /// Time in microseconds until the next cached result may expire, or 0 if none is cached.
    pub retry_after: Micros,
}

/// Capacity reserved for the result of a request in flight. Dropping the slot frees the capacity.
#[derive(Debug)]
pub struct ResultSlot {
    reservation: ByteReservation,
    _in_flight: InFlightGuard,
}

/// A guard that counts a result as in flight until it is dropped.
#[derive(Debug)]
struct InFlightGuard(Rc<Cell<usize>>);

impl InFlightGuard {
    fn add_to(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        InFlightGuard(Rc::clone(count))
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

/// A complete result for [`ResultCache::insert`].
#[derive(Debug)]
pub struct NewResult<P> {
    /// The pages of the result, which the cache shares with its readers.
    pub pages: Rc<P>,
    /// Size of the pages in bytes.
    pub bytes: usize,
    /// The attempt that produced the result.
    pub origin: AttemptId,
    /// When the result expires, in microseconds. Its pages can't be fetched from then on.
    pub expires_at: Micros,
}

/// A cached result and the token that identifies it.
#[derive(Debug)]
pub struct CachedResult<P> {
    /// The decoded fields of the client's token.
    pub token: PageToken,
    /// The pages of the result, shared with the cache.
    pub pages: Rc<P>,
}

#[derive(Debug)]
struct Entry<P> {
    token: PageToken,
    pages: Rc<P>,
    _reservation: ByteReservation,
}

/// The cache of results. `P` is the type of a result's pages.
#[derive(Debug)]
pub struct ResultCache<P> {
    sealer: TokenSealer,
    budget: ByteBudget,
    limits: ResultLimits,
    entries: HashMap<u64, Entry<P>>,
    expiries: TimerWheel<u64>,
    last_result_id: u64,
    /// Number of reserved slots whose results are not cached yet.
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

    /// Changes the limits. Cached results stay, even if they exceed the new limits.
    pub fn set_limits(&mut self, limits: ResultLimits) {
        self.limits = limits;
        self.budget.resize(limits.total_bytes);
    }

    /// Returns the memory budget of the results.
    #[must_use]
    pub fn budget(&self) -> &ByteBudget {
        &self.budget
    }

    /// Returns the number of cached results. Expired results count until [`ResultCache::expire`]
    /// removes them.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no result is cached.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Reserves capacity for one result of maximum size. Call this before its request is admitted.
    ///
    /// # Errors
    ///
    /// Returns [`CacheFull`] if the maximum number of results is reached or too few bytes are
    /// available.
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
            _in_flight: InFlightGuard::add_to(&self.in_flight),
        })
    }

    /// Caches a result in the slot reserved for it, and returns the text of its token.
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

    /// Returns the result that a token's text identifies.
    ///
    /// # Errors
    ///
    /// Returns [`LookupError::UnknownToken`] if this process did not seal the token, and
    /// [`LookupError::Gone`] if its result is not cached any more.
    pub fn get(&self, now: Micros, token_text: &str) -> Result<CachedResult<P>, LookupError> {
        let token = self.sealer.open(token_text);
        // The lookup takes place for invalid tokens too, so that rejecting a forged token takes as
        // long as looking up a valid one.
        let entry = self.entries.get(&token.map_or(0, |token| token.result_id));
        let token = token.ok_or(LookupError::UnknownToken)?;
        // The timer wheel may hand out an expiry up to a tick late, so the exact time is checked
        // here.
        let entry = entry
            .filter(|entry| entry.token == token && now < token.expires_at)
            .ok_or(LookupError::Gone)?;
        Ok(CachedResult {
            token,
            pages: Rc::clone(&entry.pages),
        })
    }

    /// Removes a result before it expires, at the request of its client.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`ResultCache::get`].
    pub fn delete(&mut self, now: Micros, token_text: &str) -> Result<(), LookupError> {
        let cached = self.get(now, token_text)?;
        self.entries.remove(&cached.token.result_id);
        Ok(())
    }

    /// Removes the results that have expired. Returns the number of removed results.
    pub fn expire(&mut self, now: Micros) -> usize {
        let count_before = self.entries.len();
        let entries = &mut self.entries;
        self.expiries.advance(now, |result_id| {
            entries.remove(&result_id);
        });
        count_before - self.entries.len()
    }

    /// Returns the time at which [`ResultCache::expire`] must be called next, or `None` if no
    /// expiry is pending.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Micros> {
        self.expiries.next_expiry()
    }
}
