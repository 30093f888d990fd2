//! The order of queries that share an ordering key.

use std::collections::BTreeMap;

use crate::interface::{Micros, QueryId};

/// An earlier attempt may still run: until a time only its own query may go on.
#[derive(Debug, Clone, Copy)]
pub(crate) struct KeyHold {
    pub until: Micros,
    /// The sequence number of that query.
    pub sequence: u64,
}

/// The open queries of one ordering key.
#[derive(Debug, Default)]
pub(crate) struct KeyOrder {
    /// By sequence number, that is in order of arrival.
    pub open: BTreeMap<u64, QueryId>,
    pub hold: Option<KeyHold>,
}

impl KeyOrder {
    /// Whether a query of the key may run at `now`.
    pub fn may_run(&self, sequence: u64, now: Micros) -> bool {
        if !self.open.contains_key(&sequence) {
            return true;
        }
        let oldest = self.open.first_key_value();
        let is_first = oldest.is_some_and(|(first, _)| *first == sequence);
        let blocks = |hold: KeyHold| hold.until > now && hold.sequence != sequence;
        is_first && !self.hold.is_some_and(blocks)
    }

    /// The oldest open query.
    pub fn first(&self) -> Option<QueryId> {
        self.open.first_key_value().map(|(_, query)| *query)
    }
}
