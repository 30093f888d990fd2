#![allow(clippy::indexing_slicing, reason = "a failed step fails the test")]

use super::*;
use crate::stable_hash::stable_hash;

const SECOND: Micros = 1_000_000;

fn fleet_size(configured_size: u32) -> FleetSize {
    let config = FleetSizeConfig {
        configured_size,
        settle_time: 10 * SECOND,
        step_interval: 2 * SECOND,
    };
    FleetSize::new(config, 0)
}

/// A process that knows no other member keeps the configured size until its view has settled.
#[test]
fn configured_size_holds_until_the_view_has_settled() {
    let mut fleet_size = fleet_size(4);
    let sizes: Vec<u32> = (0..=18)
        .map(|second| {
            fleet_size.observe(1, second * SECOND);
            fleet_size.size()
        })
        .collect();
    assert_eq!(sizes[..10], [4; 10]);
    assert_eq!(sizes[10..], [3, 3, 2, 2, 1, 1, 1, 1, 1]);
}

/// A join takes effect at once and a death only after the settle time. A flapping member is counted
/// throughout, because each change restarts the settle time.
#[test]
fn joins_count_at_once_and_deaths_slowly() {
    let mut fleet_size = fleet_size(3);
    assert!(fleet_size.observe(5, SECOND) && fleet_size.size() == 5);
    assert!(!fleet_size.observe(4, 2 * SECOND) && fleet_size.size() == 5);
    assert!(
        !fleet_size.observe(4, 11 * SECOND) && fleet_size.size() == 5,
        "the size fell before the view had settled"
    );
    assert!(fleet_size.observe(4, 12 * SECOND) && fleet_size.size() == 4);
    for second in 13..200u64 {
        let serving = if second % 3 == 0 { 4 } else { 3 };
        fleet_size.observe(serving, second * SECOND);
        assert_eq!(fleet_size.size(), 4, "at {second} s");
    }
}

/// The actual number of gateways over time.
struct History(Vec<(Micros, u32)>);

impl History {
    /// Creates a history in which gateways die at random times, from ten down to four at the least.
    fn random_deaths(random: impl Fn(u64) -> u64) -> Self {
        let mut alive = 10u32;
        let mut history = vec![(0, alive)];
        for step in 0..20 {
            let at = history[history.len() - 1].0 + 1 + random(step) % (6 * SECOND);
            if random(step + 100) % 2 == 0 {
                alive = (alive - 1).max(4);
            }
            history.push((at, alive));
        }
        History(history)
    }

    fn at(&self, time: Micros) -> u32 {
        let mut past = self.0.iter().rev();
        past.find(|(at, _)| *at <= time)
            .map_or(10, |(_, alive)| *alive)
    }
}

/// Guards against an overload of the engine: each of ten gateways learns of deaths up to 4 s late,
/// which is less than the settle time, and the shares must never add up to more than the capacity.
#[test]
fn shares_never_exceed_the_capacity_while_views_differ() {
    for seed in 0..200u64 {
        let random = |number: u64| stable_hash(&format!("{seed}/{number}"), 9);
        let history = History::random_deaths(random);
        let delays: Vec<u64> = (0..10).map(|i| random(1000 + i) % (4 * SECOND)).collect();
        let mut gateways: Vec<FleetSize> = (0..10).map(|_| fleet_size(10)).collect();
        for now in (0..120 * SECOND).step_by(SECOND as usize / 2) {
            let alive = history.at(now) as usize;
            let mut sum = 0.0;
            for (gateway, delay) in gateways.iter_mut().zip(&delays).take(alive) {
                gateway.observe(history.at(now.saturating_sub(*delay)), now);
                sum += 1.0 / f64::from(gateway.size());
            }
            assert!(sum <= 1.0 + 1e-9, "seed {seed}: {sum} at {now}");
        }
    }
}
