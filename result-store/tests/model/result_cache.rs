//! Compares the result cache with a simple model, and tests the page tokens.

use std::rc::Rc;

use proptest::prelude::*;
use violetgate_result_store::{
    AttemptId, LookupError, NewResult, PageToken, ResultCache, ResultLimits, TokenSealer,
};

use crate::WHEEL_DELAY_US;

const LIMITS: ResultLimits = ResultLimits {
    total_bytes: 450,
    max_result_bytes: 100,
    max_results: 6,
};

#[derive(Debug, Clone)]
enum Call {
    Insert { bytes: usize, lifetime: u64 },
    Get(usize),
    Delete(usize),
    Wait(u64),
}

fn call() -> impl Strategy<Value = Call> {
    prop_oneof![
        (0..=LIMITS.max_result_bytes, 1u64..60_000)
            .prop_map(|(bytes, lifetime)| Call::Insert { bytes, lifetime }),
        (0usize..12).prop_map(Call::Get),
        (0usize..12).prop_map(Call::Delete),
        (1u64..20_000).prop_map(Call::Wait),
    ]
}

/// The model's state of a result.
struct Expected {
    token: String,
    bytes: usize,
    expires_at: u64,
    is_deleted: bool,
}

#[derive(Default)]
struct Model(Vec<Expected>);

impl Model {
    fn cached_at(&self, now: u64) -> impl Iterator<Item = &Expected> {
        self.0
            .iter()
            .filter(move |result| !result.is_deleted && result.expires_at > now)
    }

    fn has_space_at(&self, now: u64) -> bool {
        let bytes: usize = self.cached_at(now).map(|result| result.bytes).sum();
        bytes + LIMITS.max_result_bytes <= LIMITS.total_bytes
            && self.cached_at(now).count() < LIMITS.max_results
    }
}

proptest! {
    /// A result is available exactly until it expires or its client deletes it, and reserved bytes
    /// never exceed the budget.
    #[test]
    fn results_stay_until_they_expire_or_are_deleted(calls in proptest::collection::vec(call(), 1..120)) {
        let mut now = 1_000_000;
        let mut results = ResultCache::new(TokenSealer::new(&[7; 32]), LIMITS, now);
        let mut model = Model::default();
        for call in calls {
            match call {
                Call::Wait(span) => now += span,
                Call::Insert { bytes, lifetime } => {
                    match results.reserve(now) {
                        Ok(slot) => {
                            prop_assert!(model.has_space_at(now));
                            let expires_at = now + lifetime;
                            let origin = AttemptId { request: now, attempt: 3 };
                            let pages = Rc::new(bytes);
                            let token = results.insert(slot, NewResult { pages, bytes, origin, expires_at });
                            model.0.push(Expected { token, bytes, expires_at, is_deleted: false });
                        }
                        Err(full) => {
                            prop_assert!(!model.has_space_at(now.saturating_sub(WHEEL_DELAY_US)));
                            let earliest = now + full.retry_after.min(1);
                            prop_assert!(model.cached_at(now).all(|r| r.expires_at + WHEEL_DELAY_US >= earliest));
                        }
                    }
                    prop_assert!(results.budget().reserved() <= LIMITS.total_bytes);
                }
                Call::Get(index) | Call::Delete(index) => {
                    let Some(result) = model.0.get_mut(index) else { continue };
                    let is_gone = result.is_deleted || result.expires_at <= now;
                    let expected = if is_gone { Err(LookupError::Gone) } else { Ok(result.bytes) };
                    let found = results.get(now, &result.token).map(|found| *found.pages);
                    prop_assert_eq!(found, expected);
                    if matches!(call, Call::Delete(_)) {
                        prop_assert_eq!(results.delete(now, &result.token).is_ok(), expected.is_ok());
                        result.is_deleted |= expected.is_ok();
                    }
                }
            }
        }
        results.expire(now + 100_000);
        prop_assert!(results.is_empty() && results.budget().reserved() == 0);
    }

    /// A sealed token decodes to the same fields. Tokens sealed with another key, altered tokens
    /// and arbitrary text are rejected.
    #[test]
    fn only_sealed_tokens_are_opened(
        (result_id, request, attempt, expires_at) in any::<(u64, u64, u32, u64)>(),
        index in 0usize..58,
        arbitrary_text in "\\PC{0,80}",
    ) {
        let token = PageToken { result_id, origin: AttemptId { request, attempt }, expires_at };
        let sealer = TokenSealer::new(&[1; 32]);
        let text = sealer.seal(&token);
        prop_assert_eq!(sealer.open(&text), Some(token));
        prop_assert_eq!(TokenSealer::new(&[2; 32]).open(&text), None);
        prop_assert_eq!(sealer.open(&arbitrary_text), None);
        let mut altered = text.clone().into_bytes();
        altered[index] = if altered[index] == b'A' { b'B' } else { b'A' };
        prop_assert_eq!(sealer.open(std::str::from_utf8(&altered).unwrap()), None);
        prop_assert_eq!(sealer.open(&text[..text.len() - 1]), None);
    }
}
