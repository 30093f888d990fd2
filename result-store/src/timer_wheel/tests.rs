use std::collections::BTreeSet;

use super::*;

/// A linear congruential generator of pseudorandom numbers.
struct Random(u64);

impl Random {
    fn below(&mut self, limit: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 20) % limit
    }

    fn pick(&mut self, values: &[u64]) -> u64 {
        let index = self.below(values.len() as u64) as usize;
        values.get(index).copied().unwrap_or(1)
    }
}

/// Each entry is handed out exactly once, never early and at most one tick late, for short and long
/// steps of the time.
#[test]
fn entries_are_never_early_late_or_lost() {
    let spans = [
        1,
        2_000,
        100_000,
        5_000_000,
        300_000_000,
        90_000_000_000_000,
        1 << 50,
    ];
    let steps = [1_000, 50_000, 40_000_000, 80_000_000_000_000];
    let mut random = Random(7);
    let mut now = 1_700_000_000_000_000;
    let mut wheel = TimerWheel::new(now);
    let mut model: BTreeSet<(Micros, u64)> = BTreeSet::new();
    for number in 0..20_000 {
        let span = random.pick(&spans);
        let at = now + random.below(span.max(1));
        wheel.insert(at, (at, number));
        model.insert((at, number));
        if random.below(3) == 0 {
            let step = random.pick(&steps);
            now += random.below(step);
            advance_both(&mut wheel, &mut model, now);
        }
        assert_eq!(wheel.len(), model.len());
        let next = wheel.next_expiry();
        assert!(next.is_some() != model.is_empty());
        let first = model.first().map(|entry| entry.0);
        let latest = |first: Micros| first.max(now) + (2 << TICK_BITS);
        assert!(first.is_none_or(|first| next.is_some_and(|next| next <= latest(first))));
    }
}

fn advance_both(
    wheel: &mut TimerWheel<(Micros, u64)>,
    model: &mut BTreeSet<(Micros, u64)>,
    now: Micros,
) {
    let mut expired = Vec::new();
    wheel.advance(now, |entry| expired.push(entry));
    for entry in &expired {
        assert!(
            entry.0 <= now && model.remove(entry),
            "{entry:?} was handed out early or twice at {now}"
        );
    }
    let late = model
        .first()
        .map(|entry| entry.0)
        .filter(|at| at + (1 << TICK_BITS) < now);
    assert_eq!(late, None, "an expired entry was not handed out at {now}");
}
