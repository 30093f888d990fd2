//! The stored engine list. The leader stores the last known list for instances that start while the
//! event bus does not answer.

use std::collections::BTreeMap;

use violetgate_replicated_state::{Condition, Entries, Mutation, Txn, MAX_TXN_LENGTH};

use super::encoding::{
    entries_under, number_at, put, revision_of, ENGINE_LIST_OFFSET, ENGINE_PREFIX,
};
use crate::discovery::EngineListSnapshot;

/// Returns the stored engine list, if there is one.
#[must_use]
pub fn stored(state: &impl Entries) -> Option<EngineListSnapshot> {
    let engine =
        |(name, bytes): (String, Vec<u8>)| Some((name, serde_json::from_slice(&bytes).ok()?));
    Some(EngineListSnapshot {
        last_offset: number_at(state, ENGINE_LIST_OFFSET)?,
        engines: entries_under(state, ENGINE_PREFIX)
            .filter_map(engine)
            .collect(),
    })
}

/// Returns the offset of the last event included in the stored list.
#[must_use]
pub fn stored_offset(state: &impl Entries) -> Option<u64> {
    number_at(state, ENGINE_LIST_OFFSET)
}

/// Returns the next transaction towards storing `list`, or `None` if the stored list is not older.
///
/// A transaction has at most [`MAX_TXN_LENGTH`] mutations, so a long list takes several. The last
/// one writes the offset. Until then, the stored list keeps its earlier offset, so that later calls
/// continue with the rest.
#[must_use]
pub fn next_update(state: &impl Entries, list: &EngineListSnapshot) -> Option<Txn> {
    if stored_offset(state).is_some_and(|offset| offset >= list.last_offset) {
        return None;
    }
    let mut then = missing_mutations(state, list);
    then.truncate(MAX_TXN_LENGTH);
    if then.len() < MAX_TXN_LENGTH {
        let offset = list.last_offset.to_string();
        then.push(put(ENGINE_LIST_OFFSET.to_owned(), offset));
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
