//! News on its way: each claim rides along on so many messages, the least told first, in a queue of bounded length.
//! Taking and replacing claims costs the logarithm of the queue's length, since a whole fleet that starts at once
//! fills it.

use std::collections::BTreeMap;

use crate::claim::{Claim, Name, State};

/// The most claims that wait to be told.
const MOST: usize = 4_096;

/// A claim that is heard from another counts as told so often.
const HEARD_COUNTS: u32 = 3;

/// Where a claim stands in the queue: the least told first, then deaths and suspicions, for which there is less time,
/// then by age.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Position {
    told: u32,
    alive: bool,
    number: u64,
}

/// The queue.
#[derive(Debug, Clone, Default)]
pub(crate) struct Spread {
    queue: BTreeMap<Position, Claim>,
    /// Where the claims of each name stand: one, or as many as accuse it.
    by_name: BTreeMap<Name, Vec<Position>>,
    next_number: u64,
    pub dropped: u64,
}

impl Spread {
    /// Queues a claim in place of what it makes old. Full: what has been told most often goes.
    pub fn push(&mut self, claim: Claim) {
        let old: Vec<Position> = self
            .by_name
            .get(&claim.name)
            .into_iter()
            .flatten()
            .copied()
            .collect();
        for position in old {
            let outdated = |c: &Claim| c.rank() < claim.rank() || *c == claim;
            if self.queue.get(&position).is_some_and(outdated) {
                self.remove(position);
            }
        }
        if self.queue.len() >= MOST {
            let last = self.queue.last_key_value().map(|(position, _)| *position);
            last.and_then(|position| self.remove(position));
            self.dropped += 1;
        }
        self.add(claim, 0);
    }

    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// The next claims to tell; what has been told `times` by then is done with.
    pub fn take(&mut self, most: usize, times: u32) -> Vec<Claim> {
        let positions: Vec<Position> = self.queue.keys().take(most).copied().collect();
        let mut taken = Vec::with_capacity(positions.len());
        for position in positions {
            let Some(claim) = self.remove(position) else {
                continue;
            };
            if position.told + 1 < times {
                self.add(claim.clone(), position.told + 1);
            }
            taken.push(claim);
        }
        taken
    }

    /// Another has told a claim: where it waits here, that counts as having told it some times, or a fleet that starts
    /// at once would tell each of its members all names many times over.
    pub fn heard(&mut self, claim: &Claim, times: u32) {
        let positions = self.by_name.get(&claim.name).into_iter().flatten();
        let same = |p: &&Position| self.queue.get(*p).is_some_and(|queued| queued == claim);
        let Some(position) = positions.copied().find(|p| same(&p)) else {
            return;
        };
        self.remove(position);
        let told = position.told + HEARD_COUNTS;
        if told < times {
            self.add(claim.clone(), told);
        }
    }

    fn add(&mut self, claim: Claim, told: u32) {
        let position = Position {
            told,
            alive: claim.state == State::Alive,
            number: self.next_number,
        };
        self.next_number += 1;
        self.by_name
            .entry(Name::clone(&claim.name))
            .or_default()
            .push(position);
        self.queue.insert(position, claim);
    }

    fn remove(&mut self, position: Position) -> Option<Claim> {
        let claim = self.queue.remove(&position)?;
        if let Some(positions) = self.by_name.get_mut(&claim.name) {
            positions.retain(|p| *p != position);
            if positions.is_empty() {
                self.by_name.remove(&claim.name);
            }
        }
        Some(claim)
    }
}
