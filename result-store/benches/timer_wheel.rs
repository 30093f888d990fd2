//! The timing wheel against a heap and an ordered set: a steady state in which each entry that comes due is
//! replaced by a new one, as results are that expire.
#![allow(missing_docs)]

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use std::hint::black_box;

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion, Throughput};
use violetgate_result_store::TimerWheel;

/// Entries put in, and handed out, for each round.
const ROUND: u64 = 1_000;
const SPAN: u64 = 20_000_000;

struct Draw(u64);

impl Draw {
    fn next(&mut self) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 20) % SPAN
    }
}

fn steady(c: &mut Criterion) {
    let mut group = c.benchmark_group("steady state");
    group
        .throughput(Throughput::Elements(ROUND))
        .sample_size(20);
    for entries in [1_000u64, 100_000, 1_000_000] {
        // As much time a round as makes about one round's entries come due.
        let step = SPAN / 2 * ROUND / entries;
        group.bench_function(BenchmarkId::new("wheel", entries), |b| {
            let (mut draw, mut now, mut wheel) = (Draw(7), 0, TimerWheel::new(0));
            (0..entries).for_each(|n| wheel.insert(draw.next(), n));
            b.iter(|| {
                now += step;
                let mut out = 0;
                wheel.advance(now, |n| out ^= black_box(n));
                while (wheel.len() as u64) < entries {
                    wheel.insert(now + draw.next(), out);
                }
            });
        });
        group.bench_function(BenchmarkId::new("heap", entries), |b| {
            let (mut draw, mut now, mut heap) = (Draw(7), 0, BinaryHeap::new());
            (0..entries).for_each(|n| heap.push(Reverse((draw.next(), n))));
            b.iter(|| {
                now += step;
                let mut out = 0;
                while heap.peek().is_some_and(|Reverse((at, _))| *at <= now) {
                    out ^= heap.pop().map_or(0, |Reverse((_, n))| black_box(n));
                }
                while (heap.len() as u64) < entries {
                    heap.push(Reverse((now + draw.next(), out)));
                }
            });
        });
        group.bench_function(BenchmarkId::new("ordered set", entries), |b| {
            let (mut draw, mut now, mut set, mut n) = (Draw(7), 0, BTreeSet::new(), 0u64);
            (0..entries).for_each(|n| {
                set.insert((draw.next(), n));
            });
            b.iter(|| {
                now += step;
                while let Some((at, n)) = set.first().copied().filter(|(at, _)| *at <= now) {
                    set.remove(&(at, n));
                    black_box(n);
                }
                while (set.len() as u64) < entries {
                    n += 1;
                    set.insert((now + draw.next(), n | 1 << 40));
                }
            });
        });
    }
    group.finish();
}

criterion_group!(benches, steady);
criterion_main!(benches);
