//! Compares the table of idempotency keys with a simple model.

use proptest::prelude::*;
use proptest::test_runner::TestCaseError;
use violetgate_result_store::{ExecutionOutcome, IdempotencyKeys, KeyLookup};

use crate::WHEEL_DELAY_US;

const WINDOW_US: u64 = 20_000;
const MAX_KEYS: usize = 3;
const MAX_WAITERS: usize = 3;
const KEY_NAMES: [&str; 4] = ["a", "b", "c", "d"];

/// The model's state of a key in use.
#[derive(Clone, Default)]
struct Expected {
    fingerprint: u8,
    first_request_at: u64,
    expires_at: u64,
    is_in_flight: bool,
    waiters: Vec<u32>,
    answer: Option<u32>,
    was_executed_before: bool,
}

struct Model {
    keys: IdempotencyKeys<u32, u32>,
    entries: [Option<Expected>; KEY_NAMES.len()],
    /// When each key last expired. The table may count the key until the timer wheel has handed it
    /// out.
    expired_at: [u64; KEY_NAMES.len()],
    now: u64,
    last_waiter: u32,
}

impl Model {
    fn new() -> Self {
        Model {
            keys: IdempotencyKeys::new(MAX_KEYS, MAX_WAITERS, 0),
            entries: Default::default(),
            expired_at: [0; KEY_NAMES.len()],
            now: 5_000_000,
            last_waiter: 0,
        }
    }

    fn expire(&mut self) {
        let now = self.now;
        for (entry, expired_at) in self.entries.iter_mut().zip(&mut self.expired_at) {
            if let Some(expired) = entry.take_if(|e| !e.is_in_flight && e.expires_at <= now) {
                *expired_at = expired.expires_at;
            }
        }
    }

    /// Returns the number of expired keys, except `key`, that the table may still count.
    fn expired_but_counted_except(&self, key: usize) -> usize {
        let lingers = |(index, expired_at): &(usize, &u64)| {
            *index != key && **expired_at + WHEEL_DELAY_US > self.now
        };
        self.expired_at.iter().enumerate().filter(lingers).count()
    }

    fn begin(&mut self, key: usize, fingerprint: u8) -> Result<(), TestCaseError> {
        self.last_waiter += 1;
        let (now, waiter) = (self.now, self.last_waiter);
        let in_use = self.entries.iter().flatten().count();
        let lingering = self.expired_but_counted_except(key);
        let found = self
            .keys
            .begin(now, KEY_NAMES[key], [fingerprint; 16], WINDOW_US, waiter);
        let entry = &mut self.entries[key];
        match entry {
            None if matches!(found, KeyLookup::Full { .. }) => {
                prop_assert!(in_use + lingering >= MAX_KEYS);
            }
            None if in_use >= MAX_KEYS => {
                prop_assert!(false, "a full table answered a new key with {:?}", found);
            }
            None => {
                prop_assert_eq!(found, KeyLookup::Execute);
                *entry = Some(Expected {
                    fingerprint,
                    first_request_at: now,
                    is_in_flight: true,
                    waiters: vec![waiter],
                    ..Expected::default()
                });
            }
            Some(entry) => check_repeat(entry, now, fingerprint, waiter, found)?,
        }
        Ok(())
    }

    fn finish(&mut self, key: usize, outcome: ExecutionOutcome<u32>) -> Result<(), TestCaseError> {
        let waiters = self.keys.finish(self.now, KEY_NAMES[key], outcome.clone());
        let slot = &mut self.entries[key];
        let Some(entry) = slot.as_mut().filter(|entry| entry.is_in_flight) else {
            prop_assert!(waiters.is_empty());
            return Ok(());
        };
        prop_assert_eq!(&waiters, &entry.waiters);
        entry.is_in_flight = false;
        entry.expires_at = self.now + WINDOW_US;
        entry.waiters.clear();
        match outcome {
            ExecutionOutcome::Completed(answer) => entry.answer = Some(answer),
            ExecutionOutcome::NoEffect if !entry.was_executed_before => *slot = None,
            ExecutionOutcome::NoEffect | ExecutionOutcome::Unknown => {}
        }
        Ok(())
    }

    fn abandon(&mut self, key: usize) -> Result<(), TestCaseError> {
        let entry = &mut self.entries[key];
        let first_waiter = entry.as_ref().and_then(|e| e.waiters.first().copied());
        let waiter = first_waiter.unwrap_or(u32::MAX);
        let was_last = self.keys.abandon(self.now, KEY_NAMES[key], &waiter);
        let Some(entry) = entry.as_mut().filter(|entry| entry.is_in_flight) else {
            prop_assert!(!was_last);
            return Ok(());
        };
        entry.waiters.retain(|other| *other != waiter);
        prop_assert_eq!(was_last, entry.waiters.is_empty());
        if was_last {
            entry.is_in_flight = false;
            entry.expires_at = self.now + WINDOW_US;
        }
        Ok(())
    }

    fn check_count(&mut self) -> Result<(), TestCaseError> {
        self.keys.expire(self.now);
        let in_use = |e: &&Expected| e.is_in_flight || e.expires_at > self.now;
        let expected = self.entries.iter().flatten().filter(in_use).count();
        prop_assert!(self.keys.len() >= expected && self.keys.len() <= MAX_KEYS);
        Ok(())
    }
}

fn check_repeat(
    entry: &mut Expected,
    now: u64,
    fingerprint: u8,
    waiter: u32,
    found: KeyLookup<u32>,
) -> Result<(), TestCaseError> {
    if entry.fingerprint != fingerprint {
        prop_assert_eq!(found, KeyLookup::KeyConflict);
    } else if entry.is_in_flight && entry.waiters.len() >= MAX_WAITERS {
        prop_assert_eq!(found, KeyLookup::Full { retry_after: 0 });
    } else if entry.is_in_flight {
        prop_assert_eq!(found, KeyLookup::JoinInFlight);
        entry.waiters.push(waiter);
    } else if let Some(answer) = entry.answer {
        prop_assert_eq!(found, KeyLookup::Replay(answer));
    } else if now < entry.first_request_at + WINDOW_US {
        prop_assert_eq!(found, KeyLookup::Execute);
        entry.is_in_flight = true;
        entry.was_executed_before = true;
        entry.waiters = vec![waiter];
    } else {
        prop_assert_eq!(found, KeyLookup::OutcomeUnknown);
    }
    Ok(())
}

proptest! {
    /// At most one request of a key executes at a time. A completed answer is replayed only within
    /// the window. A request that may have taken effect is executed again only within the window
    /// after the first request. Every waiter is notified once.
    #[test]
    fn keys_match_model(
        calls in proptest::collection::vec((0u8..6, 0usize..4, 0u8..2, 1u64..9_000), 1..200),
    ) {
        let mut model = Model::new();
        for (operation, key, fingerprint, span) in calls {
            model.expire();
            match operation {
                0..=2 => model.begin(key, fingerprint)?,
                3 => {
                    let answer = model.last_waiter;
                    let outcomes = [
                        ExecutionOutcome::Completed(answer),
                        ExecutionOutcome::Unknown,
                        ExecutionOutcome::NoEffect,
                    ];
                    model.finish(key, outcomes[span as usize % 3].clone())?;
                }
                4 => model.abandon(key)?,
                _ => model.now += span,
            }
            model.check_count()?;
        }
    }
}
