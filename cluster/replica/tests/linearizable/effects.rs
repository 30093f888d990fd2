//! Runs the effects that the replicas request: storage writes, messages, responses to clients.

use std::rc::Rc;

use violetgate_raft::{NodeId, SnapshotMetadata};
use violetgate_replica::Effect;

use crate::cluster::{Event, SimulatedCluster, MS};
use crate::digest::Digest;

/// Share of messages that are lost, in percent.
const LOSS_PERCENT: u64 = 2;

impl SimulatedCluster {
    /// Runs all effects of a replica until it requests no more.
    pub fn run_effects(&mut self, id: NodeId) {
        loop {
            let Some(replica) = self.server(id).replica.as_mut() else {
                return;
            };
            let effects = replica.take_effects();
            if effects.is_empty() {
                break;
            }
            for effect in effects {
                self.run_effect(id, effect);
            }
        }
        self.schedule_tick(id);
    }

    fn run_effect(&mut self, id: NodeId, effect: Effect) {
        self.digest.number(self.now);
        self.digest.number(id);
        add_effect(&mut self.digest, &effect);
        let delay = MS / 2 + self.draw(6 * MS);
        match effect {
            Effect::Persist(write) => {
                let server = self.server(id);
                let process = server.process;
                server.pending_writes.push(write);
                if server.pending_writes.len() == 1 {
                    self.schedule(delay, Event::Flush { id, process });
                }
            }
            Effect::Send { to, message } => {
                if self.draw(100) >= LOSS_PERCENT {
                    let from = id;
                    self.schedule(delay, Event::Deliver { from, to, message });
                }
            }
            Effect::SaveSnapshot { metadata, state } => {
                let server = self.server(id);
                server.storage().save_snapshot(&metadata, &state).unwrap();
                server.replica().snapshot_saved(metadata.index);
            }
            Effect::InstallSnapshot {
                from,
                metadata,
                state,
            } => self.install_snapshot(id, from, metadata, state),
            Effect::Respond { call, response } => self.on_response(id, call, response),
        }
    }

    fn install_snapshot(
        &mut self,
        id: NodeId,
        from: NodeId,
        metadata: SnapshotMetadata,
        state: Rc<Vec<u8>>,
    ) {
        let server = self.server(id);
        let following = server.replica().entries_after(&metadata);
        // Pending writes come before the installation, which replaces the log, so they are flushed
        // first.
        let sequence = server.flush();
        server
            .storage()
            .install_snapshot(&metadata, &state, &following)
            .unwrap();
        server.replica().persisted(sequence);
        server.replica().snapshot_installed(from, metadata, state);
    }
}

/// Adds an effect to a digest: a number for its kind, then its fields. The digest therefore does
/// not depend on the Debug output or the names of the effects.
fn add_effect(digest: &mut Digest, effect: &Effect) {
    match effect {
        Effect::Persist(write) => {
            digest.number(1);
            digest.number(write.sequence);
            digest.encoded(&write.hard_state);
            digest.encoded(&write.truncate_from);
            digest.encoded(&write.append);
        }
        Effect::Send { to, message } => {
            digest.number(2);
            digest.number(*to);
            digest.encoded(message);
        }
        Effect::Respond { call, response } => {
            digest.number(3);
            digest.number(*call);
            digest.encoded(response);
        }
        Effect::SaveSnapshot { metadata, state } => {
            digest.number(4);
            digest.encoded(metadata);
            digest.bytes(state);
        }
        Effect::InstallSnapshot {
            from,
            metadata,
            state,
        } => {
            digest.number(5);
            digest.number(*from);
            digest.encoded(metadata);
            digest.bytes(state);
        }
    }
}
