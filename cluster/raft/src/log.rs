//! The in-memory log of a node: the entries since the latest snapshot. The caller makes them
//! durable.

use std::collections::VecDeque;

use crate::{Entry, Index, LogPosition, Membership, Payload, SnapshotMetadata, Term};

/// The latest snapshot's metadata and the entries that follow it.
#[derive(Debug, Clone, Default)]
pub struct Log {
    /// The snapshot that replaces all entries before the first one in `entries`.
    base: SnapshotMetadata,
    entries: VecDeque<Entry>,
}

/// A membership and the index from which it is in effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EffectiveMembership {
    /// The index of the entry that set the membership, or of the snapshot's last entry.
    pub index: Index,
    /// The membership that is in effect from that entry on.
    pub membership: Membership,
}

impl Log {
    /// Creates a log of a snapshot and the entries that follow it.
    #[must_use]
    pub fn new(base: SnapshotMetadata, entries: Vec<Entry>) -> Self {
        Log {
            base,
            entries: entries.into(),
        }
    }

    /// Returns the metadata of the snapshot that precedes the first entry.
    #[must_use]
    pub fn base(&self) -> &SnapshotMetadata {
        &self.base
    }

    /// Returns the position of the last entry, or of the snapshot if there are no entries.
    #[must_use]
    pub fn last(&self) -> LogPosition {
        self.entries
            .back()
            .map_or(self.base.position(), Entry::position)
    }

    /// Returns the index of the last entry, or of the snapshot if there are no entries.
    #[must_use]
    pub fn last_index(&self) -> Index {
        self.last().index
    }

    /// Returns the term of the entry at `index`, or `None` if the log has no such entry. The last
    /// entry of the snapshot counts as present.
    #[must_use]
    pub fn term(&self, index: Index) -> Option<Term> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// Returns whether the entry at `position.index` is known and has the term `position.term`.
    #[must_use]
    pub fn contains(&self, position: LogPosition) -> bool {
        self.term(position.index) == Some(position.term)
    }

    /// Returns the entry at `index`, or `None` if it is compacted or beyond the end of the log.
    #[must_use]
    pub fn get(&self, index: Index) -> Option<&Entry> {
        let offset = index.checked_sub(self.base.index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Returns the entries from `from` to `to` inclusive, up to `max_bytes` bytes in total. The
    /// first entry is returned even if it is larger.
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

    /// Appends an entry, whose index must be [`Log::last_index`] + 1.
    pub fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        self.entries.push_back(entry);
    }

    /// Removes the entry at `from` and all later ones.
    pub fn truncate(&mut self, from: Index) {
        let remaining = from.saturating_sub(self.base.index + 1);
        self.entries
            .truncate(usize::try_from(remaining).unwrap_or(usize::MAX));
    }

    /// Discards the entries that a durable snapshot covers.
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

    /// Replaces the log by a snapshot from the leader. The entries after the snapshot are kept if
    /// this log contains the snapshot's last entry.
    pub fn reset(&mut self, snapshot: SnapshotMetadata) {
        if self.contains(snapshot.position()) && snapshot.index >= self.base.index {
            self.compact(snapshot);
        } else {
            self.entries.clear();
            self.base = snapshot;
        }
    }

    /// Returns the latest membership in the log. A node uses a membership as soon as it appends
    /// the entry, before the entry is committed.
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

    /// Returns the membership that is in effect at the entry at `index`.
    #[must_use]
    pub fn membership_at(&self, index: Index) -> Membership {
        let entries = self.entries.iter().rev();
        entries
            .filter(|entry| entry.index <= index)
            .find_map(membership_of)
            .unwrap_or(&self.base.membership)
            .clone()
    }

    /// Returns the number of entries after the snapshot.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no entries follow the snapshot.
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
