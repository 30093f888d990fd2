//! Idempotency keys: which are in use, which requests wait for them, and what answers a repeat.
//!
//! A key is in use from its first request until its class's deduplication window after that
//! request's end:
//!
//! - while the request runs, repeats join it and get the same answer;
//! - once it completed, repeats get the recorded answer;
//! - if it had no effect, the key is free at once;
//! - if its outcome is unknown, a repeat may execute only while engines still discard a second
//!   execution.
//!
//! The table is bounded. When full it rejects new keys; it never evicts one that is in use.

use std::collections::HashMap;

use crate::{Micros, TimerWheel};

/// A digest, made by the caller, of what has to be equal in all requests of one key.
pub type RequestFingerprint = [u8; 16];

/// How a request with a key is to be answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyLookup<A> {
    /// Execute it, and report its end with [`IdempotencyKeys::finish`] or
    /// [`IdempotencyKeys::abandon`].
    Execute,
    /// An earlier request of the key is in flight: wait for its answer.
    JoinInFlight,
    /// An earlier request completed with this answer.
    Replay(A),
    /// The key is in use by a different request.
    KeyConflict,
    /// The outcome of an earlier request is unknown, and a second execution might take effect
    /// twice.
    OutcomeUnknown,
    /// The table is full, or too many requests wait for the key.
    Full {
        /// After how long, in microseconds, a retry may succeed; 0 if that is unknown.
        retry_after: Micros,
    },
}

/// How the execution for a key ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ExecutionOutcome<A> {
    /// It was answered.
    Completed(A),
    /// It was rejected before it could take effect.
    NoEffect,
    /// It may have taken effect.
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
    /// When the key's first request came: engines discard repeats at least for `dedup_window` from
    /// then on.
    first_request_at: Micros,
    dedup_window: Micros,
    /// When the entry expires, unless it is in flight; [`NEVER`] until an execution has ended.
    expires_at: Micros,
    /// Distinguishes this entry from others that used the same key before or after.
    generation: u64,
    state: KeyState<W, A>,
}

const NEVER: Micros = Micros::MAX;

/// An entry of the timer wheel: the key and the generation that expires.
type KeyExpiry = (Box<str>, u64);

/// The table of idempotency keys. Waiters are identified by `W`, recorded answers are `A`.
#[derive(Debug)]
pub struct IdempotencyKeys<W, A> {
    max_keys: usize,
    max_waiters_per_key: usize,
    last_generation: u64,
    entries: HashMap<Box<str>, KeyEntry<W, A>>,
    expiries: TimerWheel<KeyExpiry>,
}

impl<W: PartialEq, A: Clone> IdempotencyKeys<W, A> {
    /// Creates an empty table. At least one waiter is allowed for each key.
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

    /// Changes how many keys may be in use. Those in use stay.
    pub fn resize(&mut self, max_keys: usize) {
        self.max_keys = max_keys;
    }

    /// How many keys are in use.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no key is in use.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Decides how a request with `key` is to be answered.
    ///
    /// `dedup_window` is for how long, in microseconds, the engines of the request's class discard
    /// a repeat.
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
            // An entry expires at its exact moment, whether the wheel has come to it or not.
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

    /// Records the end of the execution for a key; returns all that wait for its answer.
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

    /// Removes a waiter that no longer waits.
    ///
    /// Returns `true` if it was the last one: the caller then cancels the execution, whose outcome
    /// counts as unknown.
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

    /// Removes the keys that have expired; returns how many.
    pub fn expire(&mut self, now: Micros) -> usize {
        let count_before = self.entries.len();
        let entries = &mut self.entries;
        self.expiries.advance(now, |(key, generation)| {
            // A later use of the key, or a second execution, has an expiry of its own.
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
