//! What must hold at every step.

use std::collections::hash_map::DefaultHasher;
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

use violetgate_replicated_state::Entries;
use violetgate_state_distribution::{ObserverMessage, Rejection, SnapshotChunk};

use super::World;

/// What a run was made of.
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
    pub gates_open: u64,
    pub gates_shut: u64,
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
    /// A replica is exactly what was agreed at its revision, and never goes back.
    pub(super) fn check_replica(&mut self, n: usize) {
        let process = &mut self.subscribers[n];
        let revision = process.core.replica().revision();
        if revision != process.last_revision {
            assert!(
                revision > process.last_revision,
                "front end {n} went back to {revision}"
            );
            process.last_revision = revision;
            let found = fingerprint(process.core.replica());
            assert_eq!(
                found, self.fingerprints[revision as usize],
                "front end {n} at revision {revision}"
            );
        }
        let rejection = self.subscribers[n].core.rejection();
        assert!(
            !matches!(rejection, Some(Rejection::ProtocolViolation { .. })),
            "front end {n}: {rejection:?}"
        );
        self.check_gate(n);
    }

    /// Whoever's gate is open knows all that was agreed on by a drain limit ago.
    fn check_gate(&mut self, n: usize) {
        let process = &self.subscribers[n];
        if process.core.may_route(self.now).is_err() {
            self.seen.gates_shut += 1;
            return;
        }
        self.seen.gates_open += 1;
        let limit = self.subscriber_config.drain_limit;
        let known = process.core.replica().revision() as usize;
        if let Some(next) = self.agreed.get(known + 1) {
            assert!(
                next + limit > self.now,
                "front end {n} routes on revision {known}, {next} {}",
                self.now
            );
        }
    }

    pub(super) fn check_all(&mut self) {
        (0..self.subscribers.len()).for_each(|n| self.check_gate(n));
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
        // Changes of one batch, or a chunk, beyond the bound, and short messages.
        let bound = config.send_queue_bytes + 2 * config.chunk_bytes + (16 << 10);
        assert!(
            self.seen.most_waiting <= bound,
            "{} bytes wait, bound {bound}",
            self.seen.most_waiting
        );
    }

    /// How a front end stands, for a failed test.
    pub fn describe(&self, n: usize) -> String {
        let core = &self.subscribers[n].core;
        let (held, gate) = (core.held_observers(), core.may_route(self.now));
        let (has, links) = (core.replica().revision(), &self.subscribers[n].links);
        let last = self.truth.revision();
        format!("front end {n} has {has} of {last}, gate {gate:?}, holds {held:?} of {links:?}")
    }

    /// Front ends that lack a revision, whose gate is shut, or that hold fewer than two observers.
    pub fn not_current(&self) -> Vec<usize> {
        let revision = self.truth.revision();
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
