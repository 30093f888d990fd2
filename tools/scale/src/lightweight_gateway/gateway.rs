//! One lightweight gateway: the parts that `violetgate serve` combines, without client and engine
//! connections.

use std::cell::RefCell;
use std::future::pending;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};

use async_executor::{LocalExecutor, Task};
use violetgate::control::{
    Attempt, CancelOutcome, Clock, ClusterSubscriber, Config, ControlTargets, DiscoveryClient,
    DiscoverySource, Dispatch, EngineIds, Fence, FleetMembership, ListRetention, ListedEngine,
    Overrides, UpstreamEngines,
};
use violetgate::settings::{self, Settings};
use violetgate_memory_budget::MemoryBudget;
use violetgate_policy::interface::{EngineId, ListScope, QueryId};
use violetgate_raft::NodeId;
use violetgate_replicated_state::{Micros, Revision};

use super::change_sequence::{ChangeSequence, SequenceChecker, SequenceFaults};
use super::protocol::Traffic;
use super::{LightweightGatewayError, Part};

/// The memory budget of a gateway that serves no clients.
const MEMORY_BYTES: usize = 1_000_000;

/// The inputs from which all gateways of a process are created.
pub struct GatewayTemplate {
    /// The platform's configuration, as text.
    pub config: String,
    /// The operators' settings.
    pub settings: Settings,
    /// The parts that each gateway runs.
    pub parts: Vec<Part>,
    /// The clock that all gateways of the process share.
    pub clock: Clock,
    /// The seed of random numbers; each gateway adds its index.
    pub seed: u64,
}

impl GatewayTemplate {
    /// Returns how long a gateway may route on state after the state was confirmed, in
    /// microseconds.
    #[must_use]
    pub fn drain_limit(&self) -> Micros {
        let cluster = self.settings.cluster.clone().unwrap_or_default();
        Micros::try_from(cluster.drain_limit.0.as_micros()).unwrap_or(Micros::MAX)
    }

    fn runs(&self, part: Part) -> bool {
        self.parts.contains(&part)
    }

    /// Returns the configuration of one gateway, which has its own name.
    fn config_of(&self, index: usize, name: &str) -> Result<Config, LightweightGatewayError> {
        let overrides = Overrides {
            name: Some(name.to_owned()),
            ..Overrides::default()
        };
        Config::parse(&self.config, overrides)
            .map_err(|cause| LightweightGatewayError::Config { index, cause })
    }

    /// Returns the `cluster` block of one gateway, which subscribes under its own name.
    fn cluster_settings_of(
        &self,
        name: &str,
    ) -> Result<settings::Cluster, LightweightGatewayError> {
        let cluster = self.settings.cluster.clone();
        let mut cluster = cluster.ok_or(LightweightGatewayError::Missing {
            block: "cluster",
            part: "subscription",
        })?;
        name.clone_into(&mut cluster.front_end);
        Ok(cluster)
    }

    /// Returns the `fleet` block of one gateway, which has its own name and port.
    fn fleet_settings_of(
        &self,
        index: usize,
        name: &str,
    ) -> Result<settings::Fleet, LightweightGatewayError> {
        let fleet = self.settings.fleet.clone();
        let mut fleet = fleet.ok_or(LightweightGatewayError::Missing {
            block: "fleet",
            part: "membership",
        })?;
        let port = usize::from(fleet.listen.port()).saturating_add(index);
        let port =
            u16::try_from(port).map_err(|_| LightweightGatewayError::Port { index, port })?;
        fleet.listen = SocketAddr::new(fleet.listen.ip(), port);
        fleet.address = fleet.listen;
        name.clone_into(&mut fleet.member);
        Ok(fleet)
    }
}

/// The upstream side of a gateway without engine connections. It sends nothing.
struct NoEngines;

impl UpstreamEngines for NoEngines {
    fn send(&self, _: Attempt) {}

    fn cancel(&self, _: QueryId) -> CancelOutcome {
        CancelOutcome::NeverSent
    }

    fn recall_unsent(&self, _: QueryId) -> bool {
        true
    }

    fn set_priority(&self, _: QueryId, _: u8) {}

    fn set_cordoned(&self, _: EngineId, _: bool) {}

    fn update_list(&self, _: ListScope, _: &[ListedEngine]) {}
}

/// The fence of a gateway, which decides whether anything may be sent to engines. It checks before
/// every send that the subscription's gate is open, which means that the subscription allows
/// sending. It holds a weak reference, as a strong one would keep the subscription alive after its
/// gateway is dropped.
struct SubscriptionFence(Weak<ClusterSubscriber>);

impl SubscriptionFence {
    fn before(subscriber: &Rc<ClusterSubscriber>) -> Rc<dyn Fence> {
        Rc::new(SubscriptionFence(Rc::downgrade(subscriber)))
    }
}

impl Fence for SubscriptionFence {
    fn is_open(&self) -> bool {
        let subscriber = self.0.upgrade();
        subscriber.is_some_and(|subscriber| subscriber.is_open())
    }
}

/// A running gateway. Dropping it closes its sockets without notice to others, as killing a process
/// does.
pub struct LightweightGateway {
    driver: Option<Task<()>>,
    subscriber: Option<Rc<ClusterSubscriber>>,
    sequence_checker: Rc<RefCell<SequenceChecker>>,
    discovery: Rc<DiscoverySource>,
    fleet: Option<FleetMembership>,
    _dispatch: Rc<Dispatch>,
    _executor: Rc<LocalExecutor<'static>>,
}

impl Drop for LightweightGateway {
    fn drop(&mut self) {
        // Cancels the task that runs the executor, so that no task runs while the parts are
        // dropped.
        self.driver.take();
    }
}

impl LightweightGateway {
    /// Starts a gateway. It has an executor of its own, as a real gateway does, which runs as one
    /// task of the process's executor. `index` is the gateway's number in the fleet run.
    ///
    /// # Errors
    ///
    /// Returns an error if the template is not valid for this gateway, or if a part can't listen on
    /// its address.
    pub fn start(
        process: &LocalExecutor<'static>,
        template: &GatewayTemplate,
        index: usize,
    ) -> Result<Self, LightweightGatewayError> {
        let executor = Rc::new(LocalExecutor::new());
        let name = format!("hollow-{index}");
        let mut config = template.config_of(index, &name)?;
        let seed = template.seed.wrapping_add(index as u64);
        let subscriber = subscribe(template, &executor, &name, seed)?;
        let gateways = config.settings.gateways.unwrap_or(1);
        let settings = std::mem::take(&mut config.settings);
        let fence = subscriber.as_ref().map(SubscriptionFence::before);
        let engines = Rc::new(NoEngines);
        let memory = MemoryBudget::new(MEMORY_BYTES);
        let dispatch = Dispatch::new(template.clock, settings, seed, engines, &memory, fence);
        let fleet = if template.runs(Part::Membership) {
            let settings = template.fleet_settings_of(index, &name)?;
            let clock = template.clock;
            let fleet =
                FleetMembership::start(&executor, &settings, clock, seed, gateways, &dispatch);
            Some(fleet.map_err(|cause| LightweightGatewayError::Fleet { index, cause })?)
        } else {
            None
        };
        let engine_ids = Rc::new(EngineIds::default());
        let discovery = discover_engines(template, &executor, config, &engine_ids, &dispatch);
        if template.runs(Part::Decisions) {
            let timers = Rc::clone(&dispatch);
            executor
                .spawn(async move { timers.run_timers().await })
                .detach();
        }
        let sequence_checker = Rc::new(RefCell::new(SequenceChecker::default()));
        if let Some(subscriber) = &subscriber {
            let targets = ControlTargets {
                clock: template.clock,
                dispatch: Rc::clone(&dispatch),
                drain: Rc::default(),
                engine_ids,
                discovery: Rc::clone(&discovery),
                rest: None,
            };
            subscriber.attach(&executor, targets);
            check_applied_changes(subscriber, &sequence_checker);
        }
        let own = Rc::clone(&executor);
        let driver = process.spawn(async move { own.run(pending::<()>()).await });
        Ok(LightweightGateway {
            driver: Some(driver),
            subscriber,
            sequence_checker,
            discovery,
            fleet,
            _dispatch: dispatch,
            _executor: executor,
        })
    }

    /// Returns the bytes that each part has sent and received so far.
    #[must_use]
    pub fn traffic(&self) -> Traffic {
        let subscriber = self.subscriber.as_ref();
        let subscription = subscriber.map_or(0, |subscriber| {
            let traffic = subscriber.subscription().traffic();
            traffic.bytes_sent + traffic.bytes_received
        });
        let bus = self.discovery.traffic();
        let membership = self.fleet.as_ref().map(FleetMembership::traffic);
        let membership = membership.unwrap_or_default();
        Traffic {
            subscription,
            bus: bus.sent_bytes + bus.received_bytes,
            membership: membership.sent_bytes + membership.received_bytes,
        }
    }

    /// Returns whether the gateway's gate is open, so that it may route.
    #[must_use]
    pub fn is_open(&self) -> bool {
        let subscriber = self.subscriber.as_ref();
        subscriber.is_none_or(|subscriber| subscriber.is_open())
    }

    /// Returns the revision of the state that the gateway routes on.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.sequence_checker.borrow().revision()
    }

    /// Returns the changes that the gateway has applied.
    #[must_use]
    pub fn sequence(&self) -> ChangeSequence {
        self.sequence_checker.borrow().sequence()
    }

    /// Returns the faults that were found in the applied changes.
    #[must_use]
    pub fn faults(&self) -> SequenceFaults {
        self.sequence_checker.borrow().faults()
    }

    /// Returns the observer whose state the gateway follows.
    #[must_use]
    pub fn watched_observer(&self) -> Option<NodeId> {
        self.subscriber.as_ref()?.status().watched
    }

    /// Returns whether the gateway has received anything from the event bus.
    #[must_use]
    pub fn has_bus_events(&self) -> bool {
        self.discovery.has_received()
    }

    /// Returns the fleet size in use at the gateway, or `None` without membership.
    #[must_use]
    pub fn fleet_size(&self) -> Option<u32> {
        self.fleet.as_ref().map(FleetMembership::fleet_size)
    }
}

/// Starts the subscription to replicated state, if the template includes it.
fn subscribe(
    template: &GatewayTemplate,
    executor: &Rc<LocalExecutor<'static>>,
    name: &str,
    seed: u64,
) -> Result<Option<Rc<ClusterSubscriber>>, LightweightGatewayError> {
    if !template.runs(Part::Subscription) {
        return Ok(None);
    }
    let cluster = template.cluster_settings_of(name)?;
    let subscriber = ClusterSubscriber::start(executor, &template.settings, &cluster, seed)?;
    Ok(Some(subscriber))
}

/// Loads the engines of the configuration, and starts the client of the event bus if the template
/// includes it.
fn discover_engines(
    template: &GatewayTemplate,
    executor: &Rc<LocalExecutor<'static>>,
    config: Config,
    engine_ids: &Rc<EngineIds>,
    dispatch: &Rc<Dispatch>,
) -> Rc<DiscoverySource> {
    let discovery = Rc::new(DiscoverySource::new(config.bus, ListRetention::Discard));
    let mut client = DiscoveryClient::new(
        config.names,
        Rc::clone(engine_ids),
        Rc::clone(&discovery),
        MemoryBudget::new(MEMORY_BYTES),
    );
    let updated = template.runs(Part::Decisions).then(|| Rc::clone(dispatch));
    let mut on_update = move |scope: ListScope, engines: &[ListedEngine]| {
        if let Some(dispatch) = &updated {
            dispatch.update_engines(scope, engines);
        }
    };
    let now = template.clock.now();
    client.load_initial(now, config.initial_events, &mut on_update);
    if template.runs(Part::Bus) {
        executor
            .spawn(async move { client.follow(&mut on_update).await })
            .detach();
    }
    discovery
}

/// Registers the check of changes, which runs whenever the subscription has applied state.
fn check_applied_changes(
    subscriber: &ClusterSubscriber,
    sequence_checker: &Rc<RefCell<SequenceChecker>>,
) {
    let checker = Rc::clone(sequence_checker);
    let on_applied = Rc::new(move |replica: &_| checker.borrow_mut().on_applied(replica));
    subscriber.subscription().on_applied(on_applied);
}
