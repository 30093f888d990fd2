//! A growing cluster: its leader, the thread of the other members, and measurements of both.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::Timer;
use violetgate_raft::{MembershipChange, NodeId, Role};
use violetgate_replica::Response;
use violetgate_replica_runtime::{Call, CallOutcome, ReplicaRuntime};
use violetgate_replicated_state::{Mutation, Operation, Outcome, Revision, Txn};

use super::costs::{Costs, IdleCosts};
use super::members::{
    start_member, Growth, MemberFolders, MemberProgress, OtherMembers, LEADER, VOTERS,
};
use super::relay::{self, RelayCounts};
use crate::error::ScaleError;
use crate::figures::Options;
use crate::gateway_process::reserve_address;
use crate::usage::{median, process_cpu, thread_cpu};

/// How long the idle costs of a cluster are measured.
const IDLE_WINDOW: Duration = Duration::from_secs(2);
const SHORT_IDLE_WINDOW: Duration = Duration::from_millis(250);
/// The number of changes that are measured at each size.
const CHANGES: u64 = 20;
const SHORT_CHANGES: u64 = 5;
/// How often an idle window is measured before giving up, if the leader changes in each of them.
const MAX_WINDOWS: usize = 5;
/// How long members may take to become leader, to join, and to route.
pub(super) const READY_TIMEOUT: Duration = Duration::from_secs(15);
/// How long one attempt to transfer leadership may take.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a change may take until all have applied it.
const APPLY_TIMEOUT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// A cluster: the leader on the calling thread, and the other members on a second one. The folders
/// are removed last, after the members have ended.
pub(super) struct Group {
    leader: Rc<ReplicaRuntime>,
    others: OtherMembers,
    progress: Arc<MemberProgress>,
    counts: Arc<RelayCounts>,
    /// The address at which each member listens.
    listens: BTreeMap<NodeId, SocketAddr>,
    /// The address of the relay through which the other members reach the leader.
    relay: SocketAddr,
    next_change: u64,
    /// The number of idle windows in which the leader changed, and which were measured again.
    pub(super) repeated_windows: u64,
    _folders: Rc<MemberFolders>,
}

impl Group {
    /// Starts the cluster's first member, without the others.
    pub(super) fn start(
        executor: &Rc<LocalExecutor<'static>>,
        seed: u64,
    ) -> Result<Self, ScaleError> {
        let folders = Rc::new(MemberFolders::new(seed));
        let progress = Arc::new(MemberProgress::default());
        let listen = reserve_address()?;
        let counts = Arc::new(RelayCounts::default());
        let relay = relay::start(listen, Arc::clone(&counts))?;
        let listens = BTreeMap::from([(LEADER, listen)]);
        let leader = start_member(executor, &folders, &listens, LEADER, listen, &progress)?;
        let others = OtherMembers::start(&folders, &progress)?;
        Ok(Group {
            leader,
            others,
            progress,
            counts,
            listens,
            relay,
            next_change: 0,
            repeated_windows: 0,
            _folders: folders,
        })
    }

    /// Adds members until the cluster has `size`, waits until all of them route, and returns how
    /// many do so by the timeout.
    pub(super) async fn grow_to(&mut self, size: u64) -> Result<usize, ScaleError> {
        let first = self.listens.len() as u64 + 1;
        let mut new = BTreeMap::new();
        for id in first..=size {
            new.insert(id, reserve_address()?);
        }
        self.listens.extend(&new);
        let mut addresses = self.listens.clone();
        addresses.insert(LEADER, self.relay);
        let joining: Vec<_> = new
            .keys()
            .copied()
            .filter(|id| !VOTERS.contains(id))
            .collect();
        self.others.grow(Growth { new, addresses })?;
        self.leader.transport().set_peers(&self.listens);
        self.ensure_leadership().await?;
        for id in joining {
            let added = self
                .leader
                .submit(
                    Call::ChangeMembership(MembershipChange::AddLearner(id)),
                    READY_TIMEOUT,
                )
                .await;
            if added != CallOutcome::Completed(Response::MembershipChanged) {
                return Err(ScaleError::Member {
                    id,
                    reason: format!("adding it to the cluster failed: {added:?}"),
                });
            }
        }
        let wanted = size as usize;
        let _ = wait_async(READY_TIMEOUT, || self.count_routing() >= wanted).await;
        Ok(self.count_routing())
    }

    fn count_routing(&self) -> usize {
        self.progress.routing() + usize::from(self.leader.may_route().is_ok())
    }

    /// Transfers leadership to the member on this thread, and waits until it leads and may route.
    async fn ensure_leadership(&self) -> Result<(), ScaleError> {
        let deadline = Instant::now() + READY_TIMEOUT;
        while Instant::now() < deadline {
            if self.leader.status().role == Role::Leader && self.leader.may_route().is_ok() {
                return Ok(());
            }
            if self.leader.status().role != Role::Leader {
                let _ = self
                    .leader
                    .submit(Call::TransferLeadership(LEADER), TRANSFER_TIMEOUT)
                    .await;
            }
            Timer::after(POLL_INTERVAL).await;
        }
        Err(ScaleError::Late {
            what: "leadership of the first member",
            seconds: READY_TIMEOUT.as_secs(),
        })
    }

    /// Measures the costs at rest and of changes, in a cluster of `size` members.
    pub(super) async fn measure_costs(
        &mut self,
        options: &Options,
        size: u64,
    ) -> Result<Costs, ScaleError> {
        let (window, changes) =
            options.select((SHORT_IDLE_WINDOW, SHORT_CHANGES), (IDLE_WINDOW, CHANGES));
        // Other processes can only add to the measured cost, so the cheaper of two windows is used.
        let (first, second) = (
            self.idle_costs(window).await?,
            self.idle_costs(window).await?,
        );
        let idle = if first.leader_us_per_s < second.leader_us_per_s {
            first
        } else {
            second
        };
        let (began, process) = (Instant::now(), process_cpu());
        let mut took_ms = Vec::new();
        for _ in 0..changes {
            took_ms.push(self.measure_change(size).await?.as_secs_f64() * 1e3);
        }
        let used_us = (process_cpu() - process).as_secs_f64() * 1e6;
        let at_rest_us = idle.process_us_per_s * began.elapsed().as_secs_f64();
        Ok(Costs {
            slowest_change_ms: took_ms.iter().copied().fold(0.0, f64::max),
            change_ms: median(took_ms),
            change_cpu_us: (used_us - at_rest_us) / changes as f64,
            other_us_per_s: idle.others_us_per_s / (size - 1) as f64,
            idle,
            changes,
        })
    }

    /// Measures the costs while nothing changes. A window in which the leader changed is measured
    /// again.
    async fn idle_costs(&mut self, window: Duration) -> Result<IdleCosts, ScaleError> {
        for _ in 0..MAX_WINDOWS {
            self.ensure_leadership().await?;
            let term = self.leader.status().term;
            let idle = self.measure_window(window).await;
            let status = self.leader.status();
            if status.role == Role::Leader && status.term == term {
                return Ok(idle);
            }
            self.repeated_windows += 1;
        }
        Err(ScaleError::Late {
            what: "a window with one leader",
            seconds: window.as_secs(),
        })
    }

    async fn measure_window(&self, window: Duration) -> IdleCosts {
        let began = Instant::now();
        let (leader, others, process) = (thread_cpu(), self.progress.others_cpu(), process_cpu());
        let RelayCounts {
            read_index_requests,
            frames,
            bytes,
        } = &*self.counts;
        let received = [read_index_requests, frames, bytes].map(|count| count.load(Relaxed));
        Timer::after(window).await;
        let seconds = began.elapsed().as_secs_f64();
        let us_per_s = |used: Duration| used.as_secs_f64() * 1e6 / seconds;
        let [requests_before, frames_before, bytes_before] = received;
        let per_s = |count: &AtomicU64, before| (count.load(Relaxed) - before) as f64 / seconds;
        IdleCosts {
            leader_us_per_s: us_per_s(thread_cpu() - leader),
            others_us_per_s: us_per_s(self.progress.others_cpu() - others),
            process_us_per_s: us_per_s(process_cpu() - process),
            read_index_per_s: per_s(read_index_requests, requests_before),
            messages_per_s: per_s(frames, frames_before),
            bytes_per_s: per_s(bytes, bytes_before),
        }
    }

    /// Makes one change, and returns the time from its proposal until all members have applied it.
    async fn measure_change(&mut self, size: u64) -> Result<Duration, ScaleError> {
        self.next_change += 1;
        let value = format!("{:026}", self.next_change).into_bytes();
        let put = Mutation::Put {
            key: "scale/limit".to_owned(),
            value,
            lease: None,
        };
        let step = Operation::Txn(Txn {
            then: vec![put],
            ..Txn::default()
        });
        let request = format!("scale-{}", self.next_change);
        let call = Call::Propose {
            request_id: request,
            actor: "scale".to_owned(),
            operation: step,
        };
        let began = Instant::now();
        let revision = match self.leader.submit(call, APPLY_TIMEOUT).await {
            CallOutcome::Completed(Response::Applied(Outcome::Applied { revision, .. })) => {
                revision
            }
            _ => {
                return Err(ScaleError::Late {
                    what: "a change",
                    seconds: APPLY_TIMEOUT.as_secs(),
                })
            }
        };
        let applied = self.applied_by_all(size, revision).await;
        applied.map(|at| at - began).ok_or(ScaleError::Late {
            what: "a change in force everywhere",
            seconds: APPLY_TIMEOUT.as_secs(),
        })
    }

    async fn applied_by_all(&self, size: u64, revision: Revision) -> Option<Instant> {
        let applied = || self.progress.applied_by_all(size as usize, revision);
        let _ = wait_async(APPLY_TIMEOUT, || applied().is_some()).await;
        applied()
    }
}

/// Waits until a condition holds. Returns `false` if it does not hold within the time.
async fn wait_async(within: Duration, condition: impl Fn() -> bool) -> bool {
    let deadline = Instant::now() + within;
    while !condition() {
        if Instant::now() > deadline {
            return false;
        }
        Timer::after(POLL_INTERVAL).await;
    }
    true
}
