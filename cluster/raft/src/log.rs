//! The log as a node sees it: the entries since the last snapshot, in memory. What is durable of it is the
//! program's to keep.

use std::collections::VecDeque;

use crate::{Entry, Index, Membership, Payload, SnapshotMetadata, Term};

/// Entries after a snapshot.
#[derive(Debug, Clone, Default)]
pub struct Log {
    /// What the entries before the first one stand for.
    base: SnapshotMetadata,
    entries: VecDeque<Entry>,
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

    /// The last entry that is not here any more.
    #[must_use]
    pub fn base(&self) -> &SnapshotMetadata {
        &self.base
    }

    /// The last entry.
    #[must_use]
    pub fn last(&self) -> (Term, Index) {
        self.entries
            .back()
            .map_or((self.base.term, self.base.index), |e| (e.term, e.index))
    }

    /// The place of the last entry.
    #[must_use]
    pub fn last_index(&self) -> Index {
        self.last().1
    }

    /// The term of an entry; `None`: it is not here.
    #[must_use]
    pub fn term(&self, index: Index) -> Option<Term> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.get(index).map(|e| e.term)
    }

    /// An entry.
    #[must_use]
    pub fn get(&self, index: Index) -> Option<&Entry> {
        let at = index.checked_sub(self.base.index + 1)?;
        self.entries.get(usize::try_from(at).ok()?)
    }

    /// Entries from `from` to `to`, both in, until they hold `bytes`; at least one, if there is one.
    #[must_use]
    pub fn slice(&self, from: Index, to: Index, bytes: usize) -> Vec<Entry> {
        let (mut out, mut size) = (Vec::new(), 0);
        for entry in (from..=to).map_while(|i| self.get(i)) {
            size += entry.payload.bytes();
            if !out.is_empty() && size > bytes {
                break;
            }
            out.push(entry.clone());
        }
        out
    }

    /// Appends an entry, which has to be the next.
    pub fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        self.entries.push_back(entry);
    }

    /// Takes entries away from `from` on.
    pub fn truncate(&mut self, from: Index) {
        let keep = from.saturating_sub(self.base.index + 1);
        self.entries
            .truncate(usize::try_from(keep).unwrap_or(usize::MAX));
    }

    /// Forgets the entries up to a snapshot that is durable.
    pub fn compact(&mut self, to: SnapshotMetadata) {
        while self.entries.front().is_some_and(|e| e.index <= to.index) {
            self.entries.pop_front();
        }
        self.base = to;
    }

    /// Starts anew after a snapshot. Entries that follow it stay if they are the same log.
    pub fn reset(&mut self, to: SnapshotMetadata) {
        if self.term(to.index) == Some(to.term) && to.index >= self.base.index {
            self.compact(to);
        } else {
            self.entries.clear();
            self.base = to;
        }
    }

    /// The members after the last entry that says who they are, and where that stands.
    #[must_use]
    pub fn members(&self) -> (Index, Membership) {
        let last = self.entries.iter().rev().find_map(|e| match &e.payload {
            Payload::Membership(m) => Some((e.index, m.clone())),
            _ => None,
        });
        last.unwrap_or_else(|| (self.base.index, self.base.members.clone()))
    }

    /// The members as they were at an entry.
    #[must_use]
    pub fn members_at(&self, index: Index) -> Membership {
        let last = self
            .entries
            .iter()
            .rev()
            .filter(|e| e.index <= index)
            .find_map(|e| match &e.payload {
                Payload::Membership(m) => Some(m.clone()),
                _ => None,
            });
        last.unwrap_or_else(|| self.base.members.clone())
    }

    /// How many entries are here.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether none is here.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
