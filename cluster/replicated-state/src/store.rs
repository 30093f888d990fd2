//! Keyed entries with revisions. All changes come as agreed commands; reads are of one revision.

use std::collections::{BTreeMap, VecDeque};
use std::ops::Bound;

use serde::{Deserialize, Serialize};

use crate::{Micros, Revision};

/// The longest key.
pub const MAX_KEY: usize = 512;
/// The longest value.
pub const MAX_VALUE: usize = 64 << 10;
/// The most conditions, and the most changes, of one transaction.
pub const MAX_OPS: usize = 128;
/// The most keys that are kept, and the most bytes of keys and values that hold now.
const MOST_KEYS: usize = 1_000_000;
const MOST_BYTES: usize = 256 << 20;
/// Outcomes that are kept for a request that comes again.
const OUTCOMES: usize = 10_000;
/// Changes that are kept for watches, beyond which the oldest are compacted away.
const CHANGES: usize = 100_000;

/// A condition of a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Condition {
    /// The key was last changed in this revision; 0: there is no such key.
    RevisionIs(String, Revision),
    /// The key holds this.
    ValueIs(String, Vec<u8>),
}

/// One change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Mutation {
    /// Sets a key; with a lease it goes when that does.
    Put {
        /// The key.
        key: String,
        /// What it holds.
        value: Vec<u8>,
        /// The lease that it hangs on.
        lease: Option<u64>,
    },
    /// Takes a key away, if it is there.
    Delete(String),
}

/// Changes that are all made, or none, under conditions.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Txn {
    /// All of these have to hold.
    pub conditions: Vec<Condition>,
    /// The changes then.
    pub then: Vec<Mutation>,
    /// The changes otherwise.
    pub otherwise: Vec<Mutation>,
}

/// What a command does.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Operation {
    /// Changes entries.
    Txn(Txn),
    /// Begins a lease, or renews it, for a span.
    GrantLease {
        /// Its id, chosen by its holder.
        id: u64,
        /// How long it holds from the command's time.
        ttl: Micros,
    },
    /// Ends a lease, as its holder asks.
    RevokeLease(u64),
    /// Ends a lease that has run out; renewed since it was seen to, it stays.
    ExpireLease {
        /// The lease.
        id: u64,
        /// When it was seen to end.
        expires_at: Micros,
    },
    /// Forgets the changes up to a revision.
    Compact(Revision),
}

/// One agreed command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Command {
    /// The request's id, chosen by the client: the same request again gets the same outcome and changes nothing.
    pub request_id: Option<String>,
    /// Who asked.
    pub actor: String,
    /// The proposing leader's time. Time in the store never goes back, whatever leaders' clocks do.
    pub time: Micros,
    /// What to do.
    pub operation: Operation,
}

/// Why a command did nothing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CommandError {
    /// A key is empty or too long, a value too long, or there are too many of them.
    TooLarge,
    /// The store is full.
    StoreFull,
    /// No such lease.
    UnknownLease(u64),
    /// There is no such revision yet.
    FutureRevision,
}

/// What a command did.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It was carried out.
    Applied {
        /// The store's revision after it.
        revision: Revision,
        /// For a transaction: its conditions held.
        conditions_held: bool,
    },
    /// It did nothing.
    Rejected(CommandError),
}

/// One change of one key, as watches and the change log tell it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyChange {
    /// The revision that it made; changes of one transaction share it.
    pub revision: Revision,
    /// The key.
    pub key: String,
    /// What it holds from then on; `None`: it is gone.
    pub value: Option<Vec<u8>>,
    /// Who changed it, and when.
    pub actor: String,
    /// The store's time of the change.
    pub time: Micros,
}

/// A revision is compacted away: what is wanted begins after `first` at the earliest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Compacted {
    /// The earliest revision that can be read.
    pub first_revision: Revision,
}

/// One page of a listing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listing {
    /// The revision of all pages.
    pub revision: Revision,
    /// Keys, the revisions that last changed them, and what they held.
    pub entries: Vec<(String, Revision, Vec<u8>)>,
    /// The key after which the next page begins, if there is one.
    pub next: Option<String>,
}

/// A value of a key from a revision on, with its lease; `None`: it was gone.
type Version = (Revision, Option<(Vec<u8>, Option<u64>)>);

/// The store.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Store {
    revision: Revision,
    /// Revisions before this one can't be read.
    first: Revision,
    time: Micros,
    keys: BTreeMap<String, Vec<Version>>,
    /// Keys and values that hold now.
    live: (usize, usize),
    changes: VecDeque<KeyChange>,
    leases: BTreeMap<u64, Micros>,
    outcomes: BTreeMap<String, Outcome>,
    asked: VecDeque<String>,
}

impl Store {
    /// The current revision.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// How a request with this id ended, if it has come and is remembered.
    #[must_use]
    pub fn outcome(&self, request: &str) -> Option<&Outcome> {
        self.outcomes.get(request)
    }

    /// Applies an agreed command.
    pub fn apply(&mut self, command: &Command) -> Outcome {
        if let Some(known) = command
            .request_id
            .as_ref()
            .and_then(|r| self.outcomes.get(r))
        {
            return known.clone();
        }
        self.time = self.time.max(command.time);
        let outcome = match self.carry_out(command) {
            Ok(held) => Outcome::Applied {
                revision: self.revision,
                conditions_held: held,
            },
            Err(refused) => Outcome::Rejected(refused),
        };
        while self.changes.len() > CHANGES {
            let Some(oldest) = self.changes.front().map(|c| c.revision) else {
                break;
            };
            self.compact(oldest);
        }
        if let Some(request) = &command.request_id {
            self.outcomes.insert(request.clone(), outcome.clone());
            self.asked.push_back(request.clone());
            if self.asked.len() > OUTCOMES {
                if let Some(old) = self.asked.pop_front() {
                    self.outcomes.remove(&old);
                }
            }
        }
        outcome
    }

    fn carry_out(&mut self, command: &Command) -> Result<bool, CommandError> {
        match &command.operation {
            Operation::Txn(txn) => self.transact(txn, &command.actor),
            Operation::GrantLease { id, ttl: span } => {
                self.leases.insert(*id, self.time.saturating_add(*span));
                Ok(true)
            }
            Operation::RevokeLease(id) => {
                self.leases
                    .remove(id)
                    .ok_or(CommandError::UnknownLease(*id))?;
                self.drop_lease(*id, &command.actor);
                Ok(true)
            }
            Operation::ExpireLease {
                id,
                expires_at: ends,
            } => {
                let over = self.leases.get(id) == Some(ends) && *ends <= self.time;
                if over {
                    self.leases.remove(id);
                    self.drop_lease(*id, &command.actor);
                }
                Ok(over)
            }
            Operation::Compact(to) if *to > self.revision => Err(CommandError::FutureRevision),
            Operation::Compact(to) => {
                self.compact(*to);
                Ok(true)
            }
        }
    }

    fn transact(&mut self, txn: &Txn, who: &str) -> Result<bool, CommandError> {
        let held = txn.conditions.iter().all(|c| match c {
            Condition::RevisionIs(key, revision) => {
                self.get(key).map_or(0, |(r, _)| r) == *revision
            }
            Condition::ValueIs(key, value) => self.get(key).is_some_and(|(_, v)| v == value),
        });
        let ops = if held { &txn.then } else { &txn.otherwise };
        // All is looked at before anything is changed.
        if ops.len().max(txn.conditions.len()) > MAX_OPS {
            return Err(CommandError::TooLarge);
        }
        let (mut keys, mut bytes) = self.live;
        for op in ops {
            if let Mutation::Put { key, value, lease } = op {
                if key.is_empty() || key.len() > MAX_KEY || value.len() > MAX_VALUE {
                    return Err(CommandError::TooLarge);
                }
                if let Some(id) = lease.filter(|id| !self.leases.contains_key(id)) {
                    return Err(CommandError::UnknownLease(id));
                }
                (keys, bytes) = (keys + 1, bytes + key.len() + value.len());
            }
        }
        if keys > MOST_KEYS || bytes > MOST_BYTES {
            return Err(CommandError::StoreFull);
        }
        if !ops.is_empty() {
            self.change(ops, who);
        }
        Ok(held)
    }

    /// Makes changes, all as one revision. What changes nothing leaves none.
    fn change(&mut self, ops: &[Mutation], who: &str) {
        let revision = self.revision + 1;
        for op in ops {
            let (key, value) = match op {
                Mutation::Put { key, value, lease } => (key, Some((value.clone(), *lease))),
                Mutation::Delete(key) if self.get(key).is_none() => continue,
                Mutation::Delete(key) => (key, None),
            };
            if let Some((_, old)) = self.get(key) {
                let old = old.len();
                self.live = (self.live.0 - 1, self.live.1 - key.len() - old);
            }
            if let Some((value, _)) = &value {
                self.live = (self.live.0 + 1, self.live.1 + key.len() + value.len());
            }
            let told = value.as_ref().map(|(v, _)| v.clone());
            let versions = self.keys.entry(key.clone()).or_default();
            // The last of several changes of a key in one transaction counts.
            versions.retain(|(r, _)| *r != revision);
            versions.push((revision, value));
            let own = self.changes.partition_point(|c| c.revision < revision);
            if let Some(at) = self.changes.range(own..).position(|c| c.key == *key) {
                self.changes.remove(own + at);
            }
            self.changes.push_back(KeyChange {
                revision,
                key: key.clone(),
                value: told,
                actor: who.to_owned(),
                time: self.time,
            });
            self.revision = revision;
        }
    }

    fn drop_lease(&mut self, id: u64, who: &str) {
        let hangs = |v: &Vec<Version>| matches!(v.last(), Some((_, Some((_, Some(lease))))) if *lease == id);
        let gone: Vec<_> = self
            .keys
            .iter()
            .filter(|(_, v)| hangs(v))
            .map(|(k, _)| Mutation::Delete(k.clone()))
            .collect();
        if !gone.is_empty() {
            self.change(&gone, who);
        }
    }

    fn compact(&mut self, to: Revision) {
        if to < self.first {
            return;
        }
        self.first = to;
        // A version that can go was followed, or ended, by a change that goes now: no other key is looked at.
        while self.changes.front().is_some_and(|c| c.revision <= to) {
            let Some(change) = self.changes.pop_front() else {
                break;
            };
            let Some(versions) = self.keys.get_mut(&change.key) else {
                continue;
            };
            // Of what came up to there, the last still holds.
            let keep = versions.iter().rposition(|(r, _)| *r <= to).unwrap_or(0);
            versions.drain(..keep);
            if matches!(versions.as_slice(), [(r, None)] if *r <= to) {
                self.keys.remove(&change.key);
            }
        }
    }

    /// A key now: the revision that last changed it, and what it holds.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<(Revision, &Vec<u8>)> {
        match self.keys.get(key)?.last()? {
            (revision, Some((value, _))) => Some((*revision, value)),
            (_, None) => None,
        }
    }

    /// One page of the keys that begin with `prefix`, after `after`, `limit` at most, all as they were at one
    /// revision; the first page (`at` is `None`) chooses the current one.
    ///
    /// # Errors
    ///
    /// That revision is compacted away: the listing has to begin anew.
    pub fn list(
        &self,
        prefix: &str,
        at: Option<Revision>,
        after: Option<&str>,
        limit: usize,
    ) -> Result<Listing, Compacted> {
        let revision = at.unwrap_or(self.revision).min(self.revision);
        if revision < self.first {
            return Err(Compacted {
                first_revision: self.first,
            });
        }
        let from = after.filter(|a| *a >= prefix).unwrap_or(prefix);
        let mut entries = Vec::new();
        let mut next = None;
        for (key, versions) in self
            .keys
            .range::<str, _>((Bound::Included(from), Bound::Unbounded))
            .take_while(|(k, _)| k.starts_with(prefix))
        {
            if Some(key.as_str()) == after {
                continue;
            }
            let version = versions.iter().rev().find(|(r, _)| *r <= revision);
            let Some((changed, Some((value, _)))) = version else {
                continue;
            };
            if entries.len() >= limit.max(1) {
                next = entries.last().map(|(k, ..): &(String, _, _)| k.clone());
                break;
            }
            entries.push((key.clone(), *changed, value.clone()));
        }
        Ok(Listing {
            revision,
            entries,
            next,
        })
    }

    /// The changes after a revision of keys that begin with `prefix`, oldest first, about `limit` of them; changes
    /// of one revision are never parted.
    ///
    /// # Errors
    ///
    /// Some of them are compacted away: the watcher has to read anew, and is told so rather than left a gap.
    pub fn changes(
        &self,
        after: Revision,
        prefix: &str,
        limit: usize,
    ) -> Result<Vec<KeyChange>, Compacted> {
        if after < self.first {
            return Err(Compacted {
                first_revision: self.first,
            });
        }
        let from = self.changes.partition_point(|c| c.revision <= after);
        let mut out: Vec<KeyChange> = Vec::new();
        for change in self
            .changes
            .range(from..)
            .filter(|c| c.key.starts_with(prefix))
        {
            if out.len() >= limit.max(1)
                && out.last().is_some_and(|c| c.revision != change.revision)
            {
                break;
            }
            out.push(change.clone());
        }
        Ok(out)
    }

    /// Leases that have run out at a time, to be proposed as [`Operation::ExpireLease`] by the leader.
    #[must_use]
    pub fn expired_leases(&self, now: Micros) -> Vec<Operation> {
        let over = self.leases.iter().filter(|(_, ends)| **ends <= now);
        over.map(|(id, ends)| Operation::ExpireLease {
            id: *id,
            expires_at: *ends,
        })
        .collect()
    }

    /// The whole state as bytes: the same state is the same bytes on every member.
    #[must_use]
    pub fn save(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// The state that was saved.
    ///
    /// # Errors
    ///
    /// The bytes are none; the text says why.
    pub fn load(bytes: &[u8]) -> Result<Self, String> {
        postcard::from_bytes(bytes).map_err(|e| e.to_string())
    }
}
