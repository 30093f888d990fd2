//! The times at which queries arrived and retries were sent, over the window of the retry budget.

use std::collections::VecDeque;

use crate::interface::Micros;

/// The maximum number of arrivals in the history. Without the oldest arrivals, the
/// retry budget is smaller than it could be, never larger.
const MAX_ARRIVALS: usize = 65_536;

/// The times of arrivals and of retries, in order.
#[derive(Debug, Default)]
pub(crate) struct RetryHistory {
    arrivals: VecDeque<Micros>,
    retries: VecDeque<Micros>,
}

impl RetryHistory {
    pub fn record_arrival(&mut self, now: Micros) {
        if self.arrivals.len() >= MAX_ARRIVALS {
            self.arrivals.pop_front();
        }
        self.arrivals.push_back(now);
    }

    /// Records a retry. The history of retries needs no maximum: the retry budget allows fewer
    /// retries than there are arrivals, plus a constant.
    pub fn record_retry(&mut self, now: Micros) {
        self.retries.push_back(now);
    }

    /// Removes the arrivals and retries before a time.
    pub fn forget_before(&mut self, time: Micros) {
        for history in [&mut self.retries, &mut self.arrivals] {
            while history.front().is_some_and(|at| *at < time) {
                history.pop_front();
            }
        }
    }

    /// Returns the number of arrivals and retries in the history.
    pub fn len(&self) -> usize {
        self.arrivals.len() + self.retries.len()
    }

    /// Returns the number of arrivals in the history.
    pub fn remembered_arrivals(&self) -> usize {
        self.arrivals.len()
    }

    /// Returns the number of queries that arrived after a time, not at that time.
    pub fn arrivals_since(&self, time: Micros) -> f64 {
        (self.arrivals.len() - self.arrivals.partition_point(|at| *at <= time)) as f64
    }

    /// Returns the number of retries that were sent at a time or later. Unlike an arrival, a retry
    /// at exactly that time counts, which makes the budget too small rather than too large.
    pub fn retries_since(&self, time: Micros) -> f64 {
        (self.retries.len() - self.retries.partition_point(|at| *at < time)) as f64
    }
}
