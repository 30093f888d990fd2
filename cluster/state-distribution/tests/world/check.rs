//! Invariants that are checked at every step of the simulation.

use std::collections::hash_map::DefaultHasher;
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

use violetgate_replicated_state::Entries;
use violetgate_state_distribution::{ObserverMessage, Rejection, SnapshotChunk};

use super::World;

/// Counts of the events and states in a run, which show that the run covered them.
#[derive(Debug, Default, Clone)]
pub struct Seen {
    pub connections: u64,
    pub polls: u64,
    pub reads: u64,
    pub changes: u64,
    pub chunks: u64,
    pub snapshots: u64,
    pub queued: u64,
    pub compacted: u64,
    pub rejections: BTreeMap<&'static str, u64>,
    /// The number of checks at which a gateway was allowed to route.
    pub gates_open: u64,
    /// The number of checks at which a gateway was not allowed to route.
    pub gates_shut: u64,
    /// The maximum number of bytes queued for one subscriber.
    pub most_waiting: usize,
    pub most_snapshots: usize,
    pub most_snapshots_queued: usize,
}

impl Seen {
    pub(super) fn count(&mut self, message: &ObserverMessage) {
        match message {
            ObserverMessage::Changes(_) => self.changes += 1,
            ObserverMessage::SnapshotChunk(SnapshotChunk { last, .. }) => {
                self.chunks += 1;
                self.snapshots += u64::from(*last);
            }
            ObserverMessage::SnapshotQueued { .. } => self.queued += 1,
            ObserverMessage::Compacted { .. } => self.compacted += 1,
            _ => {}
        }
    }

    pub fn add(&mut self, other: &Seen) {
        self.connections += other.connections;
        self.polls += other.polls;
        self.reads += other.reads;
        self.changes += other.changes;
        self.chunks += other.chunks;
        self.snapshots += other.snapshots;
        self.queued += other.queued;
        self.compacted += other.compacted;
        self.gates_open += other.gates_open;
        self.gates_shut += other.gates_shut;
        self.most_waiting = self.most_waiting.max(other.most_waiting);
        self.most_snapshots = self.most_snapshots.max(other.most_snapshots);
        self.most_snapshots_queued = self.most_snapshots_queued.max(other.most_snapshots_queued);
        for (code, count) in &other.rejections {
            *self.rejections.entry(code).or_default() += count;
        }
    }
}

pub fn fingerprint(entries: &impl Entries) -> u64 {
    let mut hasher = DefaultHasher::new();
    entries.entries_with_prefix("").hash(&mut hasher);
    hasher.finish()
}

impl World {
    /// Checks that a replica equals the agreed state at its revision, and that its revision never
    /// decreases.
    pub(super) fn check_replica(&mut self, n: usize) {
        let process = &mut self.subscribers[n];
        let revision = process.core.replica().revision();
        if revision != process.last_revision {
            assert!(
                revision > process.last_revision,
                "gateway {n}: revision decreased to {revision}"
            );
            process.last_revision = revision;
            let found = fingerprint(process.core.replica());
            assert_eq!(
                found, self.fingerprints[revision as usize],
                "gateway {n} at revision {revision}"
            );
        }
        let rejection = self.subscribers[n].core.rejection();
        assert!(
            !matches!(rejection, Some(Rejection::ProtocolViolation { .. })),
            "gateway {n}: {rejection:?}"
        );
        self.check_routing(n);
    }

    /// Checks that a gateway that may route has applied every revision that was agreed on at least
    /// a drain limit ago.
    fn check_routing(&mut self, n: usize) {
        let process = &self.subscribers[n];
        if process.core.may_route(self.now).is_err() {
            self.seen.gates_shut += 1;
            return;
        }
        self.seen.gates_open += 1;
        let limit = self.subscriber_config.drain_limit;
        let known = process.core.replica().revision() as usize;
        if let Some(next) = self.agreed_at.get(known + 1) {
            assert!(
                next + limit > self.now,
                "gateway {n} routes on revision {known}; the next was agreed on at {next}, now {}",
                self.now
            );
        }
    }

    pub(super) fn check_all(&mut self) {
        (0..self.subscribers.len()).for_each(|n| self.check_routing(n));
        let config = &self.observer_config;
        for process in self.observers.values() {
            let Some(core) = &process.core else { continue };
            let sizes = core.sizes();
            assert!(sizes.subscribers <= config.capacity as usize, "{sizes:?}");
            assert!(
                sizes.snapshots_active <= config.max_concurrent_snapshots,
                "{sizes:?}"
            );
            assert!(
                sizes.snapshots_queued + sizes.current + sizes.awaiting <= 2 * sizes.subscribers,
                "{sizes:?}"
            );
            assert!(
                sizes.polls_waiting.max(sizes.polls_reading) <= sizes.subscribers,
                "{sizes:?}"
            );
            self.seen.most_snapshots = self.seen.most_snapshots.max(sizes.snapshots_active);
            self.seen.most_snapshots_queued =
                self.seen.most_snapshots_queued.max(sizes.snapshots_queued);
        }
        // A batch of changes or a chunk may exceed the bound, and some short messages are queued
        // too.
        let bound = config.send_queue_bytes + 2 * config.chunk_bytes + (16 << 10);
        assert!(
            self.seen.most_waiting <= bound,
            "{} bytes queued for one subscriber, bound {bound}",
            self.seen.most_waiting
        );
    }

    /// Describes a gateway's state for the message of a failed test.
    pub fn describe(&self, n: usize) -> String {
        let core = &self.subscribers[n].core;
        let (held, guard) = (core.held_observers(), core.may_route(self.now));
        let (has, links) = (core.replica().revision(), &self.subscribers[n].links);
        let last = self.agreed_store.revision();
        format!("gateway {n} has {has} of {last}, guard {guard:?}, holds {held:?} of {links:?}")
    }

    /// Returns the gateways that lack a revision, may not route, or hold fewer than two observers.
    pub fn not_current(&self) -> Vec<usize> {
        let revision = self.agreed_store.revision();
        let lacks = |n: &usize| {
            let core = &self.subscribers[*n].core;
            let held = core.held_observers();
            core.replica().revision() != revision
                || core.may_route(self.now).is_err()
                || held.watched.is_none()
                || held.standby.is_none()
        };
        (0..self.subscribers.len()).filter(lacks).collect()
    }
}
