//! A load at a steady rate that does not wait for answers, so that a slow gateway can't slow it
//! down.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

/// Latencies up to a minute are distinguished, with three digits.
const MAX_LATENCY_US: u64 = 60_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;
/// The time from the call to the first request, in which all clients' threads start.
const LEAD_TIME: Duration = Duration::from_millis(20);

/// What a load measured.
pub struct LoadResult {
    /// Latency of served requests in microseconds, each from when its request was due and not from
    /// when it could be sent.
    pub latency: Histogram<u64>,
    /// Requests that were served.
    pub served: u64,
    /// Requests that were not.
    pub not_served: u64,
    /// From when the first request was due to the last answer.
    pub took: Duration,
}

impl LoadResult {
    fn empty() -> Self {
        LoadResult {
            latency: latency_histogram(),
            served: 0,
            not_served: 0,
            took: Duration::ZERO,
        }
    }

    /// Served requests a second.
    #[must_use]
    pub fn rate(&self) -> f64 {
        self.served as f64 / self.took.as_secs_f64()
    }

    /// The quantiles p50, p99 and p99.9, in milliseconds.
    #[must_use]
    pub fn quantiles_ms(&self) -> [f64; 3] {
        [0.5, 0.99, 0.999].map(|quantile| self.latency.value_at_quantile(quantile) as f64 / 1e3)
    }

    fn record(&mut self, served: bool, latency: Duration) {
        if served {
            self.served += 1;
            let latency_us = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
            self.latency.saturating_record(latency_us.max(1));
        } else {
            self.not_served += 1;
        }
    }

    fn add(&mut self, other: &LoadResult) {
        let _ = self.latency.add(&other.latency);
        self.served += other.served;
        self.not_served += other.not_served;
    }
}

/// A histogram of latencies in microseconds, from 1 us to a minute.
#[must_use]
pub fn latency_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        .unwrap_or_else(|_| unreachable!("the bounds are constants"))
}

/// Sends `count` requests, one each `gap`, whether answers have come or not, over as many
/// connections as there are `clients`. Each client gets the number of its request, and returns
/// whether that was served.
pub fn open_loop<C: FnMut(u64) -> bool + Send>(
    clients: Vec<C>,
    count: u64,
    gap: Duration,
) -> LoadResult {
    let start = Instant::now() + LEAD_TIME;
    let next = &AtomicU64::new(0);
    let run_client = |mut client: C| {
        let mut result = LoadResult::empty();
        loop {
            let number = next.fetch_add(1, Ordering::Relaxed);
            if number >= count {
                return result;
            }
            let due = start + gap.mul_f64(number as f64);
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            let served = client(number);
            result.record(served, due.elapsed());
        }
    };
    let results: Vec<LoadResult> = std::thread::scope(|scope| {
        let threads: Vec<_> = clients
            .into_iter()
            .map(|client| scope.spawn(|| run_client(client)))
            .collect();
        let joined = threads.into_iter().filter_map(|thread| thread.join().ok());
        joined.collect()
    });
    let mut sum = LoadResult::empty();
    sum.took = start.elapsed();
    results.iter().for_each(|result| sum.add(result));
    sum
}
