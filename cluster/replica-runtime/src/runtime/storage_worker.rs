//! Runs the thread that writes to disk.
//!
//! Jobs are carried out in the order in which they are submitted. Consecutive writes are combined
//! and made durable by one sync.

use std::sync::mpsc;
use std::time::Duration;

use async_channel::Sender;
use violetgate_raft::{Entry, Index, NodeId, SnapshotMetadata, StorageWrite};
use violetgate_raft_storage::{FsDirectory, RaftStorage, StorageError};

/// The delay before a failed write, for instance on a full disk, is retried.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(200);

/// A job for the storage thread.
pub(super) enum StorageJob {
    Write(Vec<StorageWrite>),
    SaveSnapshot {
        metadata: SnapshotMetadata,
        state: Vec<u8>,
    },
    InstallSnapshot {
        /// The leader that sent it.
        from: NodeId,
        metadata: SnapshotMetadata,
        state: Vec<u8>,
        /// The log entries after the snapshot, which remain in the log.
        entries_after: Vec<Entry>,
    },
}

/// A report of the storage thread to the runtime.
pub(super) enum StorageEvent {
    /// All writes up to this sequence number are durable.
    Persisted {
        sequence: u64,
    },
    SnapshotSaved {
        index: Index,
    },
    SnapshotInstalled {
        from: NodeId,
        metadata: SnapshotMetadata,
        state: Vec<u8>,
    },
    /// A write failed. The thread retries it until it succeeds.
    WriteFailed(std::io::Error),
    /// The storage failed, and nothing more can be written. The thread ends.
    Failed(StorageError),
}

/// The reason why the thread ends.
enum WorkerEnd {
    /// The runtime was dropped.
    RuntimeDropped,
    Failed(StorageError),
}

/// Carries out jobs until the runtime is dropped or the storage fails.
pub(super) fn run(
    storage: RaftStorage<FsDirectory>,
    jobs: &mpsc::Receiver<StorageJob>,
    events: &Sender<StorageEvent>,
) {
    let mut worker = StorageWorker {
        storage,
        jobs,
        events,
        next_job: None,
    };
    while let Some(job) = worker.next_job() {
        let reported = worker.carry_out(job).and_then(|event| worker.report(event));
        match reported {
            Ok(()) => {}
            Err(WorkerEnd::RuntimeDropped) => return,
            Err(WorkerEnd::Failed(error)) => {
                // Sending fails only if the runtime was dropped, and then nobody needs the report.
                let _ = worker.report(StorageEvent::Failed(error));
                return;
            }
        }
    }
}

struct StorageWorker<'a> {
    storage: RaftStorage<FsDirectory>,
    jobs: &'a mpsc::Receiver<StorageJob>,
    events: &'a Sender<StorageEvent>,
    /// A job that was received but not carried out yet.
    next_job: Option<StorageJob>,
}

impl StorageWorker<'_> {
    fn next_job(&mut self) -> Option<StorageJob> {
        self.next_job.take().or_else(|| self.jobs.recv().ok())
    }

    fn report(&self, event: StorageEvent) -> Result<(), WorkerEnd> {
        let sent = self.events.send_blocking(event);
        sent.map_err(|_| WorkerEnd::RuntimeDropped)
    }

    fn carry_out(&mut self, job: StorageJob) -> Result<StorageEvent, WorkerEnd> {
        match job {
            StorageJob::Write(mut writes) => {
                self.add_queued_writes(&mut writes);
                self.retry(|storage| storage.write(&writes))?;
                let sequence = writes.iter().map(|write| write.sequence).max();
                Ok(StorageEvent::Persisted {
                    sequence: sequence.unwrap_or(0),
                })
            }
            StorageJob::SaveSnapshot { metadata, state } => {
                self.retry(|storage| storage.save_snapshot(&metadata, &state))?;
                let index = metadata.index;
                Ok(StorageEvent::SnapshotSaved { index })
            }
            StorageJob::InstallSnapshot {
                from,
                metadata,
                state,
                entries_after,
            } => {
                self.retry(|storage| storage.install_snapshot(&metadata, &state, &entries_after))?;
                Ok(StorageEvent::SnapshotInstalled {
                    from,
                    metadata,
                    state,
                })
            }
        }
    }

    /// Adds the writes that are queued directly behind this one, up to the next job of another
    /// kind.
    fn add_queued_writes(&mut self, writes: &mut Vec<StorageWrite>) {
        while let Ok(job) = self.jobs.try_recv() {
            match job {
                StorageJob::Write(more) => writes.extend(more),
                other => {
                    self.next_job = Some(other);
                    return;
                }
            }
        }
    }

    /// Repeats an operation while its writes fail. Only the first failure is reported.
    fn retry(
        &mut self,
        mut operation: impl FnMut(&mut RaftStorage<FsDirectory>) -> Result<(), StorageError>,
    ) -> Result<(), WorkerEnd> {
        let mut is_reported = false;
        loop {
            match operation(&mut self.storage) {
                Ok(()) => return Ok(()),
                Err(StorageError::WriteFailed(error)) => {
                    if !std::mem::replace(&mut is_reported, true) {
                        self.report(StorageEvent::WriteFailed(error))?;
                    }
                    if self.events.is_closed() {
                        return Err(WorkerEnd::RuntimeDropped);
                    }
                    std::thread::sleep(WRITE_RETRY_DELAY);
                }
                Err(error) => return Err(WorkerEnd::Failed(error)),
            }
        }
    }
}
