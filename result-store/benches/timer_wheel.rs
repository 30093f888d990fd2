//! Compares the timing wheel with a binary heap and an ordered set in a steady state: a new entry
//! replaces each one that expires, as with cached results.
#![allow(missing_docs, reason = "criterion generates public items")]

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use std::hint::black_box;

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion, Throughput};
use violetgate_result_store::TimerWheel;

/// Approximate number of entries that expire, and are added, in each iteration.
const ENTRIES_PER_ITERATION: u64 = 1_000;
/// Upper bound of the time until an entry expires, in microseconds.
const MAX_DELAY_US: u64 = 20_000_000;

/// A linear congruential generator of delays in microseconds.
struct RandomDelays(u64);

impl RandomDelays {
    fn next_delay(&mut self) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 20) % MAX_DELAY_US
    }
}

/// Returns the time in microseconds by which each iteration advances, so that about
/// [`ENTRIES_PER_ITERATION`] of the `entries` expire.
fn step(entries: u64) -> u64 {
    MAX_DELAY_US / 2 * ENTRIES_PER_ITERATION / entries
}

/// Fills a timing wheel and returns a function that runs one iteration.
fn wheel_iteration(entries: u64) -> impl FnMut() {
    let (mut delays, mut now, mut wheel) = (RandomDelays(7), 0, TimerWheel::new(0));
    for number in 0..entries {
        wheel.insert(delays.next_delay(), number);
    }
    move || {
        now += step(entries);
        let mut expired = 0;
        wheel.advance(now, |number| expired ^= black_box(number));
        while (wheel.len() as u64) < entries {
            wheel.insert(now + delays.next_delay(), expired);
        }
    }
}

/// Fills a binary heap and returns a function that runs one iteration.
fn heap_iteration(entries: u64) -> impl FnMut() {
    let (mut delays, mut now, mut heap) = (RandomDelays(7), 0, BinaryHeap::new());
    for number in 0..entries {
        heap.push(Reverse((delays.next_delay(), number)));
    }
    move || {
        now += step(entries);
        let mut expired = 0;
        while heap.peek().is_some_and(|Reverse((at, _))| *at <= now) {
            expired ^= heap
                .pop()
                .map_or(0, |Reverse((_, number))| black_box(number));
        }
        while (heap.len() as u64) < entries {
            heap.push(Reverse((now + delays.next_delay(), expired)));
        }
    }
}

/// Fills an ordered set and returns a function that runs one iteration.
fn ordered_set_iteration(entries: u64) -> impl FnMut() {
    let (mut delays, mut now, mut set) = (RandomDelays(7), 0, BTreeSet::new());
    let mut added = 0u64;
    for number in 0..entries {
        set.insert((delays.next_delay(), number));
    }
    move || {
        now += step(entries);
        while let Some((at, number)) = set.first().copied().filter(|(at, _)| *at <= now) {
            set.remove(&(at, number));
            black_box(number);
        }
        while (set.len() as u64) < entries {
            added += 1;
            // The high bit keeps new numbers distinct from those of the initial entries.
            set.insert((now + delays.next_delay(), added | 1 << 40));
        }
    }
}

fn steady_state(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("steady state");
    group
        .throughput(Throughput::Elements(ENTRIES_PER_ITERATION))
        .sample_size(20);
    for entries in [1_000u64, 100_000, 1_000_000] {
        group.bench_function(BenchmarkId::new("wheel", entries), |bencher| {
            bencher.iter(wheel_iteration(entries));
        });
        group.bench_function(BenchmarkId::new("heap", entries), |bencher| {
            bencher.iter(heap_iteration(entries));
        });
        group.bench_function(BenchmarkId::new("ordered set", entries), |bencher| {
            bencher.iter(ordered_set_iteration(entries));
        });
    }
    group.finish();
}

criterion_group!(benches, steady_state);
criterion_main!(benches);
