//! The table of idempotency keys. It records which keys are in use and which requests wait for
//! them, and decides how a repeated request is answered.
//!
//! A key is in use from its first request until the deduplication window of the request's class has
//! passed after the end of the execution:
//!
//! - While the request is in flight, repeats join it and get the same answer.
//! - After it has completed, repeats get the recorded answer.
//! - If it had no effect, the key is free at once.
//! - If its outcome is unknown, a repeat may execute only while engines still discard a second
//!   execution.
//!
//! The number of keys is bounded. A full table rejects new keys and never evicts a key in use.

use std::collections::HashMap;

use crate::{Micros, TimerWheel};

/// A digest, computed by the caller, of everything that must be equal in all requests with one key.
pub type RequestFingerprint = [u8; 16];

/// The decision how to answer a request with an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyLookup<A> {
    /// Execute the request, and report its end with [`IdempotencyKeys::finish`] or
    /// [`IdempotencyKeys::abandon`].
    Execute,
    /// An earlier request with the key is in flight: wait for its answer.
    JoinInFlight,
    /// An earlier request with the key completed with this answer.
    Replay(A),
    /// The key is in use by a request with another fingerprint.
    KeyConflict,
    /// The outcome of an earlier request is unknown, and engines may no longer discard a second
    /// execution, so the request could take effect twice.
    OutcomeUnknown,
    /// The table is full, or too many requests wait for the key.
    Full {
        /// Time in microseconds after which a retry may succeed, or 0 if that is unknown.
        retry_after: Micros,
    },
}

/// The outcome of the execution of a request with an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ExecutionOutcome<A> {
    /// The request was answered.
    Completed(A),
    /// The request was rejected before it could take effect.
    NoEffect,
    /// The request may have taken effect.
    Unknown,
}

#[derive(Debug)]
enum KeyState<W, A> {
    InFlight { waiters: Vec<W> },
    Completed(A),
    OutcomeUnknown,
}

#[derive(Debug)]
struct KeyEntry<W, A> {
    fingerprint: RequestFingerprint,
    /// When the first request with the key arrived. Engines discard repeats for at least
    /// `dedup_window` after this time.
    first_request_at: Micros,
    dedup_window: Micros,
    /// When the entry expires, unless it is in flight. [`NEVER`] until its first execution has
    /// ended.
    expires_at: Micros,
    /// Distinguishes this entry from earlier and later entries with the same key.
    generation: u64,
    state: KeyState<W, A>,
}

const NEVER: Micros = Micros::MAX;

/// An entry of the timer wheel: the key and generation of the entry that expires.
type KeyExpiry = (Box<str>, u64);

/// The table of idempotency keys. `W` identifies a waiting request, and `A` is a recorded answer.
#[derive(Debug)]
pub struct IdempotencyKeys<W, A> {
    max_keys: usize,
    max_waiters_per_key: usize,
    last_generation: u64,
    entries: HashMap<Box<str>, KeyEntry<W, A>>,
    expiries: TimerWheel<KeyExpiry>,
}

impl<W: PartialEq, A: Clone> IdempotencyKeys<W, A> {
    /// Creates an empty table. A `max_waiters_per_key` of 0 counts as 1.
    #[must_use]
    pub fn new(max_keys: usize, max_waiters_per_key: usize, now: Micros) -> Self {
        IdempotencyKeys {
            max_keys,
            max_waiters_per_key: max_waiters_per_key.max(1),
            last_generation: 0,
            entries: HashMap::new(),
            expiries: TimerWheel::new(now),
        }
    }

    /// Changes the maximum number of keys in use. Keys that are in use stay, even if they exceed
    /// it.
    pub fn resize(&mut self, max_keys: usize) {
        self.max_keys = max_keys;
    }

    /// Returns the number of keys in use. Expired keys count until [`IdempotencyKeys::expire`]
    /// removes them.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no key is in use.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns whether an execution of a request with `key` may have taken effect, or may still do
    /// so. The execution that [`KeyLookup::Execute`] has just begun does not count.
    #[must_use]
    pub fn may_have_taken_effect(&self, key: &str, waiter: &W) -> bool {
        self.entries.get(key).is_some_and(|entry| {
            let has_just_begun = match &entry.state {
                KeyState::InFlight { waiters } => waiters.first() == Some(waiter),
                KeyState::Completed(_) | KeyState::OutcomeUnknown => false,
            };
            !(has_just_begun && entry.is_first_execution())
        })
    }

    /// Decides how to answer a request with `key`, and records `waiter` if it executes or joins
    /// another request.
    ///
    /// `dedup_window` is the time in microseconds for which the engines of the request's class
    /// discard a repeat.
    pub fn begin(
        &mut self,
        now: Micros,
        key: &str,
        fingerprint: RequestFingerprint,
        dedup_window: Micros,
        waiter: W,
    ) -> KeyLookup<A> {
        self.expire(now);
        if let Some(entry) = self.entries.get_mut(key) {
            // The timer wheel may hand out an expiry up to a tick late, so the exact time is
            // checked here.
            if entry.has_expired(now) {
                self.entries.remove(key);
            } else {
                return entry.answer_repeat(now, fingerprint, waiter, self.max_waiters_per_key);
            }
        }
        if self.entries.len() >= self.max_keys {
            let retry_after = self.expiries.time_until_next(now).unwrap_or(0);
            return KeyLookup::Full { retry_after };
        }
        self.last_generation += 1;
        let entry = KeyEntry {
            fingerprint,
            first_request_at: now,
            dedup_window,
            expires_at: NEVER,
            generation: self.last_generation,
            state: KeyState::InFlight {
                waiters: vec![waiter],
            },
        };
        self.entries.insert(key.into(), entry);
        KeyLookup::Execute
    }

    /// Records the outcome of the execution for `key`. Returns all requests that wait for its
    /// answer, or none if no request with the key is in flight.
    pub fn finish(&mut self, now: Micros, key: &str, outcome: ExecutionOutcome<A>) -> Vec<W> {
        let Some(entry) = self.entries.get_mut(key) else {
            return Vec::new();
        };
        let KeyState::InFlight { waiters } = &mut entry.state else {
            return Vec::new();
        };
        let waiters = std::mem::take(waiters);
        entry.state = match outcome {
            ExecutionOutcome::Completed(answer) => KeyState::Completed(answer),
            ExecutionOutcome::Unknown => KeyState::OutcomeUnknown,
            ExecutionOutcome::NoEffect if entry.is_first_execution() => {
                self.entries.remove(key);
                return waiters;
            }
            // An earlier execution of the key may have taken effect.
            ExecutionOutcome::NoEffect => KeyState::OutcomeUnknown,
        };
        entry.expires_at = now.saturating_add(entry.dedup_window);
        let expiry = (key.into(), entry.generation);
        self.expiries.insert(entry.expires_at, expiry);
        waiters
    }

    /// Removes a request that no longer waits for the answer.
    ///
    /// Returns `true` if it was the last waiter. The caller must then cancel the execution, whose
    /// outcome is recorded as unknown.
    pub fn abandon(&mut self, now: Micros, key: &str, waiter: &W) -> bool {
        let Some(KeyEntry {
            state: KeyState::InFlight { waiters },
            ..
        }) = self.entries.get_mut(key)
        else {
            return false;
        };
        let count_before = waiters.len();
        waiters.retain(|other| other != waiter);
        let was_last = count_before > 0 && waiters.is_empty();
        if was_last {
            self.finish(now, key, ExecutionOutcome::Unknown);
        }
        was_last
    }

    /// Removes the keys that have expired. Returns the number of removed keys.
    pub fn expire(&mut self, now: Micros) -> usize {
        let count_before = self.entries.len();
        let entries = &mut self.entries;
        self.expiries.advance(now, |(key, generation)| {
            // This expiry may belong to an earlier entry with the same key, or to an earlier
            // execution, and is then ignored.
            let is_due = |e: &KeyEntry<W, A>| e.generation == generation && e.has_expired(now);
            if entries.get(&key).is_some_and(is_due) {
                entries.remove(&key);
            }
        });
        count_before - self.entries.len()
    }
}

impl<W: PartialEq, A: Clone> KeyEntry<W, A> {
    fn has_expired(&self, now: Micros) -> bool {
        !matches!(self.state, KeyState::InFlight { .. }) && self.expires_at <= now
    }

    fn is_first_execution(&self) -> bool {
        self.expires_at == NEVER
    }

    fn answer_repeat(
        &mut self,
        now: Micros,
        fingerprint: RequestFingerprint,
        waiter: W,
        max_waiters: usize,
    ) -> KeyLookup<A> {
        if self.fingerprint != fingerprint {
            return KeyLookup::KeyConflict;
        }
        let engines_discard_repeats = now < self.first_request_at.saturating_add(self.dedup_window);
        match &mut self.state {
            KeyState::InFlight { waiters } if waiters.len() >= max_waiters => {
                KeyLookup::Full { retry_after: 0 }
            }
            KeyState::InFlight { waiters } => {
                waiters.push(waiter);
                KeyLookup::JoinInFlight
            }
            KeyState::Completed(answer) => KeyLookup::Replay(answer.clone()),
            KeyState::OutcomeUnknown if engines_discard_repeats => {
                self.state = KeyState::InFlight {
                    waiters: vec![waiter],
                };
                KeyLookup::Execute
            }
            KeyState::OutcomeUnknown => KeyLookup::OutcomeUnknown,
        }
    }
}

#[cfg(test)]
mod tests;
