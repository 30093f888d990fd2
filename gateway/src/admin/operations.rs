//! What operators' calls do: the one place that reaches the program's parts for management.

use std::cell::RefCell;
use std::future::ready;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use violetgate_policy::interface::Micros;

use super::{OperationOutcome, Operations, PendingOperation};
use crate::clock::{micros, Clock};
use crate::cordon_file::{Cordon, CordonFile, EngineNames};
use crate::discovery::{DiscoverySource, EngineIds};
use crate::dispatch::Dispatch;
use crate::drain::DrainState;
use crate::fleet::FleetMembership;
use crate::log;
use crate::metrics::catalog::event_bus;
use crate::metrics::text::MetricsText;
use crate::replication::{CommitError, Participant};
use crate::rest::RestFrontend;
use crate::stats::Stats;

/// How long an event bus that does not answer delays readiness; engines are known from the
/// configuration all the same.
const BUS_WAIT: Duration = Duration::from_secs(1);
/// How often the cordon file is read: calls to the process beside this one are in force here, too.
const CORDON_FILE_INTERVAL: Duration = Duration::from_millis(50);
/// How long a call that has to be committed may take.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(900);
/// Who requested what is called for here, in the change log.
const OPERATOR: &str = "management";

/// The parts of the program that operators' calls reach.
pub struct OperationTargets {
    /// Where the event bus is, and whether it has said anything.
    pub discovery: Rc<DiscoverySource>,
    /// Engine ids by name.
    pub engine_ids: Rc<EngineIds>,
    /// The decisions.
    pub dispatch: Rc<Dispatch>,
    /// Whether clients are let in.
    pub drain: Rc<DrainState>,
    /// The request metrics.
    pub stats: Rc<Stats>,
    /// The REST front end, if there is one.
    pub rest: Option<Rc<RestFrontend>>,
    /// The stored cordons.
    pub cordon_file: CordonFile,
    /// This instance's part in a cluster, if it has one.
    pub cluster: Option<Participant>,
    /// The fleet that this gateway belongs to, if it does to one.
    pub fleet: Option<Rc<FleetMembership>>,
}

/// The operations of a gateway.
pub struct GatewayOperations {
    clock: Clock,
    started_at: Micros,
    targets: OperationTargets,
    /// Engines that are cordoned, as far as this process has carried it out.
    cordons: RefCell<EngineNames>,
}

impl GatewayOperations {
    /// Creates the operations, and cordons the engines that were cordoned before. The clients'
    /// address has to be bound by now, and the initial engine list known.
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

    /// Carries out, for ever, what another process of this gateway was called for. The shared
    /// configuration of a cluster arrives another way.
    pub async fn follow_cordon_file(&self) {
        if self.targets.cluster.is_some() {
            return;
        }
        let mut is_corrupt = false;
        loop {
            Timer::after(CORDON_FILE_INTERVAL).await;
            let was_corrupt = std::mem::replace(&mut is_corrupt, !self.load_cordons());
            // Logged once: a file that remains corrupt would fill the log.
            if is_corrupt && !was_corrupt {
                log::write_line("cordons can't be read; those in force here stay");
            }
        }
    }

    /// Carries out what the cordon file holds. False: it can't be read.
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
            Cordon::Add
        } else {
            Cordon::Remove
        };
        let known = self.cordons.borrow().clone();
        let names = self.targets.cordon_file.update(&known, engine, change);
        self.apply_cordons(names);
        OperationOutcome::Done
    }

    /// Metrics of the event bus, which are shown beside those of a cluster or a fleet.
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
            ..
        } = &self.targets;
        let mut out = stats.render(dispatch.engine_counts());
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

fn outcome_of(committed: Result<(), CommitError>) -> OperationOutcome {
    match committed {
        Ok(()) => OperationOutcome::Done,
        Err(CommitError::NotAMember) => OperationOutcome::NotAMember,
        Err(_) => OperationOutcome::OutcomeUnknown,
    }
}
