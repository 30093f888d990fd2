//! What a subscriber knows of each observer, and which one it tries next.

use std::collections::BTreeMap;

use rand_chacha::rand_core::RngCore;
use rand_chacha::ChaCha8Rng;
use violetgate_raft::NodeId;
use violetgate_replicated_state::Micros;

use crate::message::Refusal;

/// A load that was heard of longer ago than this is not counted on.
const LOAD_COUNTS: Micros = 60_000_000;
/// Shares of the capacity are counted in thousandths.
pub(super) const WHOLE: u64 = 1_000;

/// A number from 0 to `most`, drawn evenly.
pub(super) fn draw(rng: &mut ChaCha8Rng, most: u64) -> u64 {
    match most.checked_add(1) {
        Some(values) => rng.next_u64() % values,
        None => rng.next_u64(),
    }
}

/// One observer.
#[derive(Debug, Default)]
struct Known {
    /// The share of its capacity that is taken, in thousandths, and when it was heard of.
    load: Option<(u64, Micros)>,
    /// The longest pause before the next attempt; 0: the last one did not fail.
    pause: Micros,
    not_before: Micros,
    refusal: Option<(Micros, Refusal)>,
}

/// All observers.
#[derive(Debug)]
pub(super) struct Directory {
    observers: BTreeMap<NodeId, Known>,
    pause: (Micros, Micros),
}

impl Directory {
    pub fn new(observers: &[NodeId], pause: (Micros, Micros)) -> Self {
        let observers = observers.iter().map(|id| (*id, Known::default())).collect();
        Directory { observers, pause }
    }

    pub fn len(&self) -> usize {
        self.observers.len()
    }

    /// An observer has told of its load.
    pub fn heard_load(&mut self, now: Micros, id: NodeId, subscribers: u32, capacity: u32) {
        if let Some(known) = self.observers.get_mut(&id) {
            let share = u64::from(subscribers).saturating_mul(WHOLE) / u64::from(capacity.max(1));
            known.load = Some((share, now));
        }
    }

    /// The share of an observer's capacity that is taken, if it was heard of lately.
    pub fn load(&self, now: Micros, id: NodeId) -> Option<u64> {
        let (share, at) = self.observers.get(&id)?.load?;
        (now.saturating_sub(at) < LOAD_COUNTS).then_some(share)
    }

    /// An observer has taken this subscriber.
    pub fn accepted(&mut self, id: NodeId) {
        if let Some(known) = self.observers.get_mut(&id) {
            known.refusal = None;
        }
    }

    /// An observer has answered a question: it works.
    pub fn proved(&mut self, id: NodeId) {
        if let Some(known) = self.observers.get_mut(&id) {
            known.pause = 0;
        }
    }

    /// A connection failed or ended. A full observer did not fail: that only counts as its load.
    pub fn failed(
        &mut self,
        now: Micros,
        id: NodeId,
        refusal: Option<&Refusal>,
        rng: &mut ChaCha8Rng,
    ) {
        let (first, longest) = self.pause;
        let Some(known) = self.observers.get_mut(&id) else {
            return;
        };
        if let Some(refusal) = refusal {
            known.refusal = Some((now, refusal.clone()));
        }
        if matches!(refusal, Some(Refusal::Full { .. })) {
            known.load = Some((WHOLE, now));
            known.not_before = now.saturating_add(draw(rng, longest));
            return;
        }
        known.pause = known.pause.saturating_mul(2).clamp(first, longest);
        known.not_before = now.saturating_add(draw(rng, known.pause));
    }

    /// The refusal that was heard last among those still in force.
    pub fn refusal(&self) -> Option<&Refusal> {
        let refusals = self
            .observers
            .values()
            .filter_map(|known| known.refusal.as_ref());
        refusals
            .max_by_key(|(at, _)| *at)
            .map(|(_, refusal)| refusal)
    }

    /// Of two observers that are drawn, the one with less load; none of those `held`.
    pub fn choose(
        &self,
        now: Micros,
        held: impl Fn(NodeId) -> bool,
        rng: &mut ChaCha8Rng,
    ) -> Option<NodeId> {
        let ready = |(id, known): &(&NodeId, &Known)| !held(**id) && known.not_before <= now;
        let mut ready: Vec<NodeId> = self
            .observers
            .iter()
            .filter(ready)
            .map(|(id, _)| *id)
            .collect();
        let first = take_one(&mut ready, rng)?;
        let Some(second) = take_one(&mut ready, rng) else {
            return Some(first);
        };
        match (self.load(now, first), self.load(now, second)) {
            (Some(one), Some(other)) if other < one => Some(second),
            _ => Some(first),
        }
    }

    /// When the next of those not `held` may be tried.
    pub fn ready_at(&self, held: impl Fn(NodeId) -> bool) -> Micros {
        let others = self.observers.iter().filter(|(id, _)| !held(**id));
        others
            .map(|(_, known)| known.not_before)
            .min()
            .unwrap_or(Micros::MAX)
    }
}

fn take_one(from: &mut Vec<NodeId>, rng: &mut ChaCha8Rng) -> Option<NodeId> {
    let last = from.len().checked_sub(1)?;
    let place = usize::try_from(draw(rng, last as u64)).unwrap_or(last);
    Some(from.swap_remove(place))
}
