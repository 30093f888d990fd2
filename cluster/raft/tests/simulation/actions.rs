//! Performs the actions that the nodes request, on the simulated disk, network and state machine.

use violetgate_raft::*;

use crate::cluster::{Event, SimulatedCluster, MS};
use crate::digest::Digest;
use crate::faults::InjectedBug;

/// A snapshot is taken after each entry whose index is a multiple of this interval.
const SNAPSHOT_INTERVAL: Index = 17;
const CHUNK_BYTES: usize = 100;
/// The size in bytes of one applied command in an encoded snapshot: its index and its content.
const COMMAND_BYTES: usize = 16;

impl SimulatedCluster {
    /// Performs a node's actions until it requests no more, then checks the leader properties.
    pub fn perform_actions(&mut self, id: NodeId) {
        loop {
            let replica = self.replica(id);
            let Some(node) = replica.node.as_mut() else {
                return;
            };
            let actions = node.take_actions();
            if actions.is_empty() {
                break;
            }
            for action in actions {
                self.perform_action(id, action);
            }
        }
        self.schedule_tick(id);
        self.check_leader(id);
    }

    fn perform_action(&mut self, id: NodeId, action: Action) {
        self.digest.number(self.now);
        self.digest.number(id);
        add_action(&mut self.digest, &action);
        match action {
            Action::Persist(write) => self.persist(id, write),
            Action::Send { to, message } => self.send(id, to, &message),
            Action::Apply(entries) => {
                for entry in entries {
                    self.apply(id, entry);
                }
            }
            Action::ReadReady { read_id, index } => self.check_read(read_id, index),
            Action::ReadFailed { .. } => {}
            Action::LoadSnapshotChunk { to, offset } => self.load_chunk(id, to, offset),
            Action::StoreSnapshotChunk { from, chunk } => self.store_chunk(id, from, chunk),
        }
    }

    fn persist(&mut self, id: NodeId, write: StorageWrite) {
        let slowest = if self.draw(20) == 0 { 80 * MS } else { 2 * MS };
        let delay = MS / 2 + self.draw(slowest);
        let sequence = write.sequence;
        let replica = self.replica(id);
        let starts = replica.starts;
        replica.disk.unwritten.push(write);
        let written = Event::Written {
            id,
            starts,
            sequence,
        };
        if self.bug == InjectedBug::AcknowledgesUnwritten {
            self.schedule(delay * 40, written);
            self.replica(id).node().persisted(sequence);
        } else {
            self.schedule(delay, written);
        }
    }

    fn send(&mut self, from: NodeId, to: NodeId, message: &Message) {
        if let Message::VoteResponse {
            term,
            granted: true,
        } = message
        {
            self.observed.check_vote(from, *term, to);
            // A restart just after a vote was sent exposes a vote that is not durable.
            if self.draw(4) == 0 {
                self.schedule(MS, Event::Restart(from));
            }
        }
        let copies = if self.draw(50) == 0 { 2 } else { 1 };
        for _ in 0..copies {
            if self.draw(100) >= self.loss_percent {
                let slowest = if self.draw(30) == 0 { 300 * MS } else { 5 * MS };
                let delay = MS / 5 + self.draw(slowest);
                let message = message.clone();
                self.schedule(delay, Event::Deliver { from, to, message });
            }
        }
    }

    fn apply(&mut self, id: NodeId, entry: Entry) {
        self.observed.check_committed(&entry);
        let replica = self.replicas.get_mut(&id).unwrap();
        let last = replica.state.last();
        assert!(
            last.is_none_or(|(index, _)| *index < entry.index),
            "applied out of order"
        );
        let position = entry.position();
        if let Payload::Command(command) = entry.payload {
            self.observed.check_applied_once(&command, entry.index);
            replica.state.push((entry.index, command));
        }
        if entry.index % SNAPSHOT_INTERVAL == 0 {
            let membership = replica.node().log().membership_at(entry.index);
            let disk = &mut replica.disk;
            disk.snapshot_state = replica.state.clone();
            disk.entries.retain(|other| other.index > entry.index);
            disk.snapshot = SnapshotMetadata {
                index: entry.index,
                term: entry.term,
                membership,
            };
            replica.node().compact_log(position);
        }
    }

    fn load_chunk(&mut self, id: NodeId, to: NodeId, offset: u64) {
        let replica = self.replica(id);
        let bytes: Vec<u8> = (replica.disk.snapshot_state.iter())
            .flat_map(|(index, command)| [&index.to_be_bytes()[..], command].concat())
            .collect();
        let start = (offset as usize).min(bytes.len());
        let end = (start + CHUNK_BYTES).min(bytes.len());
        let chunk = SnapshotChunk {
            metadata: replica.disk.snapshot.clone(),
            offset: start as u64,
            data: bytes[start..end].to_vec(),
            is_last: end == bytes.len(),
        };
        replica.node().snapshot_chunk_loaded(to, chunk);
    }

    fn store_chunk(&mut self, id: NodeId, from: NodeId, chunk: SnapshotChunk) {
        let metadata = chunk.metadata;
        let replica = self.replica(id);
        replica.disk.received.truncate(chunk.offset as usize);
        replica.disk.received.extend_from_slice(&chunk.data);
        if !chunk.is_last {
            let next_offset = replica.disk.received.len() as u64;
            return replica
                .node()
                .snapshot_chunk_stored(from, metadata, next_offset);
        }
        let number = |bytes: &[u8]| u64::from_be_bytes(bytes.try_into().unwrap());
        let state = std::mem::take(&mut replica.disk.received)
            .chunks(COMMAND_BYTES)
            .map(|bytes| (number(&bytes[..8]), bytes[8..].to_vec()))
            .collect::<Vec<_>>();
        assert!(
            state.iter().all(|(index, _)| *index <= metadata.index),
            "chunks of two snapshots were mixed"
        );
        replica.disk.install(metadata.clone(), state.clone());
        replica.state = state;
        replica.node().snapshot_installed(from, metadata);
        self.observed.installed_snapshots += 1;
    }
}

/// Adds an action to a digest: first a number for its kind, then its fields, as numbers or in their
/// wire encoding.
fn add_action(digest: &mut Digest, action: &Action) {
    match action {
        Action::Persist(write) => {
            digest.number(1);
            digest.number(write.sequence);
            digest.encoded(&write.hard_state);
            digest.encoded(&write.truncate_from);
            digest.encoded(&write.append);
        }
        Action::Send { to, message } => {
            digest.number(2);
            digest.number(*to);
            digest.encoded(message);
        }
        Action::Apply(entries) => {
            digest.number(3);
            digest.encoded(entries);
        }
        Action::ReadReady { read_id, index } => {
            digest.number(4);
            digest.number(*read_id);
            digest.number(*index);
        }
        Action::ReadFailed { read_id } => {
            digest.number(5);
            digest.number(*read_id);
        }
        Action::LoadSnapshotChunk { to, offset } => {
            digest.number(6);
            digest.number(*to);
            digest.number(*offset);
        }
        Action::StoreSnapshotChunk { from, chunk } => {
            digest.number(7);
            digest.number(*from);
            digest.encoded(&chunk.metadata);
            digest.number(chunk.offset);
            digest.encoded(&chunk.data);
            digest.number(u64::from(chunk.is_last));
        }
    }
}
