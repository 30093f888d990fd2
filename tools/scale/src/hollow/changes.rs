//! The numbered changes of a run, and the check that a front end sees each of them once and in order.
//!
//! A change writes its number under a key of its own and as the latest one; the keys of the last [`WINDOW`] changes are
//! kept, so that a front end that applies several at once, or reads a snapshot, still sees each.

use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use violetgate_replicated_state::{CurrentValue, Entries, Revision};

/// Changes whose keys are kept.
pub const WINDOW: u64 = 256;
/// The key that holds the number of the latest change.
pub const LATEST: &str = "scale/latest";
/// Keys of changes begin with this.
const PREFIX: &str = "scale/changes/";

/// The key of a change.
#[must_use]
pub fn key(number: u64) -> String {
    format!("{PREFIX}{number:010}")
}

/// The body of the API call that makes a change.
#[must_use]
pub fn transaction(number: u64) -> Value {
    let text = number.to_string();
    let mut then = vec![
        json!({"put": key(number), "value": text}),
        json!({"put": LATEST, "value": text}),
    ];
    if let Some(old) = number.checked_sub(WINDOW).filter(|old| *old > 0) {
        then.push(json!({"delete": key(old)}));
    }
    json!({ "then": then })
}

/// What went wrong at one front end, or at several.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Faults {
    /// Changes that are missing from applied state.
    pub lost: u64,
    /// Changes that were applied a second time.
    pub doubled: u64,
    /// Revisions or numbers that went back.
    pub out_of_order: u64,
}

impl Faults {
    /// Adds those of another.
    pub fn add(&mut self, other: Faults) {
        self.lost += other.lost;
        self.doubled += other.doubled;
        self.out_of_order += other.out_of_order;
    }
}

/// A digest over changes and the revisions that they made, in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Digest(u64);

impl Default for Digest {
    fn default() -> Self {
        Digest(0xcbf2_9ce4_8422_2325)
    }
}

impl Digest {
    /// Adds a change and its revision (FNV-1a over their words).
    pub fn add(&mut self, number: u64, revision: Revision) {
        for word in [number, revision] {
            self.0 = (self.0 ^ word).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }
}

/// The changes that one front end has seen.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Sequence {
    /// The first change; 0: none was seen.
    pub first: u64,
    /// The last change.
    pub last: u64,
    /// All of them, with their revisions.
    pub digest: Digest,
}

/// Checks what is applied at one front end.
#[derive(Debug, Default)]
pub struct SeenChanges {
    sequence: Sequence,
    /// The revision of the last change, and the latest revision applied.
    change_revision: Revision,
    revision: Revision,
    faults: Faults,
}

impl SeenChanges {
    /// More was applied.
    pub fn applied(&mut self, entries: &impl Entries) {
        let revision = entries.revision();
        if revision < self.revision {
            self.faults.out_of_order += 1;
        }
        self.revision = revision;
        let Some(latest) = entries
            .entry(LATEST)
            .and_then(|latest| number(latest.value))
        else {
            return;
        };
        if latest < self.sequence.last {
            self.faults.out_of_order += 1;
            return;
        }
        self.check_last(entries);
        let next = if self.sequence.first == 0 {
            first(entries)
        } else {
            Some(self.sequence.last + 1)
        };
        for number in next.unwrap_or(latest)..=latest {
            self.see(entries, number);
        }
    }

    /// The last change has to be as it was, unless it was deleted since.
    fn check_last(&mut self, entries: &impl Entries) {
        let held = entries.entry(&key(self.sequence.last));
        if held.is_some_and(|current| current.revision != self.change_revision) {
            self.faults.doubled += 1;
        }
    }

    fn see(&mut self, entries: &impl Entries, wanted: u64) {
        if self.sequence.first == 0 {
            self.sequence.first = wanted;
        }
        self.sequence.last = wanted;
        let Some(CurrentValue { revision, value }) = entries.entry(&key(wanted)) else {
            self.faults.lost += 1;
            return;
        };
        if revision <= self.change_revision || number(value) != Some(wanted) {
            self.faults.out_of_order += 1;
        }
        self.change_revision = revision;
        self.sequence.digest.add(wanted, revision);
    }

    /// The changes seen so far.
    #[must_use]
    pub fn sequence(&self) -> Sequence {
        self.sequence
    }

    /// The latest revision applied.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// What went wrong so far.
    #[must_use]
    pub fn faults(&self) -> Faults {
        self.faults
    }
}

fn number(value: &[u8]) -> Option<u64> {
    std::str::from_utf8(value).ok()?.parse().ok()
}

fn first(entries: &impl Entries) -> Option<u64> {
    let kept = entries.entries_with_prefix(PREFIX);
    kept.first()
        .and_then(|entry| entry.key.strip_prefix(PREFIX)?.parse().ok())
}
