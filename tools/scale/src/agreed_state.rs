//! Agreed state by the number of instances, each a member as `violetgate serve` makes it: what the leader spends at
//! rest, the questions that it answers, how long a change takes until all have applied it, and how many may route.

mod costs;
mod group;
mod relay;

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
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

use crate::error::ScaleError;
use crate::figures::{Break, Figures, Options};
use crate::usage::{median, process_cpu, thread_cpu};
use costs::{Costs, IdleCosts, Slopes};
use group::{start_member, Growth, Others, Place, Shared, LEADER, VOTERS};
use relay::Counts;

/// Around 65 every size is measured: that is where the transport's limit on connections is expected to show.
const SIZES: [u64; 10] = [3, 5, 9, 17, 33, 49, 60, 65, 66, 70];
const SHORT_SIZES: [u64; 3] = [3, 5, 9];
/// Instances that have to be carried.
const TARGET: f64 = 7_600.0;
/// How long a group is left idle while its costs are measured.
const IDLE_WINDOW: Duration = Duration::from_secs(2);
const SHORT_IDLE_WINDOW: Duration = Duration::from_millis(250);
const CHANGES: u64 = 20;
const SHORT_CHANGES: u64 = 5;
/// How often a window is measured until one leader has led through it.
const MOST_WINDOWS: usize = 5;
/// How long members may take to lead, to join and to route.
const SETTLE: Duration = Duration::from_secs(15);
/// How long one try to hand leadership over may take.
const HAND_OVER: Duration = Duration::from_secs(1);
/// How long a change may take until all have applied it.
const APPLY: Duration = Duration::from_secs(10);
const LOOK: Duration = Duration::from_millis(1);

/// Measures groups of several sizes, each grown from the one before.
///
/// # Errors
///
/// Members can't be started, or nobody leads.
pub fn measure(options: &Options, figures: &mut Figures) -> Result<(), ScaleError> {
    let sizes = if options.short {
        &SHORT_SIZES[..]
    } else {
        &SIZES[..]
    };
    let mut slopes = Slopes::default();
    let executor = Rc::new(LocalExecutor::new());
    let mut largest = None;
    async_io::block_on(executor.run(async {
        let mut group = Group::start(&executor, options.seed)?;
        for &size in sizes {
            let routing = group.grow_to(size).await?;
            figures.add(&format!("agreed_state_routing_at_{size}"), routing);
            if routing < size as usize {
                println!("agreed_state: {routing} of {size} instances may route");
                continue;
            }
            largest = Some(size);
            let costs = group.costs(options, size).await?;
            slopes.push(size as f64, &costs);
            if options.short {
                figures.add(&format!("agreed_state_changes_at_{size}"), costs.changes);
            }
        }
        if !options.short {
            figures.add("agreed_state_repeated_windows", group.repeated_windows);
        }
        Ok::<_, ScaleError>(())
    }))?;
    if options.short {
        let all = SHORT_SIZES.last().copied() == largest;
        return if all {
            Ok(())
        } else {
            Err(ScaleError::Late {
                what: "routing",
                seconds: SETTLE.as_secs(),
            })
        };
    }
    slopes.record(figures);
    if largest < sizes.last().copied() {
        let size = largest.map(|size| size as f64);
        figures.add(
            "agreed_state_connections_breaks_at_instances",
            largest.unwrap_or(0),
        );
        let name = "agreed_state_connections".to_owned();
        figures.add_break(Break {
            name,
            size,
            size_of: "instances",
            target: TARGET,
        });
    }
    Ok(())
}

/// Members that agree: the leader here, the others on their own thread. The place goes last.
struct Group {
    leader: Rc<ReplicaRuntime>,
    others: Others,
    shared: Arc<Shared>,
    counts: Arc<Counts>,
    /// Where each member listens; the others reach the leader by a relay.
    listens: BTreeMap<NodeId, SocketAddr>,
    relay: SocketAddr,
    next_change: u64,
    repeated_windows: u64,
    _place: Rc<Place>,
}

fn free_address() -> Result<SocketAddr, ScaleError> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(ScaleError::io("find a free port"))?;
    listener
        .local_addr()
        .map_err(ScaleError::io("find a free port"))
}

impl Group {
    fn start(executor: &Rc<LocalExecutor<'static>>, seed: u64) -> Result<Self, ScaleError> {
        let (place, shared) = (Rc::new(Place::new(seed)), Arc::new(Shared::default()));
        let (listen, counts) = (free_address()?, Arc::new(Counts::default()));
        let relay = relay::start(listen, Arc::clone(&counts))?;
        let listens = BTreeMap::from([(LEADER, listen)]);
        let leader = start_member(executor, &place, &listens, LEADER, listen, &shared)?;
        let others = Others::start(&place, &shared)?;
        Ok(Group {
            leader,
            others,
            shared,
            counts,
            listens,
            relay,
            next_change: 0,
            repeated_windows: 0,
            _place: place,
        })
    }

    /// Adds members until there are so many, and waits until they route. How many do.
    async fn grow_to(&mut self, size: u64) -> Result<usize, ScaleError> {
        let first = self.listens.len() as u64 + 1;
        let mut new = BTreeMap::new();
        for id in first..=size {
            new.insert(id, free_address()?);
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
        self.lead().await?;
        for id in joining {
            let added = self
                .leader
                .submit(
                    Call::ChangeMembership(MembershipChange::AddLearner(id)),
                    SETTLE,
                )
                .await;
            if added != CallOutcome::Completed(Response::MembershipChanged) {
                return Err(ScaleError::Member {
                    id,
                    reason: format!("it was not added: {added:?}"),
                });
            }
        }
        let wanted = size as usize;
        let _ = wait(SETTLE, || self.routing() >= wanted).await;
        Ok(self.routing())
    }

    fn routing(&self) -> usize {
        self.shared.routing() + usize::from(self.leader.may_route().is_ok())
    }

    /// Sees to it that the member on this thread leads.
    async fn lead(&self) -> Result<(), ScaleError> {
        let until = Instant::now() + SETTLE;
        while Instant::now() < until {
            if self.leader.status().role == Role::Leader && self.leader.may_route().is_ok() {
                return Ok(());
            }
            if self.leader.status().role != Role::Leader {
                let _ = self
                    .leader
                    .submit(Call::TransferLeadership(LEADER), HAND_OVER)
                    .await;
            }
            Timer::after(LOOK).await;
        }
        Err(ScaleError::Late {
            what: "leadership of the first member",
            seconds: SETTLE.as_secs(),
        })
    }

    /// Costs at rest and of changes.
    async fn costs(&mut self, options: &Options, size: u64) -> Result<Costs, ScaleError> {
        let (window, changes) = if options.short {
            (SHORT_IDLE_WINDOW, SHORT_CHANGES)
        } else {
            (IDLE_WINDOW, CHANGES)
        };
        // The quieter one of two windows: other processes only add.
        let (first, second) = (
            self.idle_costs(window).await?,
            self.idle_costs(window).await?,
        );
        let idle = if first.leader_us_per_s < second.leader_us_per_s {
            first
        } else {
            second
        };
        let (begun, process) = (Instant::now(), process_cpu());
        let mut took_ms = Vec::new();
        for _ in 0..changes {
            took_ms.push(self.change(size).await?.as_secs_f64() * 1e3);
        }
        let used_us = (process_cpu() - process).as_secs_f64() * 1e6;
        let at_rest_us = idle.process_us_per_s * begun.elapsed().as_secs_f64();
        Ok(Costs {
            slowest_change_ms: took_ms.iter().copied().fold(0.0, f64::max),
            change_ms: median(took_ms),
            change_cpu_us: (used_us - at_rest_us) / changes as f64,
            other_us_per_s: idle.others_us_per_s / (size - 1) as f64,
            idle,
            changes,
        })
    }

    /// What is spent while nothing changes. A window in which another member came to lead is measured anew.
    async fn idle_costs(&mut self, window: Duration) -> Result<IdleCosts, ScaleError> {
        for _ in 0..MOST_WINDOWS {
            self.lead().await?;
            let term = self.leader.status().term;
            let idle = self.window(window).await;
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

    async fn window(&self, window: Duration) -> IdleCosts {
        let begun = Instant::now();
        let (leader, others, process) = (thread_cpu(), self.shared.others_cpu(), process_cpu());
        let Counts {
            questions,
            frames,
            bytes,
        } = &*self.counts;
        let received = [questions, frames, bytes].map(|count| count.load(Relaxed));
        Timer::after(window).await;
        let seconds = begun.elapsed().as_secs_f64();
        let us_per_s = |used: Duration| used.as_secs_f64() * 1e6 / seconds;
        let [questions_before, frames_before, bytes_before] = received;
        let per_s = |count: &AtomicU64, before| (count.load(Relaxed) - before) as f64 / seconds;
        IdleCosts {
            leader_us_per_s: us_per_s(thread_cpu() - leader),
            others_us_per_s: us_per_s(self.shared.others_cpu() - others),
            process_us_per_s: us_per_s(process_cpu() - process),
            questions_per_s: per_s(questions, questions_before),
            messages_per_s: per_s(frames, frames_before),
            bytes_per_s: per_s(bytes, bytes_before),
        }
    }

    /// One change, from its proposal until all have applied it.
    async fn change(&mut self, size: u64) -> Result<Duration, ScaleError> {
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
        let begun = Instant::now();
        let revision = match self.leader.submit(call, APPLY).await {
            CallOutcome::Completed(Response::Applied(Outcome::Applied { revision, .. })) => {
                revision
            }
            _ => {
                return Err(ScaleError::Late {
                    what: "a change",
                    seconds: APPLY.as_secs(),
                })
            }
        };
        let applied = self.applied_by_all(size, revision).await;
        applied.map(|at| at - begun).ok_or(ScaleError::Late {
            what: "a change in force everywhere",
            seconds: APPLY.as_secs(),
        })
    }

    async fn applied_by_all(&self, size: u64, revision: Revision) -> Option<Instant> {
        let found = || self.shared.applied_by_all(size as usize, revision);
        let _ = wait(APPLY, || found().is_some()).await;
        found()
    }
}

/// Waits until something holds. False: it did not, in that time.
async fn wait(within: Duration, holds: impl Fn() -> bool) -> bool {
    let until = Instant::now() + within;
    while !holds() {
        if Instant::now() > until {
            return false;
        }
        Timer::after(LOOK).await;
    }
    true
}
