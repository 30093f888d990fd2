//! This instance as a member of a cluster: what is agreed on is done here, and what operators call for becomes agreed.
//!
//! What a change means is [`agreed`]'s, which does no I/O; who agrees is the cluster's. It must never let anything be
//! sent on state that it can't confirm: it is the program's [`Fence`].

mod api;
mod metrics;
mod participant;
mod reconcile;
pub mod shared_config;
mod subscriber;

use std::cell::Cell;
use std::rc::{Rc, Weak};
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Timer;
use violetgate_raft::{Config, NodeId, ProposalError, Role};
use violetgate_replica::{ReplicaConfig, Response};
use violetgate_replica_runtime::{
    Call, CallOutcome, FleetTotals, ObserverConfig, ObserverService, ReplicaOptions,
    ReplicaRuntime, ReplicaStatus, RevisionInForce,
};
use violetgate_replicated_state::{CommandError, Operation, Outcome, Revision, Store, Txn};

use crate::fence::Fence;
use crate::log;
use crate::settings::{self, Settings};
use metrics::MemberFigures;
use reconcile::Reconciler;
use shared_config::{EngineListSnapshot, MemberAddress, SharedConfig};

pub use api::{listen, MembershipStep};
pub use participant::Participant;
pub use reconcile::ControlTargets;
pub use subscriber::ClusterSubscriber;

/// How often the fence is looked at: what waits is told to go elsewhere within this time.
const LOOK: Duration = Duration::from_millis(20);
/// How often the leader sees to what is kept of the engine list.
const KEEP: Duration = Duration::from_millis(200);
/// How long one call to keep something may take.
const WITHIN: Duration = Duration::from_secs(5);

/// Why a call was not agreed on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommitError {
    /// Not in its time: it may still come to be. The same call under the same request id tells.
    Late,
    /// The store refused it.
    Refused(CommandError),
    /// The step of the membership can't be taken.
    Rejected(ProposalError),
    /// This instance subscribes: only a member can have something agreed on.
    NotAMember,
}

/// This instance as a member.
pub struct ClusterMember {
    cluster: Rc<ReplicaRuntime>,
    id: NodeId,
    state: Reconciler,
    given: settings::Cluster,
    /// The service to subscribers, if this member is an observer.
    observer: Option<Rc<ObserverService>>,
    shut: Cell<bool>,
}

impl Fence for ClusterMember {
    fn is_open(&self) -> bool {
        self.cluster.may_route().is_ok()
    }
}

/// An id for a request that its client gave none.
#[must_use]
pub fn request_id() -> String {
    let mut bytes = [0; 16];
    // Without random numbers two requests could be taken for one: the time tells them apart then.
    if getrandom::fill(&mut bytes).is_err() {
        let now = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .unwrap_or_default();
        bytes = now.as_nanos().to_be_bytes();
    }
    format!("r-{:032x}", u128::from_be_bytes(bytes))
}

impl ClusterMember {
    /// Opens this member's folder and begins to take part. Nothing may be sent until its state is confirmed.
    ///
    /// # Errors
    ///
    /// Its folder or its address can't be used.
    pub fn start(
        executor: &Rc<LocalExecutor<'static>>,
        own: &Settings,
        given: &settings::Cluster,
        seed: u64,
    ) -> Result<Rc<Self>, String> {
        let micros = |s: settings::Span| u64::try_from(s.0.as_micros()).unwrap_or(u64::MAX);
        let raft = Config {
            election_timeout: micros(given.election_timeout),
            heartbeat_interval: micros(given.heartbeat),
            ..Config::default()
        };
        let config = ReplicaConfig {
            raft,
            snapshot_interval: given.snapshot_every,
            max_staleness: micros(given.drain_limit),
            confirm_interval: micros(given.confirm_every),
        };
        let options = ReplicaOptions {
            cluster: given.name.clone(),
            id: given.id,
            folder: given.folder.clone(),
            listen: given.listen,
            members: given.addresses(),
            config,
            seed,
        };
        let cluster = ReplicaRuntime::start(executor, &options).map_err(|e| {
            if e.is_uninitialized_folder() {
                format!("`cluster.folder`: {e} (`violetgate members init` makes one)")
            } else {
                format!("`cluster`: {e}")
            }
        })?;
        let observer = given.subscribers_listen().map(|listen| {
            let defaults = ObserverConfig::default_for(&given.name, given.id);
            let config = ObserverConfig {
                capacity: given.subscribers,
                ..defaults
            };
            ObserverService::start(&cluster, listen, config)
                .map_err(|e| format!("`cluster.subscribers_listen`: {e}"))
        });
        Ok(Rc::new(ClusterMember {
            cluster,
            id: given.id,
            state: Reconciler::new(given.id.to_string(), own),
            given: given.clone(),
            observer: observer.transpose()?,
            shut: Cell::new(true),
        }))
    }

    /// Names what agreed state reaches, does what is agreed on so far, and goes on doing so.
    pub fn attach(self: &Rc<Self>, executor: &Rc<LocalExecutor<'static>>, parts: ControlTargets) {
        self.state.attach(parts);
        let me = Rc::downgrade(self);
        // In the very turn in which it is applied: the gate may count it from then on.
        self.cluster.on_applied(Rc::new(move |store| {
            me.upgrade().into_iter().for_each(|me| me.adopt(store));
        }));
        executor.spawn(look(Rc::downgrade(self))).detach();
        executor.spawn(keep(Rc::downgrade(self))).detach();
    }

    /// Does what is agreed on and was not done yet.
    fn adopt(&self, store: &Store) {
        if self.state.adopt(store) {
            self.take_members(&self.state.view());
        }
    }

    fn take_members(&self, view: &SharedConfig) {
        let own = self
            .state
            .own()
            .cluster
            .as_ref()
            .map(settings::Cluster::addresses);
        let own = own.unwrap_or_else(|| self.given.addresses());
        self.cluster.transport().set_peers(&view.addresses(&own));
        self.cluster.transport().set_known_disks(view.disks());
    }

    /// The settings that hold here: the agreed ones over this instance's own.
    #[must_use]
    pub fn settings(&self) -> Settings {
        self.state.settings()
    }

    /// This instance's own settings were read anew.
    pub fn own(&self, own: &Settings) {
        self.state.set_own(own);
        if self.state.parts().is_some() {
            self.take_members(&self.state.view());
        }
    }

    /// How far all front ends that subscribe are, as observers reported it of late.
    #[must_use]
    pub fn fleet_progress(&self) -> FleetTotals {
        self.cluster.fleet_progress()
    }

    /// The latest revision that was in force at all front ends that serve, and when it was.
    #[must_use]
    pub fn last_in_force(&self) -> Option<RevisionInForce> {
        self.cluster.last_in_force()
    }

    /// What the member is at.
    #[must_use]
    pub fn status(&self) -> ReplicaStatus {
        self.cluster.status()
    }

    /// Has a transaction agreed on, once: the store's revision after it, and whether its conditions held.
    ///
    /// # Errors
    ///
    /// It was not, or it is not known.
    pub async fn agree(
        &self,
        request: Option<String>,
        who: &str,
        txn: Txn,
        within: Duration,
    ) -> Result<(Revision, bool), CommitError> {
        let request = request.unwrap_or_else(request_id);
        let call = Call::Propose {
            request_id: request,
            actor: who.to_owned(),
            operation: Operation::Txn(txn),
        };
        match self.cluster.submit(call, within).await {
            CallOutcome::Completed(Response::Applied(Outcome::Applied {
                revision,
                conditions_held: held,
            })) => Ok((revision, held)),
            CallOutcome::Completed(Response::Applied(Outcome::Rejected(why))) => {
                Err(CommitError::Refused(why))
            }
            CallOutcome::Completed(Response::Rejected(why)) => Err(CommitError::Rejected(why)),
            _ => Err(CommitError::Late),
        }
    }

    /// Calls an engine out, or back, everywhere.
    ///
    /// # Errors
    ///
    /// As [`ClusterMember::agree`].
    pub async fn cordon(
        &self,
        engine: &str,
        out: bool,
        who: &str,
        within: Duration,
    ) -> Result<(), CommitError> {
        self.agree(None, who, shared_config::cordon(engine, out, who), within)
            .await
            .map(|_| ())
    }

    /// Drains this instance, or lets it take clients again.
    ///
    /// # Errors
    ///
    /// As [`ClusterMember::agree`].
    pub async fn drain(&self, on: bool, who: &str, within: Duration) -> Result<(), CommitError> {
        self.agree(
            None,
            who,
            shared_config::drain(&self.id.to_string(), on, who),
            within,
        )
        .await
        .map(|_| ())
    }

    /// The figures, in the text format of Prometheus.
    #[must_use]
    pub fn figures(&self) -> String {
        let figures = MemberFigures {
            status: self.status(),
            routes: self.is_open(),
            turned_away: self.state.turned_away(),
            dropped: self.cluster.transport().dropped_messages(),
            traffic: self.cluster.transport().traffic(),
            subscribers: self
                .observer
                .as_ref()
                .map(|observer| observer.subscribers()),
            fleet: self.fleet_progress(),
            last_in_force: self.last_in_force(),
        };
        figures.text()
    }

    /// Notices that the fence was shut or opened.
    fn look(&self) {
        let Some(parts) = self.state.parts() else {
            return;
        };
        let shut = !self.is_open();
        if shut {
            parts.dispatch.shut();
        }
        if self.shut.replace(shut) != shut {
            parts.door.fence(shut);
            let ReplicaStatus {
                term,
                leader,
                freshness,
                ..
            } = self.status();
            let leader = leader.map_or("none".to_owned(), |l| l.to_string());
            let age = freshness
                .err()
                .and_then(|stale| stale.age)
                .map_or("unknown".to_owned(), |a| (a / 1000).to_string());
            match (shut, self.cluster.stop_reason()) {
                (true, Some(why)) => log::line(format_args!(
                    "cluster reason=disk sends nothing more: {why}"
                )),
                (true, None) => log::line(format_args!(
                    "cluster reason=stale sends nothing: age_ms={age} term={term} leader={leader}"
                )),
                (false, _) => log::line(format_args!(
                    "cluster sends again: term={term} leader={leader}"
                )),
            }
        }
    }
}

async fn look(of: Weak<ClusterMember>) {
    let (mut leader, mut lost) = (None, false);
    while let Some(daemon) = of.upgrade() {
        daemon.look();
        let status = daemon.status();
        if leader != status.leader && status.leader.is_some() {
            leader = status.leader;
            let (term, id) = (status.term, leader.unwrap_or_default());
            log::line(format_args!("cluster leader={id} term={term}"));
        }
        if let Some(why) = daemon
            .cluster
            .stop_reason()
            .filter(|_| !std::mem::replace(&mut lost, true))
        {
            log::line(format_args!("cluster reason=disk member stopped: {why}"));
        }
        drop(daemon);
        Timer::after(LOOK).await;
    }
}

/// Keeps this member's record, and as the leader the engine list.
async fn keep(of: Weak<ClusterMember>) {
    let mut told = false;
    while let Some(daemon) = of.upgrade() {
        if daemon.is_open() {
            let given = &daemon.given;
            let record = MemberAddress {
                listen: given.listen,
                api: given.api,
                born: Some(daemon.cluster.disk_id()),
            };
            let txn = daemon
                .cluster
                .store(|s| shared_config::member(s, daemon.id, &record));
            if let Some(txn) = txn {
                let held = daemon.agree(None, "member", txn, WITHIN).await;
                if held.is_ok_and(|(_, held)| !held) && !std::mem::replace(&mut told, true) {
                    log::line("cluster reason=id another disk goes by this member's id");
                }
            }
            let leads = daemon.status().role == Role::Leader;
            let list = daemon.state.parts().filter(|_| leads).and_then(|parts| {
                // Looked at before it is copied: it seldom changes.
                let last = parts.place.last()?;
                let newer = daemon
                    .cluster
                    .store(shared_config::list_last)
                    .is_none_or(|kept| kept < last);
                parts.place.held().filter(|_| newer)
            });
            if let Some((last, engines)) = list {
                let list = EngineListSnapshot { last, engines };
                while let Some(txn) = daemon.cluster.store(|s| shared_config::keep_list(s, &list)) {
                    if !daemon
                        .agree(None, "bus", txn, WITHIN)
                        .await
                        .is_ok_and(|(_, held)| held)
                    {
                        break;
                    }
                }
            }
        }
        drop(daemon);
        Timer::after(KEEP).await;
    }
}
