//! An open-loop load generator: it issues requests at a fixed rate whether or not earlier ones have
//! been answered, so that a slow gateway does not reduce the load.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

/// The largest latency that the histogram distinguishes: one minute.
const MAX_LATENCY_US: u64 = 60_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;
/// The delay before the first request is due, so that the threads of all clients have started.
const LEAD_TIME: Duration = Duration::from_millis(20);

/// The latencies and outcomes of all requests of one load, and the time that it took.
pub struct LoadResult {
    /// The latencies of served requests in microseconds. Each is counted from the time at which the
    /// request was due, not from the time at which a client could send it.
    pub latency: Histogram<u64>,
    /// The number of requests that were served.
    pub served: u64,
    /// The number of requests that were refused, failed or got no answer.
    pub not_served: u64,
    /// The time from when the first request was due to the last answer.
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

    /// Returns the number of served requests per second.
    #[must_use]
    pub fn rate(&self) -> f64 {
        self.served as f64 / self.took.as_secs_f64()
    }

    /// Returns the latency quantiles p50, p99 and p99.9 in milliseconds.
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

/// Returns an empty histogram for latencies in microseconds, from 1 us to one minute.
#[must_use]
pub fn latency_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        .unwrap_or_else(|_| unreachable!("the bounds are constants"))
}

/// Issues `count` requests, one per `gap`, regardless of earlier answers. Each of the `clients`
/// runs on its own thread; it is called with the number of a request and returns whether the
/// request was served. A request waits past its due time only if all clients are busy.
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
