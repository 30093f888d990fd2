//! A bounded queue of updates to gossip. Each update is sent a limited number of times; those that
//! were sent least often come first.
//!
//! Taking or replacing an update takes logarithmic time, because the queue is long when a whole
//! fleet starts at once.

use std::collections::BTreeMap;

use crate::member_update::{MemberName, MemberState, MemberUpdate};

/// Maximum number of queued updates.
const MAX_QUEUED: usize = 4_096;

/// When another member sends an update that is queued here, the update counts as sent this many
/// more times.
const RECEIPT_WEIGHT: u32 = 3;

/// Sort key of the queue: the least often sent updates first, then updates about members that are
/// not alive, which are more urgent, then the oldest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Position {
    transmissions: u32,
    is_alive: bool,
    number: u64,
}

/// Queue of updates to gossip.
#[derive(Debug, Clone, Default)]
pub(crate) struct GossipQueue {
    queue: BTreeMap<Position, MemberUpdate>,
    /// Positions of each member's updates. Several suspicions by different accusers may be queued.
    by_member: BTreeMap<MemberName, Vec<Position>>,
    next_number: u64,
    /// Number of updates that were dropped because the queue was full.
    pub dropped: u64,
}

impl GossipQueue {
    /// Queues an update and removes those that it supersedes. If the queue is full, drops the last
    /// update, which is one of those that were sent most often.
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

    /// Returns up to `max_updates` updates to send next. An update leaves the queue after
    /// `transmit_limit` transmissions.
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

    /// Records that another member has sent a queued update, which counts as several transmissions.
    /// Without this, each member of a fleet that starts at once would receive every update many
    /// times.
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
