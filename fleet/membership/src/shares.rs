//! How many front ends a process reckons with when it takes its part of an engine: at once as many as it sees when some
//! come, slowly fewer when some die. While views disagree, the sum of all parts is then never more than the whole. It
//! must never reckon with fewer than it sees, nor, before it has heard enough, with fewer than it was told at its start.

use crate::Micros;

/// How the count follows the view.
#[derive(Debug, Clone, Copy)]
pub struct SharesConfig {
    /// The count that the settings name: what holds until the view has stood for `settle`.
    pub told: u32,
    /// How long a lower count has to stand before it is followed: longer than any view may lag.
    pub settle: Micros,
    /// From then on, one fewer each time this has passed.
    pub step: Micros,
}

/// The count of front ends that a process reckons with.
#[derive(Debug, Clone)]
pub struct Shares {
    config: SharesConfig,
    count: u32,
    /// The highest count seen lately, and since when no higher one was.
    seen: u32,
    since: Micros,
    next: Micros,
}

impl Shares {
    /// Begins with what the settings name, at least one.
    #[must_use]
    pub fn new(config: SharesConfig, now: Micros) -> Self {
        let count = config.told.max(1);
        Shares {
            config,
            count,
            seen: count,
            since: now,
            next: now.saturating_add(config.settle),
        }
    }

    /// The count now.
    #[must_use]
    pub fn count(&self) -> u32 {
        self.count
    }

    /// Takes what the view holds now: how many may be sending, suspected ones too. True: the count has changed.
    pub fn see(&mut self, alive: u32, now: Micros) -> bool {
        let (alive, before) = (alive.max(1), self.count);
        if alive >= self.count {
            (self.count, self.seen, self.since) = (alive, alive, now);
            self.next = now.saturating_add(self.config.settle);
        } else {
            if alive != self.seen {
                // A view that moves has not settled; the wait begins anew.
                self.next = self.next.max(now.saturating_add(self.config.settle));
                (self.seen, self.since) = (alive, now);
            }
            while now >= self.next && self.count > alive {
                self.count -= 1;
                self.next = self.next.saturating_add(self.config.step.max(1));
            }
        }
        self.count != before
    }
}

#[cfg(test)]
#[allow(clippy::unwrap_used, clippy::indexing_slicing)]
mod tests {
    use super::*;

    const S: Micros = 1_000_000;

    fn shares(told: u32) -> Shares {
        Shares::new(
            SharesConfig {
                told,
                settle: 10 * S,
                step: 2 * S,
            },
            0,
        )
    }

    /// A newcomer that sees only itself takes no more than its settings give it until its view has stood for a while.
    #[test]
    fn a_newcomer_takes_no_more_than_it_was_told() {
        let mut s = shares(4);
        let counts: Vec<u32> = (0..=18)
            .map(|t| {
                s.see(1, t * S);
                s.count()
            })
            .collect();
        assert_eq!(counts[..10], [4; 10]);
        assert_eq!(counts[10..], [3, 3, 2, 2, 1, 1, 1, 1, 1]);
    }

    /// A birth counts at once; a death only slowly; one that flaps is counted all the time.
    #[test]
    fn births_count_at_once_and_deaths_slowly() {
        let mut s = shares(3);
        assert!(s.see(5, S) && s.count() == 5);
        assert!(!s.see(4, 2 * S) && s.count() == 5);
        assert!(
            !s.see(4, 11 * S) && s.count() == 5,
            "its view has not stood for long enough"
        );
        assert!(s.see(4, 12 * S) && s.count() == 4);
        for t in 13..200u64 {
            s.see(if t % 3 == 0 { 4 } else { 3 }, t * S);
            assert_eq!(s.count(), 4, "at {t} s");
        }
    }

    /// With views that differ by up to `settle`, the parts of all never come to more than the whole.
    #[test]
    fn parts_never_come_to_more_than_the_whole() {
        // Each of ten hears of ups and downs of the fleet up to 4 s late, ups by those that come at once by themselves.
        for seed in 0..200u64 {
            let draw = |k: u64| crate::claim::place(&format!("{seed}/{k}"), 9);
            let mut alive = 10u32;
            let mut history = vec![(0u64, alive)];
            for k in 0..20 {
                let t = history[history.len() - 1].0 + 1 + draw(k) % (6 * S);
                alive = if draw(k + 100) % 2 == 0 {
                    (alive - 1).max(4)
                } else {
                    alive
                };
                history.push((t, alive));
            }
            let lags: Vec<u64> = (0..10).map(|i| draw(1000 + i) % (4 * S)).collect();
            let mut all: Vec<Shares> = (0..10).map(|_| shares(10)).collect();
            for t in (0..120 * S).step_by(S as usize / 2) {
                let at = |t: u64| {
                    history
                        .iter()
                        .rev()
                        .find(|(h, _)| *h <= t)
                        .map_or(10, |(_, a)| *a)
                };
                let mut sum = 0.0;
                for (i, s) in all.iter_mut().enumerate().take(at(t) as usize) {
                    s.see(at(t.saturating_sub(lags[i])), t);
                    sum += 1.0 / f64::from(s.count());
                }
                assert!(sum <= 1.0 + 1e-9, "seed {seed}: {sum} at {t}");
            }
        }
    }
}
