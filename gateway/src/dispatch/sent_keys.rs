//! Remembers for which idempotency keys attempts were sent, so that a request that repeats a key
//! goes only where and while engines discard a duplicate.
//!
//! A client that repeats a request uses the same key under a new request id. To the decision module
//! that is another query, which has to know of the attempts that may have run for the key.

use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;

use violetgate_policy::interface::{Micros, PossibleRun, QueryId};

/// The maximum number of keys that are remembered. Requests with further keys are rejected until
/// some are forgotten.
const MAX_KEYS: usize = 65_536;

/// The attempt in flight of a request.
#[derive(Debug, Clone, Copy)]
struct AttemptOut {
    query: QueryId,
    run: PossibleRun,
}

/// The ended attempts of a key that may have run, as one.
#[derive(Debug, Clone, Copy)]
struct EndedRuns {
    merged: PossibleRun,
    /// When a request with the key counts as a new one, in microseconds since the Unix epoch.
    forgotten_at: Micros,
}

/// What is known of one key.
#[derive(Debug, Default)]
struct KeyRecord {
    /// The open requests with this key.
    open: Vec<QueryId>,
    /// The attempts in flight, in the order in which they were sent.
    in_flight: Vec<AttemptOut>,
    ended: Option<EndedRuns>,
}

impl KeyRecord {
    fn is_unused(&self) -> bool {
        self.open.is_empty() && self.in_flight.is_empty() && self.ended.is_none()
    }
}

/// As many keys as possible are remembered already.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct TooManyKeys;

/// The idempotency keys of open requests, and of attempts that engines may remember.
#[derive(Debug, Default)]
pub(super) struct SentKeys {
    records: HashMap<Rc<str>, KeyRecord>,
    /// When the ended attempts of each key are forgotten.
    expiries: BTreeSet<(Micros, Rc<str>)>,
}

impl SentKeys {
    /// Returns the attempts of a key that are in flight or may have run and are remembered, as one.
    pub(super) fn earlier_run(&mut self, key: &str, now: Micros) -> Option<PossibleRun> {
        self.forget_expired(now);
        let record = self.records.get(key)?;
        let ended = record.ended.map(|ended| ended.merged).into_iter();
        let in_flight = record.in_flight.iter().map(|attempt| attempt.run);
        ended.chain(in_flight).reduce(PossibleRun::merged)
    }

    /// Adds an open request.
    pub(super) fn open(&mut self, key: &str, query: QueryId) -> Result<(), TooManyKeys> {
        if let Some(record) = self.records.get_mut(key) {
            record.open.push(query);
            return Ok(());
        }
        if self.records.len() >= MAX_KEYS {
            return Err(TooManyKeys);
        }
        let record = KeyRecord {
            open: vec![query],
            ..KeyRecord::default()
        };
        self.records.insert(key.into(), record);
        Ok(())
    }

    /// Records an attempt that is being sent. Returns the other open requests with its key, which
    /// are duplicates of it from now on.
    pub(super) fn sent(&mut self, key: &str, query: QueryId, run: PossibleRun) -> Vec<QueryId> {
        let Some(record) = self.records.get_mut(key) else {
            return Vec::new();
        };
        record.in_flight.push(AttemptOut { query, run });
        let others = record.open.iter().copied();
        others.filter(|other| *other != query).collect()
    }

    /// Records that the attempt in flight of a request has ended and may have run. The key is
    /// remembered until `forgotten_at`, in microseconds since the Unix epoch.
    pub(super) fn may_have_run(&mut self, key: &str, query: QueryId, forgotten_at: Micros) {
        let Some((shared_key, _)) = self.records.get_key_value(key) else {
            return;
        };
        let shared_key = Rc::clone(shared_key);
        let Some(run) = self.take_in_flight(key, query) else {
            return;
        };
        let Some(record) = self.records.get_mut(key) else {
            return;
        };
        let before = record.ended.take();
        let merged = before.map_or(run, |before| before.merged.merged(run));
        record.ended = Some(EndedRuns {
            merged,
            forgotten_at,
        });
        if let Some(before) = before {
            self.expiries
                .remove(&(before.forgotten_at, Rc::clone(&shared_key)));
        }
        self.expiries.insert((forgotten_at, shared_key));
    }

    /// Forgets the attempt in flight of a request, which has ended and surely did not run.
    pub(super) fn never_ran(&mut self, key: &str, query: QueryId) {
        self.take_in_flight(key, query);
        self.remove_if_unused(key);
    }

    /// Removes an open request.
    pub(super) fn closed(&mut self, key: &str, query: QueryId) {
        if let Some(record) = self.records.get_mut(key) {
            record.open.retain(|other| *other != query);
            self.remove_if_unused(key);
        }
    }

    fn take_in_flight(&mut self, key: &str, query: QueryId) -> Option<PossibleRun> {
        let in_flight = &mut self.records.get_mut(key)?.in_flight;
        let position = in_flight
            .iter()
            .position(|attempt| attempt.query == query)?;
        Some(in_flight.remove(position).run)
    }

    fn forget_expired(&mut self, now: Micros) {
        while let Some((forgotten_at, key)) = self.expiries.pop_first() {
            if forgotten_at > now {
                self.expiries.insert((forgotten_at, key));
                return;
            }
            if let Some(record) = self.records.get_mut(&key) {
                record.ended = None;
            }
            self.remove_if_unused(&key);
        }
    }

    fn remove_if_unused(&mut self, key: &str) {
        if self.records.get(key).is_some_and(KeyRecord::is_unused) {
            self.records.remove(key);
        }
    }

    /// Returns the number of keys.
    pub(super) fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns the number of keys, and the number of expiries.
    #[cfg(test)]
    pub(super) fn sizes(&self) -> (usize, usize) {
        (self.records.len(), self.expiries.len())
    }
}
