//! Keeps the order of queries that share an ordering key.

use std::collections::BTreeMap;

use crate::interface::{Micros, QueryId};

/// A hold on an ordering key, set when an attempt ended that may still run on its engine. Until
/// the hold ends, only the query of that attempt may run.
#[derive(Debug, Clone, Copy)]
pub(crate) struct KeyHold {
    pub until: Micros,
    /// The sequence number of the query that may run.
    pub sequence: u64,
}

/// The open queries of one ordering key.
#[derive(Debug, Default)]
pub(crate) struct KeyOrder {
    /// The open queries by sequence number, which is the order of arrival.
    pub open: BTreeMap<u64, QueryId>,
    pub hold: Option<KeyHold>,
}

impl KeyOrder {
    /// Returns whether the query with a sequence number may run at `now`. A query that is not in
    /// the order may always run.
    pub fn may_run(&self, sequence: u64, now: Micros) -> bool {
        if !self.open.contains_key(&sequence) {
            return true;
        }
        let oldest = self.open.first_key_value();
        let is_first = oldest.is_some_and(|(first, _)| *first == sequence);
        let blocks = |hold: KeyHold| hold.until > now && hold.sequence != sequence;
        is_first && !self.hold.is_some_and(blocks)
    }

    /// Returns whether no query with this key is open and the key is not held at `now`.
    pub fn is_unused_at(&self, now: Micros) -> bool {
        self.open.is_empty() && self.hold.is_none_or(|hold| hold.until <= now)
    }

    /// Returns the oldest open query.
    pub fn first(&self) -> Option<QueryId> {
        self.open.first_key_value().map(|(_, query)| *query)
    }
}
