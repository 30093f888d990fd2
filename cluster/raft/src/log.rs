//! The log as a node sees it: the entries since the latest snapshot, in memory. Making them
//! durable is the caller's task.

use std::collections::VecDeque;

use crate::{Entry, Index, LogPosition, Membership, Payload, SnapshotMetadata, Term};

/// The entries after a snapshot.
#[derive(Debug, Clone, Default)]
pub struct Log {
    /// The snapshot that stands for the entries before the first one here.
    base: SnapshotMetadata,
    entries: VecDeque<Entry>,
}

/// A membership and the entry that set it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EffectiveMembership {
    /// The entry that set it, or the snapshot's last entry.
    pub index: Index,
    /// The membership from that entry on.
    pub membership: Membership,
}

impl Log {
    /// Entries that follow a snapshot.
    #[must_use]
    pub fn new(base: SnapshotMetadata, entries: Vec<Entry>) -> Self {
        Log {
            base,
            entries: entries.into(),
        }
    }

    /// The snapshot before the first entry.
    #[must_use]
    pub fn base(&self) -> &SnapshotMetadata {
        &self.base
    }

    /// The position of the last entry.
    #[must_use]
    pub fn last(&self) -> LogPosition {
        self.entries
            .back()
            .map_or(self.base.position(), Entry::position)
    }

    /// The index of the last entry.
    #[must_use]
    pub fn last_index(&self) -> Index {
        self.last().index
    }

    /// The term of an entry; `None` if it is not here.
    #[must_use]
    pub fn term(&self, index: Index) -> Option<Term> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// Whether the log has this entry with this term.
    #[must_use]
    pub fn contains(&self, position: LogPosition) -> bool {
        self.term(position.index) == Some(position.term)
    }

    /// An entry; `None` if it is not here.
    #[must_use]
    pub fn get(&self, index: Index) -> Option<&Entry> {
        let offset = index.checked_sub(self.base.index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// The entries from `from` to `to`, both included, up to `max_bytes`, but at least one if
    /// there is one.
    #[must_use]
    pub fn slice(&self, from: Index, to: Index, max_bytes: usize) -> Vec<Entry> {
        let mut slice = Vec::new();
        let mut bytes = 0;
        for entry in (from..=to).map_while(|index| self.get(index)) {
            bytes += entry.payload.approximate_bytes();
            if !slice.is_empty() && bytes > max_bytes {
                break;
            }
            slice.push(entry.clone());
        }
        slice
    }

    /// Appends an entry, whose index has to be the next.
    pub fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        self.entries.push_back(entry);
    }

    /// Removes the entries from `from` on.
    pub fn truncate(&mut self, from: Index) {
        let remaining = from.saturating_sub(self.base.index + 1);
        self.entries
            .truncate(usize::try_from(remaining).unwrap_or(usize::MAX));
    }

    /// Discards the entries up to a snapshot that is durable.
    pub fn compact(&mut self, snapshot: SnapshotMetadata) {
        while self
            .entries
            .front()
            .is_some_and(|entry| entry.index <= snapshot.index)
        {
            self.entries.pop_front();
        }
        self.base = snapshot;
    }

    /// Begins anew after a snapshot from the leader. Entries that follow it stay if they continue
    /// the same log.
    pub fn reset(&mut self, snapshot: SnapshotMetadata) {
        if self.contains(snapshot.position()) && snapshot.index >= self.base.index {
            self.compact(snapshot);
        } else {
            self.entries.clear();
            self.base = snapshot;
        }
    }

    /// The membership at the end of the log. A node uses it from the moment it appends it,
    /// committed or not.
    #[must_use]
    pub fn membership(&self) -> EffectiveMembership {
        let latest = self.entries.iter().rev().find_map(|entry| {
            membership_of(entry).map(|membership| EffectiveMembership {
                index: entry.index,
                membership: membership.clone(),
            })
        });
        latest.unwrap_or_else(|| EffectiveMembership {
            index: self.base.index,
            membership: self.base.membership.clone(),
        })
    }

    /// The membership as of an entry.
    #[must_use]
    pub fn membership_at(&self, index: Index) -> Membership {
        let entries = self.entries.iter().rev();
        entries
            .filter(|entry| entry.index <= index)
            .find_map(membership_of)
            .unwrap_or(&self.base.membership)
            .clone()
    }

    /// How many entries are here.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no entry is here.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

fn membership_of(entry: &Entry) -> Option<&Membership> {
    match &entry.payload {
        Payload::Membership(membership) => Some(membership),
        Payload::Blank | Payload::Command(_) => None,
    }
}
