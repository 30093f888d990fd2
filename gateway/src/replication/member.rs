//! The member role in a cluster: replicates the shared state and commits operators' changes.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use async_executor::LocalExecutor;
use violetgate_memory_budget::MemoryBudget;
use violetgate_raft::{Config, NodeId};
use violetgate_replica::{ReplicaConfig, Response};
use violetgate_replica_runtime::{
    Call, CallOutcome, FleetTotals, ObserverConfig, ObserverService, ReplicaOptions,
    ReplicaRuntime, ReplicaStatus, RevisionInForce,
};
use violetgate_replicated_state::{Operation, Outcome, Revision, Store, Txn};

use super::error::{ClusterStartError, CommitError};
use super::member_upkeep::{update_records, watch_fence, StoredListVersion};
use super::metrics::MemberMetrics;
use super::reconcile::{ControlTargets, MembersChange, Reconciler};
use super::shared_config::{self, SharedConfig};
use super::{display_or, MICROS_PER_MS};
use crate::clock::micros;
use crate::fence::Fence;
use crate::log;
use crate::settings::{self, Settings};

/// The result of a committed transaction or operation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Commit {
    /// The revision of the store after the commit.
    pub revision: Revision,
    /// Whether the conditions held. If not, the `otherwise` branch was applied.
    pub conditions_held: bool,
}

/// A member of a cluster, with its replica of the shared state.
pub struct ClusterMember {
    pub(super) runtime: Rc<ReplicaRuntime>,
    pub(super) id: NodeId,
    pub(super) reconciler: Reconciler,
    pub(super) settings_at_start: settings::Cluster,
    /// The service for subscribers, if this member is an observer.
    observer: Option<Rc<ObserverService>>,
    /// Whether the fence was closed when it was last checked.
    was_fenced: Cell<bool>,
    /// The engine list that this member has stored since it became leader, if any.
    pub(super) stored_list: Cell<Option<StoredListVersion>>,
    /// The shared configuration at the end of the log that was recovered at the start, until that
    /// log is applied. Before a leader is elected, it has the addresses of members that joined or
    /// moved after the latest snapshot.
    recovered_config: RefCell<Option<SharedConfig>>,
}

impl Fence for ClusterMember {
    fn is_open(&self) -> bool {
        self.runtime.may_route().is_ok()
    }
}

/// Generates an id for a request whose client sent none.
#[must_use]
pub fn new_request_id() -> String {
    let mut bytes = [0; 16];
    // Two requests with the same id would be treated as one. If the system provides no random
    // bytes, the time makes the ids differ.
    if getrandom::fill(&mut bytes).is_err() {
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        bytes = now.as_nanos().to_be_bytes();
    }
    format!("r-{:032x}", u128::from_be_bytes(bytes))
}

fn replica_options(
    settings: &settings::Cluster,
    seed: u64,
    memory: MemoryBudget,
) -> ReplicaOptions {
    let raft = Config {
        election_timeout: micros(settings.election_timeout.0),
        heartbeat_interval: micros(settings.heartbeat.0),
        ..Config::default()
    };
    let config = ReplicaConfig {
        raft,
        snapshot_interval: settings.snapshot_every,
        max_staleness: micros(settings.drain_limit.0),
        confirm_interval: micros(settings.confirm_every.0),
    };
    ReplicaOptions {
        cluster: settings.name.clone(),
        id: settings.id,
        folder: settings.folder.clone(),
        listen: settings.listen,
        members: settings.addresses(),
        config,
        seed,
        memory,
    }
}

/// Starts the service for subscribers if the settings make this member an observer.
fn start_observer(
    runtime: &Rc<ReplicaRuntime>,
    settings: &settings::Cluster,
) -> Result<Option<Rc<ObserverService>>, ClusterStartError> {
    let Some(listen) = settings.subscribers_listen() else {
        return Ok(None);
    };
    let config = ObserverConfig {
        capacity: settings.subscribers,
        ..ObserverConfig::default_for(&settings.name, settings.id)
    };
    Ok(Some(ObserverService::start(runtime, listen, config)?))
}

/// Reads the shared configuration at the end of the recovered log, if that log is not applied.
fn read_recovered_config(runtime: &ReplicaRuntime, instance: &str) -> Option<SharedConfig> {
    if runtime.has_applied_recovered_log() {
        return None;
    }
    Some(runtime.store_at_log_end(|store| SharedConfig::read(store, instance)))
}

impl ClusterMember {
    /// Opens the member's folder and starts its replica. The fence stays closed until the state is
    /// confirmed.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder or an address can't be used.
    pub fn start(
        executor: &Rc<LocalExecutor<'static>>,
        own_settings: &Settings,
        settings: &settings::Cluster,
        seed: u64,
        memory: MemoryBudget,
    ) -> Result<Rc<Self>, ClusterStartError> {
        let runtime = ReplicaRuntime::start(executor, &replica_options(settings, seed, memory))
            .map_err(ClusterStartError::of_member)?;
        let observer = start_observer(&runtime, settings)?;
        let instance = settings.id.to_string();
        let recovered_config = read_recovered_config(&runtime, &instance);
        Ok(Rc::new(ClusterMember {
            runtime,
            id: settings.id,
            reconciler: Reconciler::new(instance, own_settings),
            settings_at_start: settings.clone(),
            observer,
            was_fenced: Cell::new(true),
            stored_list: Cell::new(None),
            recovered_config: RefCell::new(recovered_config),
        }))
    }

    /// Connects the parts that the shared configuration controls, applies the committed
    /// configuration to them, and keeps applying its changes.
    pub fn attach(self: &Rc<Self>, executor: &Rc<LocalExecutor<'static>>, targets: ControlTargets) {
        self.reconciler.attach(targets);
        self.apply_members();
        let member = Rc::downgrade(self);
        // The configuration takes effect in the same step in which the replica applies an entry,
        // because the check for stale state, which controls the fence, treats the entry as in force
        // from then on.
        self.runtime.on_applied(Rc::new(move |store| {
            if let Some(member) = member.upgrade() {
                member.reconcile(store);
            }
        }));
        executor.spawn(watch_fence(Rc::downgrade(self))).detach();
        executor.spawn(update_records(Rc::downgrade(self))).detach();
    }

    fn reconcile(&self, store: &Store) {
        let members = self.reconciler.reconcile(store);
        if self.discard_recovered_config() || members == MembersChange::Changed {
            self.apply_members();
        }
    }

    /// Discards the configuration of the recovered log once that log is applied. Returns whether
    /// it was discarded now.
    fn discard_recovered_config(&self) -> bool {
        self.runtime.has_applied_recovered_log() && self.recovered_config.take().is_some()
    }

    /// Returns the shared configuration with the latest known addresses of the members.
    pub(super) fn config_with_members(&self) -> SharedConfig {
        let recovered = self.recovered_config.borrow().clone();
        recovered.unwrap_or_else(|| self.reconciler.config().clone())
    }

    fn apply_members(&self) {
        let config = self.config_with_members();
        let own_settings = self.reconciler.own_settings();
        let own = own_settings.cluster.as_ref();
        let own = own.unwrap_or(&self.settings_at_start).addresses();
        let transport = self.runtime.transport();
        transport.set_peers(&own);
        transport.set_recorded_addresses(config.addresses());
        transport.set_known_disks(config.disk_ids());
    }

    /// Returns the settings in force: this instance's own, overridden by the shared ones.
    #[must_use]
    pub fn settings(&self) -> Settings {
        self.reconciler.settings()
    }

    /// Applies this instance's own settings after they were reloaded.
    pub fn set_own_settings(&self, own: &Settings) {
        self.reconciler.set_own_settings(own);
        if self.reconciler.targets().is_some() {
            self.apply_members();
        }
    }

    /// Returns the progress of all subscribers, from the latest reports of the observers.
    #[must_use]
    pub fn fleet_progress(&self) -> FleetTotals {
        self.runtime.fleet_progress()
    }

    /// Returns the latest revision that was found in force at all serving gateways, and the time at
    /// which this was first found.
    #[must_use]
    pub fn last_in_force(&self) -> Option<RevisionInForce> {
        self.runtime.last_in_force()
    }

    /// Returns the state of the replica.
    #[must_use]
    pub fn status(&self) -> ReplicaStatus {
        self.runtime.status()
    }

    /// Commits a transaction. It is applied at most once for each request id; without an id, it
    /// gets a new one.
    ///
    /// # Errors
    ///
    /// Returns an error if the transaction was rejected, or if its outcome is unknown.
    pub async fn commit(
        &self,
        request_id: Option<String>,
        operator: &str,
        transaction: Txn,
        timeout: Duration,
    ) -> Result<Commit, CommitError> {
        let operation = Operation::Txn(transaction);
        self.propose(request_id, operator, operation, timeout).await
    }

    /// Commits an operation in the same way as [`ClusterMember::commit`] commits a transaction.
    ///
    /// # Errors
    ///
    /// Returns an error if the operation was rejected, or if its outcome is unknown.
    pub(super) async fn propose(
        &self,
        request_id: Option<String>,
        operator: &str,
        operation: Operation,
        timeout: Duration,
    ) -> Result<Commit, CommitError> {
        let call = Call::Propose {
            request_id: request_id.unwrap_or_else(new_request_id),
            actor: operator.to_owned(),
            operation,
        };
        match self.runtime.submit(call, timeout).await {
            CallOutcome::Completed(Response::Applied(Outcome::Applied {
                revision,
                conditions_held,
            })) => Ok(Commit {
                revision,
                conditions_held,
            }),
            CallOutcome::Completed(Response::Applied(Outcome::Rejected(error))) => {
                Err(CommitError::CommandRejected(error))
            }
            CallOutcome::Completed(Response::Rejected(error)) => {
                Err(CommitError::ProposalRejected(error))
            }
            _ => Err(CommitError::OutcomeUnknown),
        }
    }

    /// Cordons or uncordons an engine at all instances.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`ClusterMember::commit`].
    pub async fn set_cordon(
        &self,
        engine: &str,
        cordoned: bool,
        operator: &str,
        timeout: Duration,
    ) -> Result<(), CommitError> {
        let transaction = shared_config::set_cordon(engine, cordoned, operator);
        let commit = self.commit(None, operator, transaction, timeout);
        commit.await.map(|_| ())
    }

    /// Drains this instance, or ends its drain.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`ClusterMember::commit`].
    pub async fn set_drain(
        &self,
        drained: bool,
        operator: &str,
        timeout: Duration,
    ) -> Result<(), CommitError> {
        let transaction = shared_config::set_drain(&self.id.to_string(), drained, operator);
        let commit = self.commit(None, operator, transaction, timeout);
        commit.await.map(|_| ())
    }

    /// Returns the metrics of the member in the Prometheus text format.
    #[must_use]
    pub fn metrics(&self) -> String {
        let transport = self.runtime.transport();
        let observer = self.observer.as_ref();
        let metrics = MemberMetrics {
            status: self.status(),
            may_route: self.is_open(),
            fenced: self.reconciler.fenced_count(),
            dropped_messages: transport.dropped_messages(),
            traffic: transport.traffic(),
            subscribers: observer.map(|observer| observer.subscribers()),
            fleet: self.fleet_progress(),
            last_in_force: self.last_in_force(),
        };
        metrics.render()
    }

    /// Rejects queued requests while the fence is closed. If the fence has opened or closed since
    /// the last check, updates the drain state and logs it.
    pub(super) fn check_fence(&self) {
        let Some(targets) = self.reconciler.targets() else {
            return;
        };
        let is_fenced = !self.is_open();
        if is_fenced {
            targets.dispatch.reject_queued();
        }
        if self.was_fenced.replace(is_fenced) != is_fenced {
            targets.drain.set_fenced(is_fenced);
            self.log_fence(is_fenced);
        }
    }

    fn log_fence(&self, is_fenced: bool) {
        let status = self.status();
        let (term, leader) = (status.term, display_or(status.leader, "none"));
        if !is_fenced {
            return log::write_line(format_args!(
                "cluster fence is open: term={term} leader={leader}"
            ));
        }
        if let Some(reason) = self.runtime.stop_reason() {
            return log::write_line(format_args!(
                "cluster reason=disk fence is shut for good: {reason}"
            ));
        }
        let age = status.freshness.err().and_then(|stale| stale.age);
        let age_ms = display_or(age.map(|age| age / MICROS_PER_MS), "unknown");
        log::write_line(format_args!(
            "cluster reason=stale fence is shut: age_ms={age_ms} term={term} leader={leader}"
        ));
    }
}
