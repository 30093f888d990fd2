//! Regression tests that detect any change of behaviour. Each part of the store handles
//! pseudorandom sequences of calls, and an FNV-1a hash over its encoded answers must equal the
//! recorded digest.

#![allow(
    clippy::unwrap_used,
    clippy::indexing_slicing,
    reason = "a failed step fails the test"
)]

use std::rc::Rc;

use violetgate_result_store::{
    AttemptId, ByteBudget, ExecutionOutcome, IdempotencyKeys, KeyLookup, LookupError, NewResult,
    PageToken, ResultCache, ResultLimits, ResultSlot, TimerWheel, TokenSealer,
};

/// A 64-bit FNV-1a hash.
struct Fnv(u64);

impl Fnv {
    fn new() -> Self {
        Fnv(0xcbf2_9ce4_8422_2325)
    }

    fn number(&mut self, number: u64) {
        self.text(&number.to_le_bytes());
    }

    fn text(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }
}

/// A linear congruential generator of pseudorandom numbers.
struct Lcg(u64);

impl Lcg {
    fn below(&mut self, limit: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 20) % limit.max(1)
    }
}

fn write_lookup(hash: &mut Fnv, lookup: KeyLookup<u32>) {
    match lookup {
        KeyLookup::Execute => hash.number(1),
        KeyLookup::JoinInFlight => hash.number(2),
        KeyLookup::Replay(answer) => {
            hash.number(3);
            hash.number(u64::from(answer));
        }
        KeyLookup::KeyConflict => hash.number(4),
        KeyLookup::OutcomeUnknown => hash.number(5),
        KeyLookup::Full { retry_after: wait } => {
            hash.number(6);
            hash.number(wait);
        }
    }
}

#[test]
fn idempotency_key_answers_match_recorded_digest() {
    let mut hash = Fnv::new();
    for seed in 0..20u64 {
        let mut rng = Lcg(seed);
        let mut now = 1_000_000 + rng.below(1_000_000_000);
        let mut keys: IdempotencyKeys<u32, u32> = IdempotencyKeys::new(40, 3, now);
        for call in 0..5_000u32 {
            now += rng.below(40_000);
            let key = format!("key-{}", rng.below(60));
            let window = 100_000 + rng.below(3) * 4_000_000;
            match rng.below(10) {
                0..=4 => {
                    let fingerprint = [rng.below(20).saturating_sub(18) as u8; 16];
                    let lookup = keys.begin(now, &key, fingerprint, window, call % 50);
                    write_lookup(&mut hash, lookup);
                }
                5..=7 => {
                    let outcome = match rng.below(4) {
                        0 | 1 => ExecutionOutcome::Completed(call),
                        2 => ExecutionOutcome::NoEffect,
                        _ => ExecutionOutcome::Unknown,
                    };
                    for waiter in keys.finish(now, &key, outcome) {
                        hash.number(u64::from(waiter));
                    }
                }
                8 => {
                    let waiter = rng.below(50) as u32;
                    hash.number(u64::from(keys.abandon(now, &key, &waiter)));
                }
                _ => {
                    if rng.below(20) == 0 {
                        keys.resize(20 + rng.below(40) as usize);
                    }
                    hash.number(keys.expire(now) as u64);
                }
            }
            hash.number(keys.len() as u64);
            hash.number(u64::from(keys.is_empty()));
        }
    }
    assert_eq!(hash.0, 0x2ae9_6bc1_2b76_7e80, "{:#018x}", hash.0);
}

fn write_error(hash: &mut Fnv, error: LookupError) {
    hash.number(match error {
        LookupError::UnknownToken => 11,
        LookupError::Gone => 12,
    });
}

/// A cache with its reserved slots and the tokens that it has returned.
struct CacheCalls {
    cache: ResultCache<u64>,
    slots: Vec<ResultSlot>,
    tokens: Vec<String>,
    rng: Lcg,
    now: u64,
}

const LIMITS: ResultLimits = ResultLimits {
    total_bytes: 10_000,
    max_result_bytes: 900,
    max_results: 15,
};

impl CacheCalls {
    fn new(seed: u64) -> Self {
        let mut rng = Lcg(seed);
        let now = 1_700_000_000_000_000 + rng.below(1_000_000_000);
        let sealer = TokenSealer::new(&[seed as u8; 32]);
        CacheCalls {
            cache: ResultCache::new(sealer, LIMITS, now),
            slots: Vec::new(),
            tokens: vec!["no token".to_owned()],
            rng,
            now,
        }
    }

    fn make_call(&mut self, call: u64, hash: &mut Fnv) {
        self.now += self.rng.below(100_000);
        match self.rng.below(12) {
            0..=3 => self.reserve(hash),
            4 | 5 => self.insert(call, hash),
            6 => drop(self.slots.pop()),
            7 | 8 => self.get(hash),
            9 => {
                let token = self.any_token();
                match self.cache.delete(self.now, &token) {
                    Ok(()) => hash.number(9),
                    Err(error) => write_error(hash, error),
                }
            }
            10 => hash.number(self.cache.expire(self.now) as u64),
            _ => {
                if self.rng.below(30) == 0 {
                    let total_bytes = 4_000 + self.rng.below(10_000) as usize;
                    self.cache.set_limits(ResultLimits {
                        total_bytes,
                        ..LIMITS
                    });
                }
                hash.number(self.cache.next_expiry().unwrap_or(u64::MAX));
            }
        }
        hash.number(self.cache.len() as u64);
        hash.number(u64::from(self.cache.is_empty()));
        hash.number(self.cache.budget().reserved() as u64);
        hash.number(self.cache.budget().capacity() as u64);
    }

    fn any_token(&mut self) -> String {
        let index = self.rng.below(self.tokens.len() as u64) as usize;
        self.tokens[index].clone()
    }

    fn reserve(&mut self, hash: &mut Fnv) {
        match self.cache.reserve(self.now) {
            Ok(slot) => {
                hash.number(1);
                self.slots.push(slot);
            }
            Err(full) => {
                hash.number(2);
                hash.number(full.retry_after);
            }
        }
    }

    fn insert(&mut self, call: u64, hash: &mut Fnv) {
        let Some(slot) = self.slots.pop() else {
            return;
        };
        let bytes = self.rng.below(1_200) as usize;
        let result = NewResult {
            pages: Rc::new(call),
            bytes,
            origin: AttemptId {
                request: call,
                attempt: 7,
            },
            expires_at: self.now + self.rng.below(5_000_000),
        };
        let text = self.cache.insert(slot, result);
        hash.text(text.as_bytes());
        self.tokens.push(text);
    }

    fn get(&mut self, hash: &mut Fnv) {
        let token = self.any_token();
        match self.cache.get(self.now, &token) {
            Ok(cached) => {
                let token = cached.token;
                hash.number(*cached.pages);
                hash.number(token.result_id);
                hash.number(token.origin.request);
                hash.number(token.expires_at);
                hash.number(u64::from(token.origin.attempt));
            }
            Err(error) => write_error(hash, error),
        }
    }
}

#[test]
fn result_cache_answers_match_recorded_digest() {
    let mut hash = Fnv::new();
    for seed in 100..120u64 {
        let mut calls = CacheCalls::new(seed);
        for call in 0..3_000u64 {
            calls.make_call(call, &mut hash);
        }
    }
    assert_eq!(hash.0, 0x8001_a0f3_acff_d299, "{:#018x}", hash.0);
}

#[test]
fn byte_budget_answers_match_recorded_digest() {
    let mut hash = Fnv::new();
    let mut rng = Lcg(200);
    let budget = ByteBudget::new(10_000);
    let mut reservations = Vec::new();
    for _ in 0..20_000 {
        match rng.below(5) {
            0 | 1 => match budget.reserve(rng.below(3_000) as usize) {
                Some(reservation) => {
                    hash.number(reservation.bytes() as u64);
                    reservations.push(reservation);
                }
                None => hash.number(u64::MAX),
            },
            2 if !reservations.is_empty() => {
                let at = rng.below(reservations.len() as u64) as usize;
                reservations.swap_remove(at);
            }
            3 if !reservations.is_empty() => {
                let at = rng.below(reservations.len() as u64) as usize;
                reservations[at].shrink(rng.below(2_000) as usize);
                hash.number(reservations[at].bytes() as u64);
            }
            4 if rng.below(50) == 0 => budget.resize(5_000 + rng.below(10_000) as usize),
            _ => {}
        }
        hash.number(budget.reserved() as u64);
        hash.number(budget.capacity() as u64);
    }
    assert_eq!(hash.0, 0x217d_c740_8a5f_5171, "{:#018x}", hash.0);
}

#[test]
fn timer_wheel_expiries_match_recorded_digest() {
    let mut hash = Fnv::new();
    for seed in 300..310u64 {
        let mut rng = Lcg(seed);
        let mut now = rng.below(2_000_000_000_000_000);
        let mut wheel = TimerWheel::new(now);
        for entry in 0..10_000u64 {
            let span = [
                1,
                3_000,
                90_000,
                6_000_000,
                400_000_000,
                90_000_000_000_000,
                1 << 52,
            ];
            let span = span[rng.below(7) as usize];
            let delay = rng.below(span);
            wheel.insert((now + delay).saturating_sub(rng.below(2_000)), entry);
            if rng.below(3) == 0 {
                let steps = [900, 60_000, 50_000_000, 70_000_000_000_000];
                let step = steps[rng.below(4) as usize];
                now += rng.below(step);
                wheel.advance(now, |due| hash.number(due));
            }
            hash.number(wheel.next_expiry().unwrap_or(u64::MAX));
            hash.number(wheel.len() as u64);
            hash.number(u64::from(wheel.is_empty()));
        }
    }
    assert_eq!(hash.0, 0x9e69_066a_a5f0_62ec, "{:#018x}", hash.0);
}

/// Clients keep tokens between calls, so the text of a token must not change for a given key.
#[test]
fn page_token_text_matches_recorded_text() {
    let sealer = TokenSealer::new(&[0x5a; 32]);
    let token = PageToken {
        result_id: 1,
        origin: AttemptId {
            request: 0x0102_0304_0506_0708,
            attempt: 9,
        },
        expires_at: 1_700_000_000_000_000,
    };
    let text = sealer.seal(&token);
    assert_eq!(
        text,
        "AAAAAAAAAAEBAgMEBQYHCAAAAAkABgokGB5AAKvDa6vUo-qTxcxAaeBu7XU"
    );
    assert_eq!(sealer.open(&text), Some(token));
}
