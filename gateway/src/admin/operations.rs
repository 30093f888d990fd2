//! Carries out operators' calls. Only this module connects the management API with the other parts
//! of the gateway.

use std::cell::RefCell;
use std::future::ready;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use violetgate_memory_budget::{MemoryBudget, Purpose};
use violetgate_policy::interface::Micros;

use super::{OperationOutcome, Operations, PendingOperation};
use crate::clock::{micros, Clock};
use crate::cordon_file::{CordonChange, CordonFile, EngineNames};
use crate::discovery::{DiscoverySource, EngineIds};
use crate::dispatch::Dispatch;
use crate::drain::DrainState;
use crate::fleet::FleetMembership;
use crate::log;
use crate::metrics::catalog::{event_bus, memory};
use crate::metrics::text::MetricsText;
use crate::replication::{CommitError, Participant};
use crate::rest::RestFrontend;
use crate::stats::Stats;

/// The gateway reports itself as healthy after the first message of the event bus, or after this
/// time without one: the engines of the configuration are known even then.
const BUS_WAIT: Duration = Duration::from_secs(1);
/// How often the cordon file is read. The processes of one gateway share it, so that a call to one
/// of them takes effect in all.
const CORDON_FILE_INTERVAL: Duration = Duration::from_millis(50);
/// The time within which a change has to be committed to the cluster.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(900);
/// The operator name under which changes by management calls appear in the cluster's change log.
const OPERATOR: &str = "management";
/// The name of the label whose value is the purpose of memory.
const PURPOSE_LABEL: &str = "purpose";

/// The parts of the gateway that operators' calls read and change.
pub struct OperationTargets {
    /// The connection to the event bus.
    pub discovery: Rc<DiscoverySource>,
    /// The engine ids by name.
    pub engine_ids: Rc<EngineIds>,
    /// The dispatcher, which applies cordons.
    pub dispatch: Rc<Dispatch>,
    /// The drain state of this process.
    pub drain: Rc<DrainState>,
    /// The request metrics.
    pub stats: Rc<Stats>,
    /// The REST front end, if it is configured.
    pub rest: Option<Rc<RestFrontend>>,
    /// The file that stores the cordons of a gateway outside a cluster.
    pub cordon_file: CordonFile,
    /// This instance's role in a cluster, if it takes part in one.
    pub cluster: Option<Participant>,
    /// The membership of a fleet, if the gateway belongs to one.
    pub fleet: Option<Rc<FleetMembership>>,
    /// The limit of the memory that peers can make this process hold.
    pub memory: MemoryBudget,
}

/// The [`Operations`] of a gateway.
pub struct GatewayOperations {
    clock: Clock,
    started_at: Micros,
    targets: OperationTargets,
    /// The names of the engines that this process has cordoned from the cordon file.
    cordons: RefCell<EngineNames>,
}

impl GatewayOperations {
    /// Creates the operations and cordons the engines in the cordon file. Must be called after the
    /// client address is bound and the initial engine list is known.
    #[must_use]
    pub fn new(clock: Clock, targets: OperationTargets) -> Rc<Self> {
        let operations = GatewayOperations {
            clock,
            started_at: clock.now(),
            targets,
            cordons: RefCell::default(),
        };
        if operations.targets.cluster.is_none() {
            operations.load_cordons();
        }
        Rc::new(operations)
    }

    /// Applies changes of the cordon file that other processes of this gateway make. Runs forever,
    /// but returns at once in a cluster, whose cordons are part of the shared configuration.
    pub async fn follow_cordon_file(&self) {
        if self.targets.cluster.is_some() {
            return;
        }
        let mut is_corrupt = false;
        loop {
            Timer::after(CORDON_FILE_INTERVAL).await;
            let was_corrupt = std::mem::replace(&mut is_corrupt, !self.load_cordons());
            // Logged only when the failure begins, because a file that remains unreadable would
            // fill the log.
            if is_corrupt && !was_corrupt {
                log::write_line("cordons can't be read; those in force here stay");
            }
        }
    }

    /// Applies the cordons of the cordon file. Returns false if the file can't be read.
    fn load_cordons(&self) -> bool {
        let stored = self.targets.cordon_file.load();
        if let Ok(Some(names)) = &stored {
            self.apply_cordons(names.clone());
        }
        stored.is_ok()
    }

    fn apply_cordons(&self, names: EngineNames) {
        let before = self.cordons.replace(names.clone());
        for name in before.symmetric_difference(&names) {
            let cordoned = names.contains(name);
            log::engine_cordoned(name, cordoned);
            let engine = self.targets.engine_ids.id_of(name);
            self.targets.dispatch.set_cordoned(engine, cordoned);
        }
    }

    fn set_local_cordon(&self, engine: &str, cordoned: bool) -> OperationOutcome {
        if !self.targets.engine_ids.is_known(engine) {
            return OperationOutcome::UnknownEngine;
        }
        let change = if cordoned {
            CordonChange::Add
        } else {
            CordonChange::Remove
        };
        let known = self.cordons.borrow().clone();
        let names = self.targets.cordon_file.update(&known, engine, change);
        self.apply_cordons(names);
        OperationOutcome::Done
    }

    /// Returns the traffic metrics of the event bus, shown only in a cluster or a fleet.
    fn discovery_metrics(&self) -> String {
        let traffic = self.targets.discovery.traffic();
        let mut out = MetricsText::new();
        out.write_value(&event_bus::SENT_BYTES, traffic.sent_bytes);
        out.write_value(&event_bus::RECEIVED_BYTES, traffic.received_bytes);
        out.into_string()
    }
}

impl Operations for GatewayOperations {
    fn is_healthy(&self) -> bool {
        let is_bus_overdue = self.clock.now() >= self.started_at + micros(BUS_WAIT);
        let cluster = self.targets.cluster.as_ref();
        (self.targets.discovery.has_received() || is_bus_overdue)
            && cluster.is_none_or(|participant| participant.is_open())
    }

    fn metrics(&self) -> String {
        let OperationTargets {
            stats,
            dispatch,
            rest,
            cluster,
            fleet,
            memory,
            ..
        } = &self.targets;
        let mut out = stats.render(dispatch.engine_counts());
        out += &memory_metrics(memory);
        if cluster.is_some() || fleet.is_some() {
            out += &self.discovery_metrics();
        }
        out += &rest.as_ref().map(|rest| rest.metrics()).unwrap_or_default();
        out += &cluster
            .as_ref()
            .map(Participant::metrics)
            .unwrap_or_default();
        out += &fleet
            .as_ref()
            .map(|fleet| fleet.metrics())
            .unwrap_or_default();
        out
    }

    fn set_cordon<'a>(&'a self, engine: &'a str, cordoned: bool) -> PendingOperation<'a> {
        let Some(participant) = &self.targets.cluster else {
            return Box::pin(ready(self.set_local_cordon(engine, cordoned)));
        };
        Box::pin(async move {
            if !self.targets.engine_ids.is_known(engine) {
                return OperationOutcome::UnknownEngine;
            }
            let committed = participant.set_cordon(engine, cordoned, OPERATOR, COMMIT_TIMEOUT);
            outcome_of(committed.await)
        })
    }

    fn set_drain(&self, drained: bool) -> PendingOperation<'_> {
        let Some(participant) = &self.targets.cluster else {
            if drained {
                self.targets.drain.start_draining(self.clock.now());
            } else {
                self.targets.drain.stop_draining();
            }
            return Box::pin(ready(OperationOutcome::Done));
        };
        Box::pin(async move {
            outcome_of(
                participant
                    .set_drain(drained, OPERATOR, COMMIT_TIMEOUT)
                    .await,
            )
        })
    }
}

/// Returns the metrics of the memory that is held for peers.
fn memory_metrics(memory: &MemoryBudget) -> String {
    let counts = memory.counts();
    let by_purpose = Purpose::ALL.map(|purpose| (purpose.name(), memory.used_for(purpose) as u64));
    let mut out = MetricsText::new();
    out.write_value(&memory::LIMIT_BYTES, memory.limit() as u64);
    out.write_by_label(
        &memory::CHARGED_BYTES,
        PURPOSE_LABEL,
        by_purpose.into_iter(),
    );
    out.write_value(&memory::CHARGES_REJECTED, counts.rejected);
    out.write_value(&memory::CONNECTIONS_RECLAIMED, counts.reclaimed);
    out.into_string()
}

fn outcome_of(committed: Result<(), CommitError>) -> OperationOutcome {
    match committed {
        Ok(()) => OperationOutcome::Done,
        Err(CommitError::NotAMember) => OperationOutcome::NotAMember,
        Err(_) => OperationOutcome::OutcomeUnknown,
    }
}
