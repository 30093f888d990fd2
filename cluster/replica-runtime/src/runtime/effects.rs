//! Carries out the effects that the core requests: messages, writes, and answers to calls.

use std::rc::Rc;
use std::task::Waker;

use violetgate_raft::StorageWrite;
use violetgate_replica::Effect;

use super::storage_worker::{StorageEvent, StorageJob};
use super::{ReplicaRuntime, StopReason};
use crate::wire::PeerMessage;

impl ReplicaRuntime {
    pub(super) fn carry_out_effects(&self) {
        if self.has_stopped() {
            return;
        }
        let mut writes = Vec::new();
        loop {
            let effects = self.replica.borrow_mut().take_effects();
            if effects.is_empty() {
                break;
            }
            for effect in effects {
                self.carry_out(effect, &mut writes);
            }
        }
        self.submit_writes(&mut writes);
        self.notify_applied();
        self.tick_timer.set(self.replica.borrow().next_tick());
    }

    /// Carries out one effect. Writes are collected, so that one sync makes all writes of a call
    /// durable.
    fn carry_out(&self, effect: Effect, writes: &mut Vec<StorageWrite>) {
        match effect {
            Effect::Persist(write) => writes.push(write),
            Effect::Send { to, message } => self.transport.send(to, &PeerMessage::Raft(message)),
            Effect::Respond { call, response } => {
                let pending = self.pending_calls.borrow().get(&call).cloned();
                if let Some(pending) = pending {
                    pending.complete(response);
                }
            }
            Effect::SaveSnapshot { metadata, state } => {
                self.submit_writes(writes);
                self.submit_job(StorageJob::SaveSnapshot {
                    metadata,
                    state: state.to_vec(),
                });
            }
            Effect::InstallSnapshot {
                from,
                metadata,
                state,
            } => {
                let entries_after = self.replica.borrow().entries_after(&metadata);
                self.submit_writes(writes);
                self.submit_job(StorageJob::InstallSnapshot {
                    from,
                    metadata,
                    state: state.to_vec(),
                    entries_after,
                });
            }
        }
    }

    fn submit_writes(&self, writes: &mut Vec<StorageWrite>) {
        if !writes.is_empty() {
            self.submit_job(StorageJob::Write(std::mem::take(writes)));
        }
    }

    fn submit_job(&self, job: StorageJob) {
        if self.storage_jobs.send(job).is_err() {
            self.stop(StopReason::StorageThreadEnded);
        }
    }

    /// Calls the callbacks if further entries were applied since their last call.
    fn notify_applied(&self) {
        let replica = self.replica.borrow();
        let applied = replica.applied();
        if self.notified_index.replace(applied) == applied {
            return;
        }
        let callbacks = self.callbacks.borrow().clone();
        for callback in callbacks.iter() {
            callback(replica.store());
        }
        self.wake_waiting();
    }

    fn stop(&self, reason: StopReason) {
        tracing::info!("this replica has stopped: {reason}");
        *self.stop_reason.borrow_mut() = Some(reason);
        self.wake_waiting();
    }

    fn wake_waiting(&self) {
        let wakers = std::mem::take(&mut *self.apply_wakers.borrow_mut());
        wakers.into_iter().for_each(Waker::wake);
    }

    pub(super) fn on_storage_event(&self, event: StorageEvent) {
        match event {
            StorageEvent::Persisted { sequence } => {
                self.drive(|replica| replica.persisted(sequence));
            }
            StorageEvent::SnapshotSaved { index } => {
                self.drive(|replica| replica.snapshot_saved(index));
            }
            StorageEvent::SnapshotInstalled {
                from,
                metadata,
                state,
            } => self.drive(|replica| replica.snapshot_installed(from, metadata, Rc::new(state))),
            StorageEvent::WriteFailed(error) => {
                tracing::info!("cluster can't write for now: {error}");
            }
            StorageEvent::Failed(error) => self.stop(StopReason::Storage(Rc::new(error))),
        }
    }
}
