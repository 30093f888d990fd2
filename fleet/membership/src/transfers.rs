//! The state of anti-entropy: a budget of bytes, transfers under way, and when each bucket may be
//! requested again.

use std::collections::VecDeque;
use std::net::SocketAddr;

use crate::member_update::MemberName;
use crate::message::MessageBody;
use crate::view_digest::{BucketSet, BUCKET_COUNT};
use crate::Micros;

/// The most members that are sent updates at a time; others soon ask somebody else.
const MAX_TRANSFERS: usize = 4;
/// A bucket that was requested is requested again, from anyone, after this at the earliest.
pub(crate) const REQUEST_INTERVAL_US: Micros = 1_000_000;
/// After the start, and after a large difference, so many comparisons come [`REQUEST_INTERVAL_US`]
/// after each other, or until one finds little.
const EAGER_COMPARISONS: u32 = 8;

/// What may be sent at once after a quiet time, in seconds of the budget.
const BURST_SECONDS: u64 = 4;
/// What may be sent at once at least: any one message.
const MIN_BURST_BYTES: u64 = 4_096;

/// A token bucket of bytes.
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

    /// Takes bytes if as many are available.
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

/// Updates on their way to one member. Only names are kept, and looked up when they are sent, so
/// that what is sent is never older than the view.
#[derive(Debug, Clone)]
pub(crate) struct Transfer {
    pub to: SocketAddr,
    pub names: VecDeque<MemberName>,
    /// The kind of message that carries them.
    pub body: MessageBody,
}

/// The state of anti-entropy.
#[derive(Debug, Clone)]
pub(crate) struct AntiEntropyState {
    budget: ByteBudget,
    transfers: VecDeque<Transfer>,
    eager_comparisons: u32,
    /// When each bucket may be requested again.
    requestable_at: Vec<Micros>,
    /// Comparisons and requests that were not answered, for lack of budget or because of too many
    /// transfers.
    pub dropped: u64,
}

impl AntiEntropyState {
    /// Nothing is under way; the budget is full.
    pub fn new(bytes_per_s: u64) -> Self {
        AntiEntropyState {
            budget: ByteBudget::new(bytes_per_s),
            transfers: VecDeque::new(),
            eager_comparisons: EAGER_COMPARISONS,
            requestable_at: vec![0; BUCKET_COUNT],
            dropped: 0,
        }
    }

    /// Takes bytes from the budget if as many are available.
    pub fn try_spend(&mut self, bytes: u64, now: Micros) -> bool {
        self.budget.try_spend(bytes, now)
    }

    /// Begins a transfer in place of an earlier one to the same member, which requests again what
    /// it still lacks.
    pub fn add_transfer(&mut self, transfer: Transfer) {
        self.transfers.retain(|other| other.to != transfer.to);
        if self.transfers.len() >= MAX_TRANSFERS {
            self.dropped += 1;
        } else if !transfer.names.is_empty() {
            self.transfers.push_back(transfer);
        }
    }

    /// The transfer that is sent next.
    pub fn current_transfer(&self) -> Option<&Transfer> {
        self.transfers.front()
    }

    /// The first `count` names of the current transfer have been sent.
    pub fn advance_transfer(&mut self, count: usize) {
        let Some(transfer) = self.transfers.front_mut() else {
            return;
        };
        transfer.names.drain(..transfer.names.len().min(count));
        if transfer.names.is_empty() {
            self.transfers.pop_front();
        }
    }

    /// Those of some buckets that may be requested now.
    pub fn requestable(&self, buckets: &BucketSet, now: Micros) -> Vec<usize> {
        let is_due = |bucket: &usize| {
            let at = self.requestable_at.get(*bucket);
            at.is_some_and(|at| *at <= now)
        };
        buckets.iter().filter(is_due).collect()
    }

    /// Some buckets have been requested.
    pub fn record_request(&mut self, buckets: &BucketSet, now: Micros) {
        for bucket in buckets.iter() {
            if let Some(at) = self.requestable_at.get_mut(bucket) {
                *at = now + REQUEST_INTERVAL_US;
            }
        }
    }

    /// Whether the next comparison is to come soon; counts it.
    pub fn take_eager_comparison(&mut self) -> bool {
        let is_eager = self.eager_comparisons > 0;
        self.eager_comparisons = self.eager_comparisons.saturating_sub(1);
        is_eager
    }

    /// A comparison has shown a large difference: more are to come soon.
    pub fn compare_eagerly(&mut self) {
        self.eager_comparisons = EAGER_COMPARISONS;
    }

    /// A comparison has shown little.
    pub fn compare_at_leisure(&mut self) {
        self.eager_comparisons = 0;
    }
}
