//! A hierarchical timing wheel: what is due when, at a constant cost per entry, however many there are.
//!
//! Each level has 64 slots, each slot of a level spans the whole level below. An entry lies in the lowest level
//! that still tells its moment from now, and moves down as that comes nearer, five times at most. A word a level
//! says which slots hold anything, so that empty time costs nothing. Entries can't be taken out: the owner
//! forgets what they stand for, and takes no notice when they come due.

use crate::Micros;

/// A tick is so many microseconds, as a power of two: 1.024 ms.
const TICK: u32 = 10;
/// Slots a level, as a power of two.
const BITS: u32 = 6;
const SLOTS: usize = 1 << BITS;
/// Six levels of 64 slots span 2^36 ticks, two years. What is due later waits in the last slot, and is put
/// back when that comes up.
const LEVELS: usize = 6;
const SPAN: u64 = 1 << (BITS * LEVELS as u32);

/// What is due when.
#[derive(Debug)]
pub struct Wheel<K> {
    /// All that was due before this tick has been handed out.
    now: u64,
    len: usize,
    levels: Vec<Level<K>>,
    /// Entries on their way down, kept for its room.
    moving: Vec<(u64, K)>,
}

#[derive(Debug)]
struct Level<K> {
    /// A bit a slot that holds anything.
    used: u64,
    slots: Vec<Vec<(u64, K)>>,
}

impl<K> Wheel<K> {
    /// An empty wheel that starts at `now`.
    #[must_use]
    pub fn new(now: Micros) -> Self {
        let level = || Level {
            used: 0,
            slots: (0..SLOTS).map(|_| Vec::new()).collect(),
        };
        Wheel {
            now: now >> TICK,
            len: 0,
            levels: (0..LEVELS).map(|_| level()).collect(),
            moving: Vec::new(),
        }
    }

    /// Entries that have not come due.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether nothing is waiting.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Puts an entry in. It comes due at `at` or up to a tick later, never before.
    pub fn insert(&mut self, at: Micros, key: K) {
        self.len += 1;
        // Rounded up, and never into the tick that has been handed out.
        let tick = at.div_ceil(1 << TICK).max(self.now + 1);
        self.place(tick, key);
    }

    fn place(&mut self, tick: u64, key: K) {
        // A moment beyond the span lies in the furthest slot until that comes up.
        let near = tick.min(self.now + SPAN - 1);
        let differs = (near ^ self.now) | 1;
        let level = ((63 - differs.leading_zeros()) / BITS).min(LEVELS as u32 - 1);
        let slot = (near >> (level * BITS)) as usize & (SLOTS - 1);
        if let Some(l) = self.levels.get_mut(level as usize) {
            l.used |= 1 << slot;
            if let Some(s) = l.slots.get_mut(slot) {
                s.push((tick, key));
            }
        }
    }

    /// The earliest tick at which a slot of a level comes up.
    fn next_of(&self, level: usize) -> Option<(u64, usize)> {
        let used = self.levels.get(level)?.used;
        if used == 0 {
            return None;
        }
        let shift = level as u32 * BITS;
        let here = (self.now >> shift) as usize & (SLOTS - 1);
        // Slots are used from the one after `here` on, round to it (only the last level comes round).
        let ahead = used
            .rotate_right((here as u32 + 1) % SLOTS as u32)
            .trailing_zeros() as u64
            + 1;
        let tick = ((self.now >> shift) + ahead) << shift;
        Some((tick, (here + ahead as usize) & (SLOTS - 1)))
    }

    /// When to look again: no entry comes due before. `None`: there is none.
    #[must_use]
    pub fn next(&self) -> Option<Micros> {
        (0..LEVELS)
            .filter_map(|l| self.next_of(l))
            .map(|(tick, _)| tick << TICK)
            .min()
    }

    /// Hands out all that is due at `now`.
    pub fn advance(&mut self, now: Micros, mut due: impl FnMut(K)) {
        let until = now >> TICK;
        loop {
            let next = (0..LEVELS)
                .filter_map(|l| self.next_of(l).map(|(tick, slot)| (tick, l, slot)))
                .min();
            let Some((tick, level, slot)) = next.filter(|(tick, ..)| *tick <= until) else {
                break;
            };
            self.now = tick;
            let mut moving = std::mem::take(&mut self.moving);
            if let Some(l) = self.levels.get_mut(level) {
                l.used &= !(1 << slot);
                if let Some(s) = l.slots.get_mut(slot) {
                    std::mem::swap(&mut moving, s);
                }
            }
            for (at, key) in moving.drain(..) {
                if at <= tick {
                    self.len -= 1;
                    due(key);
                } else {
                    self.place(at, key);
                }
            }
            self.moving = moving;
        }
        self.now = self.now.max(until);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::collections::BTreeMap;

    /// What is due comes out, once, never early and never more than a tick late, however far the steps go.
    #[test]
    fn nothing_is_early_late_or_lost() {
        let mut x = 7u64;
        let mut draw = move |below: u64| {
            x = x
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1_442_695_040_888_963_407);
            (x >> 20) % below
        };
        let mut now = 1_700_000_000_000_000;
        let mut wheel = Wheel::new(now);
        let mut model: BTreeMap<(Micros, u64), ()> = BTreeMap::new();
        for n in 0..20_000 {
            let spans = [
                1,
                2_000,
                100_000,
                5_000_000,
                300_000_000,
                90_000_000_000_000,
                1 << 50,
            ];
            let span = spans.get(draw(7) as usize).copied().unwrap_or(1);
            let at = now + draw(span.max(1));
            wheel.insert(at, (at, n));
            model.insert((at, n), ());
            if draw(3) == 0 {
                let steps = [1_000, 50_000, 40_000_000, 80_000_000_000_000];
                let step = steps.get(draw(4) as usize).copied().unwrap_or(1);
                now += draw(step);
                let mut out = Vec::new();
                wheel.advance(now, |k| out.push(k));
                for key in &out {
                    assert!(
                        key.0 <= now && model.remove(key).is_some(),
                        "{key:?} at {now}"
                    );
                }
                let late = model
                    .keys()
                    .next()
                    .map(|k| k.0)
                    .filter(|at| at + (1 << TICK) < now);
                assert_eq!(late, None, "due and not handed out at {now}");
            }
            assert_eq!(wheel.len(), model.len());
            let next = wheel.next();
            assert!(next.is_some() != model.is_empty());
            let first = model.keys().next().map(|k| k.0);
            assert!(first.is_none_or(|f| next.is_some_and(|n| n <= f.max(now) + (2 << TICK))));
        }
    }
}
