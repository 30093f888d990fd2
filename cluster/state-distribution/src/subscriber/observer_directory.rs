//! Load, backoff and rejections of each observer, and the choice of the observer to try next: of
//! two drawn at random, the one with less load.

use std::collections::BTreeMap;

use rand_chacha::ChaCha8Rng;
use violetgate_raft::NodeId;
use violetgate_replicated_state::Micros;

use super::random::random_up_to;
use super::Backoff;
use crate::rejection::Rejection;

/// A load report older than this is not used.
const LOAD_LIFETIME_US: Micros = 60_000_000;
/// The load of an observer whose capacity is fully used. Loads are in thousandths of the capacity.
pub(super) const FULL_LOAD: u64 = 1_000;

#[derive(Debug)]
struct Load {
    /// In thousandths of the capacity.
    thousandths: u64,
    reported_at: Micros,
}

#[derive(Debug)]
struct ReceivedRejection {
    at: Micros,
    rejection: Rejection,
}

#[derive(Debug, Default)]
struct ObserverRecord {
    load: Option<Load>,
    /// The bound of the delay after the last failure, in microseconds; 0 if the observer has not
    /// failed or has answered a poll since.
    backoff: Micros,
    not_before: Micros,
    rejection: Option<ReceivedRejection>,
}

/// The records of all observers that this subscriber may connect to.
#[derive(Debug)]
pub(super) struct ObserverDirectory {
    observers: BTreeMap<NodeId, ObserverRecord>,
    backoff: Backoff,
}

impl ObserverDirectory {
    pub fn new(observers: &[NodeId], backoff: Backoff) -> Self {
        let records = observers.iter().map(|id| (*id, ObserverRecord::default()));
        ObserverDirectory {
            observers: records.collect(),
            backoff,
        }
    }

    pub fn len(&self) -> usize {
        self.observers.len()
    }

    /// Records the load that an observer has reported.
    pub fn record_load(&mut self, now: Micros, id: NodeId, subscribers: u32, capacity: u32) {
        if let Some(record) = self.observers.get_mut(&id) {
            let subscribers = u64::from(subscribers);
            record.load = Some(Load {
                thousandths: subscribers.saturating_mul(FULL_LOAD) / u64::from(capacity.max(1)),
                reported_at: now,
            });
        }
    }

    /// Returns an observer's load in thousandths of its capacity, if it was reported recently.
    pub fn load(&self, now: Micros, id: NodeId) -> Option<u64> {
        let load = self.observers.get(&id)?.load.as_ref()?;
        let age = now.saturating_sub(load.reported_at);
        (age < LOAD_LIFETIME_US).then_some(load.thousandths)
    }

    /// Records that an observer has accepted this subscriber.
    pub fn record_acceptance(&mut self, id: NodeId) {
        if let Some(record) = self.observers.get_mut(&id) {
            record.rejection = None;
        }
    }

    /// Resets the backoff of an observer that has answered a poll.
    pub fn record_answer(&mut self, id: NodeId) {
        if let Some(record) = self.observers.get_mut(&id) {
            record.backoff = 0;
        }
    }

    /// Records that a connection or attempt has failed or ended. An observer that is full has not
    /// failed: its load is recorded as full, and its backoff does not grow.
    pub fn record_failure(
        &mut self,
        now: Micros,
        id: NodeId,
        rejection: Option<&Rejection>,
        rng: &mut ChaCha8Rng,
    ) {
        let Some(record) = self.observers.get_mut(&id) else {
            return;
        };
        if let Some(rejection) = rejection {
            record.rejection = Some(ReceivedRejection {
                at: now,
                rejection: rejection.clone(),
            });
        }
        if matches!(rejection, Some(Rejection::Full { .. })) {
            record.load = Some(Load {
                thousandths: FULL_LOAD,
                reported_at: now,
            });
            record.not_before = now.saturating_add(random_up_to(rng, self.backoff.max));
            return;
        }
        record.backoff = self.backoff.next_bound(record.backoff);
        record.not_before = now.saturating_add(random_up_to(rng, record.backoff));
    }

    /// Returns the latest rejection among observers that have not accepted this subscriber since.
    pub fn last_rejection(&self) -> Option<&Rejection> {
        let records = self.observers.values();
        let received = records.filter_map(|record| record.rejection.as_ref());
        let latest = received.max_by_key(|received| received.at)?;
        Some(&latest.rejection)
    }

    /// Draws two observers at random and returns the one with less load. Observers that are
    /// `excluded` or backing off are not drawn.
    pub fn choose(
        &self,
        now: Micros,
        excluded: impl Fn(NodeId) -> bool,
        rng: &mut ChaCha8Rng,
    ) -> Option<NodeId> {
        let is_candidate =
            |id: NodeId, record: &ObserverRecord| !excluded(id) && record.not_before <= now;
        let mut candidates: Vec<NodeId> = self
            .observers
            .iter()
            .filter(|(id, record)| is_candidate(**id, record))
            .map(|(id, _)| *id)
            .collect();
        let first = take_random(&mut candidates, rng)?;
        let Some(second) = take_random(&mut candidates, rng) else {
            return Some(first);
        };
        match (self.load(now, first), self.load(now, second)) {
            (Some(first_load), Some(second_load)) if second_load < first_load => Some(second),
            _ => Some(first),
        }
    }

    /// Returns when the first observer that is not `excluded` may be tried.
    pub fn ready_at(&self, excluded: impl Fn(NodeId) -> bool) -> Micros {
        let others = self.observers.iter().filter(|(id, _)| !excluded(**id));
        let ready_at = others.map(|(_, record)| record.not_before).min();
        ready_at.unwrap_or(Micros::MAX)
    }
}

fn take_random(from: &mut Vec<NodeId>, rng: &mut ChaCha8Rng) -> Option<NodeId> {
    let last = from.len().checked_sub(1)?;
    let index = usize::try_from(random_up_to(rng, last as u64)).unwrap_or(last);
    Some(from.swap_remove(index))
}
