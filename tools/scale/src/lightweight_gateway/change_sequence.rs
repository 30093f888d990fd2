//! The numbered changes of a run, and the check that a gateway applies each of them once and in
//! order.
//!
//! A change writes its number to a key of its own and to [`LATEST_KEY`]. The keys of the last
//! [`RETAINED_CHANGES`] changes are retained, so that a gateway that applies several changes at
//! once, or reads a snapshot, still finds each of them.

use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use violetgate_replicated_state::{CurrentValue, Entries, Revision};

/// The number of changes whose keys are retained.
pub const RETAINED_CHANGES: u64 = 256;
/// The key that holds the number of the latest change.
pub const LATEST_KEY: &str = "scale/latest";
/// The prefix of the keys of changes.
const KEY_PREFIX: &str = "scale/changes/";

/// Returns the key of a change.
#[must_use]
pub fn change_key(number: u64) -> String {
    format!("{KEY_PREFIX}{number:010}")
}

/// Returns the body of the API call that makes a change. It also deletes the key of the change that
/// is no longer retained.
#[must_use]
pub fn change_transaction(number: u64) -> Value {
    let text = number.to_string();
    let mut operations = vec![
        json!({"put": change_key(number), "value": text}),
        json!({"put": LATEST_KEY, "value": text}),
    ];
    let expired = number.checked_sub(RETAINED_CHANGES);
    if let Some(expired) = expired.filter(|number| *number > 0) {
        operations.push(json!({"delete": change_key(expired)}));
    }
    json!({ "then": operations })
}

/// Counts of faulty changes at one gateway or at several.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SequenceFaults {
    /// Changes that are missing from the applied state.
    #[serde(rename = "lost")]
    pub missing: u64,
    /// Changes that were applied a second time.
    #[serde(rename = "doubled")]
    pub duplicated: u64,
    /// Revisions or change numbers that decreased, and changes whose keys hold a wrong number.
    pub out_of_order: u64,
}

impl SequenceFaults {
    /// Adds the counts of `other`.
    pub fn add(&mut self, other: SequenceFaults) {
        self.missing += other.missing;
        self.duplicated += other.duplicated;
        self.out_of_order += other.out_of_order;
    }
}

/// A digest of a sequence of changes and of the revisions that they made.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SequenceDigest(u64);

/// The offset basis and the prime of 64-bit FNV-1a.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

impl Default for SequenceDigest {
    fn default() -> Self {
        SequenceDigest(FNV_OFFSET_BASIS)
    }
}

impl SequenceDigest {
    /// Adds a change and its revision, as two words of FNV-1a.
    pub fn add(&mut self, number: u64, revision: Revision) {
        for word in [number, revision] {
            self.0 = (self.0 ^ word).wrapping_mul(FNV_PRIME);
        }
    }
}

/// The changes that one gateway has applied, as a range of numbers and a digest.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ChangeSequence {
    /// The number of the first change; 0 if none was applied.
    pub first: u64,
    /// The number of the last change; 0 if none was applied.
    pub last: u64,
    /// The digest of all applied changes and their revisions.
    pub digest: SequenceDigest,
}

/// Checks the changes that one gateway applies.
#[derive(Debug, Default)]
pub struct SequenceChecker {
    sequence: ChangeSequence,
    /// The revision that the last change made.
    last_change_revision: Revision,
    /// The latest applied revision.
    revision: Revision,
    faults: SequenceFaults,
}

impl SequenceChecker {
    /// Checks the state after a newer revision or a snapshot was applied.
    pub fn on_applied(&mut self, state: &impl Entries) {
        let revision = state.revision();
        if revision < self.revision {
            self.faults.out_of_order += 1;
        }
        self.revision = revision;
        let latest = state.entry(LATEST_KEY);
        let Some(latest) = latest.and_then(|latest| parse_number(latest.value)) else {
            return;
        };
        if latest < self.sequence.last {
            self.faults.out_of_order += 1;
            return;
        }
        self.check_last_change(state);
        let next = if self.sequence.first == 0 {
            first_retained(state)
        } else {
            Some(self.sequence.last + 1)
        };
        for number in next.unwrap_or(latest)..=latest {
            self.check_change(state, number);
        }
    }

    /// Checks that the last change still has its revision, unless its key was deleted.
    fn check_last_change(&mut self, state: &impl Entries) {
        let current = state.entry(&change_key(self.sequence.last));
        if current.is_some_and(|current| current.revision != self.last_change_revision) {
            self.faults.duplicated += 1;
        }
    }

    /// Checks that the next change is in the state, with its own number and a later revision.
    fn check_change(&mut self, state: &impl Entries, number: u64) {
        if self.sequence.first == 0 {
            self.sequence.first = number;
        }
        self.sequence.last = number;
        let Some(CurrentValue { revision, value }) = state.entry(&change_key(number)) else {
            self.faults.missing += 1;
            return;
        };
        if revision <= self.last_change_revision || parse_number(value) != Some(number) {
            self.faults.out_of_order += 1;
        }
        self.last_change_revision = revision;
        self.sequence.digest.add(number, revision);
    }

    /// Returns the changes that were applied so far.
    #[must_use]
    pub fn sequence(&self) -> ChangeSequence {
        self.sequence
    }

    /// Returns the latest applied revision.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the faults that were found so far.
    #[must_use]
    pub fn faults(&self) -> SequenceFaults {
        self.faults
    }
}

fn parse_number(value: &[u8]) -> Option<u64> {
    std::str::from_utf8(value).ok()?.parse().ok()
}

/// Returns the number of the oldest change whose key is retained.
fn first_retained(state: &impl Entries) -> Option<u64> {
    let retained = state.entries_with_prefix(KEY_PREFIX);
    let key = &retained.first()?.key;
    key.strip_prefix(KEY_PREFIX)?.parse().ok()
}
