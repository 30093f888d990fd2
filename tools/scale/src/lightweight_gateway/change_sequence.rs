//! The numbered changes of a run, and the check that a gateway applies each of them once and in
//! order.
//!
//! A change writes its number under a key of its own and as the latest one. The keys of the last
//! [`RETAINED_CHANGES`] changes are retained, so that a gateway that applies several at once, or
//! reads a snapshot, still finds each.

use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use violetgate_replicated_state::{CurrentValue, Entries, Revision};

/// Changes whose keys are retained.
pub const RETAINED_CHANGES: u64 = 256;
/// The key that holds the number of the latest change.
pub const LATEST_KEY: &str = "scale/latest";
/// Keys of changes begin with this.
const KEY_PREFIX: &str = "scale/changes/";

/// The key of a change.
#[must_use]
pub fn change_key(number: u64) -> String {
    format!("{KEY_PREFIX}{number:010}")
}

/// The body of the API call that makes a change.
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

/// What went wrong with changes at one gateway, or at several.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SequenceFaults {
    /// Changes that are missing from applied state.
    #[serde(rename = "lost")]
    pub missing: u64,
    /// Changes that were applied a second time.
    #[serde(rename = "doubled")]
    pub duplicated: u64,
    /// Revisions or numbers that went back.
    pub out_of_order: u64,
}

impl SequenceFaults {
    /// Adds those of another.
    pub fn add(&mut self, other: SequenceFaults) {
        self.missing += other.missing;
        self.duplicated += other.duplicated;
        self.out_of_order += other.out_of_order;
    }
}

/// A digest over changes and the revisions that they made, in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SequenceDigest(u64);

/// The offset basis and the prime of FNV-1a with 64 bits.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

impl Default for SequenceDigest {
    fn default() -> Self {
        SequenceDigest(FNV_OFFSET_BASIS)
    }
}

impl SequenceDigest {
    /// Adds a change and its revision (FNV-1a over their words).
    pub fn add(&mut self, number: u64, revision: Revision) {
        for word in [number, revision] {
            self.0 = (self.0 ^ word).wrapping_mul(FNV_PRIME);
        }
    }
}

/// The changes that one gateway has applied.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ChangeSequence {
    /// The first change; 0: none was applied.
    pub first: u64,
    /// The last change.
    pub last: u64,
    /// All of them, with their revisions.
    pub digest: SequenceDigest,
}

/// Checks what is applied at one gateway.
#[derive(Debug, Default)]
pub struct SequenceChecker {
    sequence: ChangeSequence,
    /// The revision that the last change made.
    last_change_revision: Revision,
    /// The latest revision applied.
    revision: Revision,
    faults: SequenceFaults,
}

impl SequenceChecker {
    /// Checks the state after more of it was applied.
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

    /// The last change has to be as it was, unless it was deleted since.
    fn check_last_change(&mut self, state: &impl Entries) {
        let current = state.entry(&change_key(self.sequence.last));
        if current.is_some_and(|current| current.revision != self.last_change_revision) {
            self.faults.duplicated += 1;
        }
    }

    /// The next change has to be there, with its own number and a later revision.
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

    /// The changes applied so far.
    #[must_use]
    pub fn sequence(&self) -> ChangeSequence {
        self.sequence
    }

    /// The latest revision applied.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// What went wrong so far.
    #[must_use]
    pub fn faults(&self) -> SequenceFaults {
        self.faults
    }
}

fn parse_number(value: &[u8]) -> Option<u64> {
    std::str::from_utf8(value).ok()?.parse().ok()
}

/// The oldest change whose key is retained.
fn first_retained(state: &impl Entries) -> Option<u64> {
    let retained = state.entries_with_prefix(KEY_PREFIX);
    let key = &retained.first()?.key;
    key.strip_prefix(KEY_PREFIX)?.parse().ok()
}
