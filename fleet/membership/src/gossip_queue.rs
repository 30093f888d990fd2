//! Updates that are still to be passed on: each is sent a limited number of times, the least often
//! sent first, from a queue of bounded length.
//!
//! Taking and replacing updates costs the logarithm of the queue's length, since a whole fleet that
//! starts at once fills it.

use std::collections::BTreeMap;

use crate::member_update::{MemberName, MemberState, MemberUpdate};

/// The most updates that wait to be sent.
const MAX_QUEUED: usize = 4_096;

/// Receiving a queued update from another member counts as so many transmissions of it.
const RECEIPT_WEIGHT: u32 = 3;

/// The order of the queue: the least often sent first, then deaths and suspicions, which are more
/// urgent, then by age.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Position {
    transmissions: u32,
    is_alive: bool,
    number: u64,
}

/// The queue of updates to be sent.
#[derive(Debug, Clone, Default)]
pub(crate) struct GossipQueue {
    queue: BTreeMap<Position, MemberUpdate>,
    /// The positions of each member's updates: one, or several suspicions by different accusers.
    by_member: BTreeMap<MemberName, Vec<Position>>,
    next_number: u64,
    /// Updates that were dropped because the queue was full.
    pub dropped: u64,
}

impl GossipQueue {
    /// Queues an update in place of those that it supersedes. A full queue drops what has been sent
    /// most often.
    pub fn push(&mut self, update: MemberUpdate) {
        let queued = self.by_member.get(&update.name).cloned();
        for position in queued.unwrap_or_default() {
            let is_superseded = |queued: &MemberUpdate| {
                queued.precedence() < update.precedence() || *queued == update
            };
            if self.queue.get(&position).is_some_and(is_superseded) {
                self.remove(position);
            }
        }
        if self.queue.len() >= MAX_QUEUED {
            if let Some((&last, _)) = self.queue.last_key_value() {
                self.remove(last);
            }
            self.dropped += 1;
        }
        self.add(update, 0);
    }

    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Takes the next updates to send, up to `max_updates`. Each is sent `transmit_limit` times in
    /// all.
    pub fn take_next(&mut self, max_updates: usize, transmit_limit: u32) -> Vec<MemberUpdate> {
        let positions: Vec<Position> = self.queue.keys().take(max_updates).copied().collect();
        let mut taken = Vec::with_capacity(positions.len());
        for position in positions {
            let Some(update) = self.remove(position) else {
                continue;
            };
            let transmissions = position.transmissions + 1;
            if transmissions < transmit_limit {
                self.add(update.clone(), transmissions);
            }
            taken.push(update);
        }
        taken
    }

    /// Another member has sent a queued update: it counts as sent several times. Else each member
    /// of a fleet that starts at once would receive all names many times over.
    pub fn record_receipt(&mut self, update: &MemberUpdate, transmit_limit: u32) {
        let positions = self.by_member.get(&update.name).into_iter().flatten();
        let is_same = |position: &&Position| self.queue.get(*position) == Some(update);
        let Some(&position) = positions.into_iter().find(is_same) else {
            return;
        };
        self.remove(position);
        let transmissions = position.transmissions + RECEIPT_WEIGHT;
        if transmissions < transmit_limit {
            self.add(update.clone(), transmissions);
        }
    }

    fn add(&mut self, update: MemberUpdate, transmissions: u32) {
        let position = Position {
            transmissions,
            is_alive: update.state == MemberState::Alive,
            number: self.next_number,
        };
        self.next_number += 1;
        self.by_member
            .entry(MemberName::clone(&update.name))
            .or_default()
            .push(position);
        self.queue.insert(position, update);
    }

    fn remove(&mut self, position: Position) -> Option<MemberUpdate> {
        let update = self.queue.remove(&position)?;
        if let Some(positions) = self.by_member.get_mut(&update.name) {
            positions.retain(|other| *other != position);
            if positions.is_empty() {
                self.by_member.remove(&update.name);
            }
        }
        Some(update)
    }
}
