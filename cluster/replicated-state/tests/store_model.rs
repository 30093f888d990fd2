//! Compares the store with a simple model that keeps the state of every revision.
#![allow(
    clippy::unwrap_used,
    clippy::indexing_slicing,
    reason = "a test fails by panicking"
)]

use std::collections::BTreeMap;

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::TestCaseResult;
use violetgate_replicated_state::*;

type State = BTreeMap<String, Vec<u8>>;

/// The prefix of the keys that are listed page by page.
const LISTED_PREFIX: &str = "a";

/// One round of the test: a transaction with these mutations, then the steps that are enabled.
#[derive(Debug, Clone)]
struct Round {
    mutations: Vec<Mutation>,
    compacts: bool,
    watches: bool,
    /// The maximum length of a page and of one read of the watcher. Also the number of revisions
    /// before the current one that a compaction keeps.
    limit: usize,
}

fn mutation() -> impl Strategy<Value = Mutation> {
    let key = "[ab]{1,2}";
    prop_oneof![
        3 => (key, any::<u8>()).prop_map(|(key, value)| Mutation::Put {
            key,
            value: vec![value],
            lease: None,
        }),
        1 => key.prop_map(Mutation::Delete),
    ]
}

fn round() -> impl Strategy<Value = Round> {
    (vec(mutation(), 1..4), 0u8..8, 1usize..4).prop_map(|(mutations, kind, limit)| Round {
        mutations,
        compacts: kind == 0,
        watches: kind < 5,
        limit,
    })
}

fn command(operation: Operation) -> Command {
    Command {
        request_id: None,
        actor: "op".to_owned(),
        time: 0,
        operation,
    }
}

fn state_of(entries: Vec<KeyValue>) -> State {
    let entries = entries.into_iter();
    entries.map(|entry| (entry.key, entry.value)).collect()
}

/// Returns the state after the mutations, and whether they change anything.
fn state_after(before: &State, mutations: &[Mutation]) -> (State, bool) {
    let mut state = before.clone();
    let mut changed = false;
    for mutation in mutations {
        changed |= match mutation {
            Mutation::Put { key, value, .. } => {
                state.insert(key.clone(), value.clone());
                true
            }
            Mutation::Delete(key) => state.remove(key).is_some(),
        };
    }
    (state, changed)
}

struct Model {
    store: Store,
    /// The state of each revision, from 0 on.
    states: Vec<State>,
    /// The earliest revision that can still be read.
    first_revision: Revision,
    /// The state that the watcher has built from the changes it read.
    watcher: State,
    /// The revision up to which the watcher has read.
    watched: Revision,
}

impl Model {
    fn new() -> Self {
        Model {
            store: Store::default(),
            states: vec![State::new()],
            first_revision: 0,
            watcher: State::new(),
            watched: 0,
        }
    }

    fn run_round(&mut self, round: &Round) -> TestCaseResult {
        self.change_during_a_listing(round)?;
        if round.compacts {
            self.compact(round.limit);
        }
        if round.watches {
            self.watch(round.limit)?;
        }
        self.check_all_revisions()?;
        let snapshot = self.store.to_snapshot();
        prop_assert_eq!(&Store::from_snapshot(&snapshot).unwrap(), &self.store);
        Ok(())
    }

    /// Changes the store after the first page of a listing. The following pages have to show the
    /// revision of the first page.
    fn change_during_a_listing(&mut self, round: &Round) -> TestCaseResult {
        let at = self.states.len() as u64 - 1;
        let first_page = self.store.list(LISTED_PREFIX, None, None, round.limit);
        let first_page = first_page.unwrap();
        prop_assert_eq!(first_page.revision, at);
        self.change(&round.mutations)?;
        let listed = self.rest_of_listing(first_page, round.limit)?;
        let state = self.states[at as usize].iter();
        let expected: State = state
            .filter(|(key, _)| key.starts_with(LISTED_PREFIX))
            .map(|(key, value)| (key.clone(), value.clone()))
            .collect();
        prop_assert_eq!(listed, expected);
        Ok(())
    }

    fn change(&mut self, mutations: &[Mutation]) -> TestCaseResult {
        let txn = Txn {
            then: mutations.to_vec(),
            ..Txn::default()
        };
        self.store.apply(&command(Operation::Txn(txn)));
        let (state, changed) = state_after(self.states.last().unwrap(), mutations);
        if changed {
            self.states.push(state);
        }
        prop_assert_eq!(self.store.revision(), self.states.len() as u64 - 1);
        Ok(())
    }

    fn rest_of_listing(&self, mut page: Listing, limit: usize) -> Result<State, TestCaseError> {
        let at = page.revision;
        let mut listed = State::new();
        loop {
            prop_assert!(page.entries.len() <= limit && page.revision == at);
            listed.extend(state_of(page.entries));
            let Some(next) = page.next else {
                return Ok(listed);
            };
            let following = self.store.list(LISTED_PREFIX, Some(at), Some(&next), limit);
            page = following.unwrap();
        }
    }

    /// Compacts the history except for the last `remaining` revisions. This may discard changes
    /// that the watcher has not read.
    fn compact(&mut self, remaining: usize) {
        let revision = self.store.revision().saturating_sub(remaining as u64);
        self.first_revision = self.first_revision.max(revision);
        let compact = Operation::Compact(self.first_revision);
        self.store.apply(&command(compact));
    }

    /// Reads the next changes for the watcher. If changes that it has not read were discarded by
    /// compaction, it lists all keys instead.
    fn watch(&mut self, limit: usize) -> TestCaseResult {
        match self.store.changes(self.watched, "", limit) {
            Ok(changes) => {
                for change in changes {
                    self.watched = change.revision;
                    match change.value {
                        Some(value) => self.watcher.insert(change.key, value),
                        None => self.watcher.remove(&change.key),
                    };
                }
            }
            Err(Compacted { first_revision }) => {
                prop_assert!(self.watched < first_revision);
                let all = self.store.list("", None, None, usize::MAX).unwrap();
                self.watched = all.revision;
                self.watcher = state_of(all.entries);
            }
        }
        prop_assert_eq!(&self.watcher, &self.states[self.watched as usize]);
        Ok(())
    }

    fn check_all_revisions(&self) -> TestCaseResult {
        let first_revision = self.first_revision;
        for revision in 0..self.states.len() as u64 {
            let read = self.store.list("", Some(revision), None, usize::MAX);
            if revision < first_revision {
                prop_assert_eq!(read, Err(Compacted { first_revision }));
            } else {
                let state = state_of(read.unwrap().entries);
                prop_assert_eq!(&state, &self.states[revision as usize]);
            }
        }
        Ok(())
    }
}

proptest! {
    /// Every revision that compaction did not discard reads as it was, also page by page with
    /// changes between the pages. A watcher misses no change, and gets an error if compaction
    /// discarded a change. A decoded snapshot is equal to the store.
    #[test]
    fn every_readable_revision_stays_unchanged(rounds in vec(round(), 1..60)) {
        let mut model = Model::new();
        for round in &rounds {
            model.run_round(round)?;
        }
    }

    /// Random bytes are rejected as a snapshot.
    #[test]
    fn random_bytes_are_rejected_as_a_snapshot(bytes in vec(any::<u8>(), 0..60)) {
        prop_assert!(Store::from_snapshot(&bytes).is_err());
    }
}
