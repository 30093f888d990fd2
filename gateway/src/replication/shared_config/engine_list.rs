//! The stored engine list. The leader stores the list of its event bus for instances that start while
//! their own event bus does not answer.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use violetgate_policy::interface::Micros;
use violetgate_replicated_state::{Condition, Entries, Mutation, Revision, Txn, MAX_TXN_LENGTH};

use super::encoding::{
    entries_under, put, revision_of, ENGINE_LIST_CONFIRMATION, ENGINE_LIST_OFFSET, ENGINE_PREFIX,
};
use crate::discovery::{EngineListSnapshot, StoredEngineList, LIST_SETTLES_AFTER_US};

/// The number of mutations that end the update of a list: its offset and its confirmation.
const FINAL_MUTATIONS: usize = 2;

/// When the stored list was changed, and when the leader's event bus last confirmed it. Times are in
/// microseconds since the Unix epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct ListTimes {
    #[serde(rename = "changed_us")]
    changed_at: Micros,
    #[serde(rename = "confirmed_us")]
    confirmed_at: Micros,
}

/// The record that the stored list is complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListConfirmation {
    /// The revision that last completed an update of the list.
    pub revision: Revision,
    times: ListTimes,
}

impl ListConfirmation {
    /// Reads the record. `None` if there is none, or if a leader of an earlier version, which
    /// writes none, has changed the list since.
    #[must_use]
    pub fn read(state: &impl Entries) -> Option<Self> {
        let entry = state.entry(ENGINE_LIST_CONFIRMATION)?;
        let times = serde_json::from_slice(entry.value).ok()?;
        let revision = revision_of(state, ENGINE_LIST_OFFSET);
        (entry.revision >= revision).then_some(ListConfirmation { revision, times })
    }

    /// Returns whether a confirmation at `confirmed_at` has to be stored: the last one came so soon
    /// after the list changed that the list may have lacked events from before the change.
    #[must_use]
    pub fn is_due(&self, confirmed_at: Micros) -> bool {
        let settled_at = self.times.changed_at.saturating_add(LIST_SETTLES_AFTER_US);
        self.times.confirmed_at < settled_at && confirmed_at >= settled_at
    }
}

/// Returns the stored engine list, if there is one.
#[must_use]
pub fn stored(state: &impl Entries) -> Option<StoredEngineList> {
    state.entry(ENGINE_LIST_OFFSET)?;
    let entries = state.entries_with_prefix(ENGINE_PREFIX);
    let changed_in = entries.iter().map(|entry| entry.revision).max();
    let is_complete = |confirmed_in: Revision| changed_in.is_none_or(|it| it <= confirmed_in);
    let confirmation = ListConfirmation::read(state)
        .filter(|_| is_complete(revision_of(state, ENGINE_LIST_CONFIRMATION)));
    let engine =
        |(name, bytes): (String, Vec<u8>)| Some((name, serde_json::from_slice(&bytes).ok()?));
    Some(StoredEngineList {
        engines: entries_under(state, ENGINE_PREFIX)
            .filter_map(engine)
            .collect(),
        confirmed_at: confirmation.map(|confirmation| confirmation.times.confirmed_at),
    })
}

/// Returns the next transaction towards storing `list`, which the event bus confirmed at
/// `confirmed_at` (in microseconds since the Unix epoch), or `None` if nothing has to be stored.
///
/// The stored list is compared with `list` by content. Offsets can't be compared: another start or
/// another instance may have written the stored one.
///
/// A transaction has at most [`MAX_TXN_LENGTH`] mutations, so a long list takes several. Each of
/// them but the last one deletes the confirmation, and later calls continue with the rest. The last
/// one writes the offset and the confirmation.
#[must_use]
pub fn next_update(
    state: &impl Entries,
    list: &EngineListSnapshot,
    confirmed_at: Micros,
) -> Option<Txn> {
    let mut then = missing_mutations(state, list);
    let confirmation = ListConfirmation::read(state).filter(|_| then.is_empty());
    if confirmation.is_some_and(|confirmation| !confirmation.is_due(confirmed_at)) {
        return None;
    }
    if then.len() + FINAL_MUTATIONS > MAX_TXN_LENGTH {
        then.truncate(MAX_TXN_LENGTH - 1);
        then.push(Mutation::Delete(ENGINE_LIST_CONFIRMATION.to_owned()));
    } else {
        let changed_at =
            confirmation.map_or(confirmed_at, |confirmation| confirmation.times.changed_at);
        let times = ListTimes {
            changed_at,
            confirmed_at,
        };
        let times = serde_json::to_vec(&times).unwrap_or_default();
        then.push(put(
            ENGINE_LIST_OFFSET.to_owned(),
            list.last_offset.to_string(),
        ));
        then.push(put(ENGINE_LIST_CONFIRMATION.to_owned(), times));
    }
    let unchanged = Condition::RevisionIs(
        ENGINE_LIST_OFFSET.to_owned(),
        revision_of(state, ENGINE_LIST_OFFSET),
    );
    Some(Txn {
        conditions: vec![unchanged],
        then,
        ..Txn::default()
    })
}

/// Returns the mutations that turn the stored engines into `list`: deletions first, then new or
/// changed engines.
fn missing_mutations(state: &impl Entries, list: &EngineListSnapshot) -> Vec<Mutation> {
    let stored: BTreeMap<String, Vec<u8>> = entries_under(state, ENGINE_PREFIX).collect();
    let encoded = |(name, engine): (&String, &serde_json::Value)| {
        Some((name.clone(), serde_json::to_vec(engine).ok()?))
    };
    let wanted: BTreeMap<String, Vec<u8>> = list.engines.iter().filter_map(encoded).collect();
    let deleted = stored
        .keys()
        .filter(|name| !wanted.contains_key(*name))
        .map(|name| Mutation::Delete(format!("{ENGINE_PREFIX}{name}")));
    let changed = wanted
        .iter()
        .filter(|(name, engine)| stored.get(*name) != Some(*engine))
        .map(|(name, engine)| put(format!("{ENGINE_PREFIX}{name}"), engine.clone()));
    deleted.chain(changed).collect()
}
