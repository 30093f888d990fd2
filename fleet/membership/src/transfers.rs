//! State of anti-entropy: the byte budget, the transfers in progress, and when each bucket may be
//! requested again.

use std::collections::VecDeque;
use std::net::SocketAddr;

use crate::member_update::MemberName;
use crate::message::MessageBody;
use crate::view_digest::{BucketSet, BUCKET_COUNT};
use crate::Micros;

/// Maximum number of transfers in progress. A member whose request is dropped soon requests the
/// updates from another member.
const MAX_TRANSFERS: usize = 4;
/// Minimum time between two requests for the same bucket, to any member.
pub(crate) const REQUEST_INTERVAL_US: Micros = 1_000_000;
/// Number of comparisons after the start, and after one with a large difference, that are made at
/// intervals of at most [`REQUEST_INTERVAL_US`]. They end early if a comparison finds a small
/// difference.
const EAGER_COMPARISONS: u32 = 8;

/// Capacity of the budget, in seconds of its rate. This much may be sent at once after idle time.
const BURST_SECONDS: u64 = 4;
/// Minimum capacity of the budget. Any single message fits.
const MIN_BURST_BYTES: u64 = 4_096;

/// A budget of bytes that is refilled at a constant rate.
#[derive(Debug, Clone)]
struct ByteBudget {
    bytes_per_s: u64,
    available: u64,
    refilled_at: Micros,
}

impl ByteBudget {
    fn new(bytes_per_s: u64) -> Self {
        let mut budget = ByteBudget {
            bytes_per_s,
            available: 0,
            refilled_at: 0,
        };
        budget.available = budget.capacity();
        budget
    }

    fn capacity(&self) -> u64 {
        let burst = self.bytes_per_s.saturating_mul(BURST_SECONDS);
        burst.max(MIN_BURST_BYTES)
    }

    /// Refills the budget, and takes `bytes` if they are available. Returns whether they were.
    fn try_spend(&mut self, bytes: u64, now: Micros) -> bool {
        let elapsed = now.saturating_sub(self.refilled_at);
        let refill = elapsed.saturating_mul(self.bytes_per_s) / 1_000_000;
        if refill > 0 {
            self.available = self.available.saturating_add(refill).min(self.capacity());
            self.refilled_at = now;
        }
        if self.available < bytes {
            return false;
        }
        self.available -= bytes;
        true
    }
}

/// Updates to be sent to one member. A transfer stores only names. Updates are looked up when they
/// are sent, so that they are never older than the view.
#[derive(Debug, Clone)]
pub(crate) struct Transfer {
    pub to: SocketAddr,
    pub names: VecDeque<MemberName>,
    /// Body of the messages that carry the updates.
    pub body: MessageBody,
}

/// State of anti-entropy between comparisons.
#[derive(Debug, Clone)]
pub(crate) struct AntiEntropyState {
    budget: ByteBudget,
    transfers: VecDeque<Transfer>,
    eager_comparisons: u32,
    /// When each bucket may be requested again.
    requestable_at: Vec<Micros>,
    /// Number of comparisons and requests that were not answered because the budget was used up or
    /// too many transfers were in progress.
    pub dropped: u64,
}

impl AntiEntropyState {
    /// Creates a state with a full budget and no transfers.
    pub fn new(bytes_per_s: u64) -> Self {
        AntiEntropyState {
            budget: ByteBudget::new(bytes_per_s),
            transfers: VecDeque::new(),
            eager_comparisons: EAGER_COMPARISONS,
            requestable_at: vec![0; BUCKET_COUNT],
            dropped: 0,
        }
    }

    /// Takes `bytes` from the budget if they are available. Returns whether they were.
    pub fn try_spend(&mut self, bytes: u64, now: Micros) -> bool {
        self.budget.try_spend(bytes, now)
    }

    /// Adds a transfer, or drops it if too many are in progress. It replaces an earlier transfer to
    /// the same member, which requests the updates that it still lacks again.
    pub fn add_transfer(&mut self, transfer: Transfer) {
        self.transfers.retain(|other| other.to != transfer.to);
        if self.transfers.len() >= MAX_TRANSFERS {
            self.dropped += 1;
        } else if !transfer.names.is_empty() {
            self.transfers.push_back(transfer);
        }
    }

    /// Returns the transfer that is sent next.
    pub fn current_transfer(&self) -> Option<&Transfer> {
        self.transfers.front()
    }

    /// Removes the first `count` names of the current transfer after they were sent, and the
    /// transfer itself if no names remain.
    pub fn advance_transfer(&mut self, count: usize) {
        let Some(transfer) = self.transfers.front_mut() else {
            return;
        };
        transfer.names.drain(..transfer.names.len().min(count));
        if transfer.names.is_empty() {
            self.transfers.pop_front();
        }
    }

    /// Returns those of `buckets` that may be requested now.
    pub fn requestable(&self, buckets: &BucketSet, now: Micros) -> Vec<usize> {
        let is_due = |bucket: &usize| {
            let at = self.requestable_at.get(*bucket);
            at.is_some_and(|at| *at <= now)
        };
        buckets.iter().filter(is_due).collect()
    }

    /// Records that `buckets` were requested at `now`.
    pub fn record_request(&mut self, buckets: &BucketSet, now: Micros) {
        for bucket in buckets.iter() {
            if let Some(at) = self.requestable_at.get_mut(bucket) {
                *at = now + REQUEST_INTERVAL_US;
            }
        }
    }

    /// Returns whether the next comparison is to follow soon, and counts it.
    pub fn consume_eager_comparison(&mut self) -> bool {
        let is_eager = self.eager_comparisons > 0;
        self.eager_comparisons = self.eager_comparisons.saturating_sub(1);
        is_eager
    }

    /// Makes the next [`EAGER_COMPARISONS`] comparisons follow soon, after one that has found a
    /// large difference.
    pub fn compare_eagerly(&mut self) {
        self.eager_comparisons = EAGER_COMPARISONS;
    }

    /// Returns to the usual interval, after a comparison that has found a small difference.
    pub fn stop_eager_comparisons(&mut self) {
        self.eager_comparisons = 0;
    }
}
