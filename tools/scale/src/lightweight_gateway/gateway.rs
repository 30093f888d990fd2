//! One lightweight gateway: the parts that `serve` puts together, without client and engine
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
use violetgate_policy::interface::{EngineId, ListScope, QueryId};
use violetgate_raft::NodeId;
use violetgate_replicated_state::{Micros, Revision};

use super::change_sequence::{ChangeSequence, SequenceChecker, SequenceFaults};
use super::protocol::Traffic;
use super::{LightweightGatewayError, Part};

/// What all gateways of a process are made from.
pub struct GatewayTemplate {
    /// The platform's configuration, as text.
    pub config: String,
    /// The operators' settings.
    pub settings: Settings,
    /// The parts that run.
    pub parts: Vec<Part>,
    /// The clock of the process.
    pub clock: Clock,
    /// The seed of random numbers; each gateway adds its number.
    pub seed: u64,
}

impl GatewayTemplate {
    /// How long state may be routed on after it was confirmed.
    #[must_use]
    pub fn drain_limit(&self) -> Micros {
        let cluster = self.settings.cluster.clone().unwrap_or_default();
        Micros::try_from(cluster.drain_limit.0.as_micros()).unwrap_or(Micros::MAX)
    }

    fn runs(&self, part: Part) -> bool {
        self.parts.contains(&part)
    }

    /// The configuration of one gateway.
    fn config_of(&self, index: usize, name: &str) -> Result<Config, LightweightGatewayError> {
        let overrides = Overrides {
            name: Some(name.to_owned()),
            ..Overrides::default()
        };
        Config::parse(&self.config, overrides)
            .map_err(|cause| LightweightGatewayError::Config { index, cause })
    }

    /// The `cluster` block of one gateway, which subscribes under its own name.
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

    /// The `fleet` block of one gateway, which has a name and a port of its own.
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

/// The upstream side of a gateway that has no engine connections: nothing is ever sent.
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

/// Checks the subscription before every send. It holds no strong reference, so that a gateway that
/// is dropped ends.
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

/// A gateway that runs. Dropping it closes its sockets without a farewell, as a kill does.
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
        // No task runs any more before the parts are dropped.
        self.driver.take();
    }
}

impl LightweightGateway {
    /// Starts a gateway on an executor of its own, as a process has one, which runs on that of the
    /// process; `index` is the gateway's number in the fleet run.
    ///
    /// # Errors
    ///
    /// The template can't be used, or a part can't have its address.
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
        let dispatch = Dispatch::new(template.clock, settings, seed, Rc::new(NoEngines), fence);
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

    /// Bytes sent and received so far.
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

    /// Whether its gate is open: it may route.
    #[must_use]
    pub fn is_open(&self) -> bool {
        let subscriber = self.subscriber.as_ref();
        subscriber.is_none_or(|subscriber| subscriber.is_open())
    }

    /// The revision of the state that it routes on.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.sequence_checker.borrow().revision()
    }

    /// The changes that it has applied.
    #[must_use]
    pub fn sequence(&self) -> ChangeSequence {
        self.sequence_checker.borrow().sequence()
    }

    /// What went wrong with changes.
    #[must_use]
    pub fn faults(&self) -> SequenceFaults {
        self.sequence_checker.borrow().faults()
    }

    /// The observer that it watches.
    #[must_use]
    pub fn watched_observer(&self) -> Option<NodeId> {
        self.subscriber.as_ref()?.status().watched
    }

    /// Whether the event bus has sent it anything.
    #[must_use]
    pub fn has_bus_events(&self) -> bool {
        self.discovery.has_received()
    }

    /// How many gateways it takes the fleet to have.
    #[must_use]
    pub fn fleet_size(&self) -> Option<u32> {
        self.fleet.as_ref().map(FleetMembership::fleet_size)
    }
}

/// Starts the subscription to replicated state, if it runs.
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

/// Starts the client of the event bus, if it runs; without it the engines of the configuration
/// stay.
fn discover_engines(
    template: &GatewayTemplate,
    executor: &Rc<LocalExecutor<'static>>,
    config: Config,
    engine_ids: &Rc<EngineIds>,
    dispatch: &Rc<Dispatch>,
) -> Rc<DiscoverySource> {
    let discovery = Rc::new(DiscoverySource::new(config.bus, ListRetention::Discard));
    let mut client =
        DiscoveryClient::new(config.names, Rc::clone(engine_ids), Rc::clone(&discovery));
    let updated = template.runs(Part::Decisions).then(|| Rc::clone(dispatch));
    let mut on_update = move |scope: ListScope, engines: &[ListedEngine]| {
        if let Some(dispatch) = &updated {
            dispatch.update_engines(scope, engines);
        }
    };
    let initial = config.initial_events;
    client.load_initial(initial.last_offset, initial.events, &mut on_update);
    if template.runs(Part::Bus) {
        executor
            .spawn(async move { client.follow(&mut on_update).await })
            .detach();
    }
    discovery
}

/// Checks what is applied, at once when it is.
fn check_applied_changes(
    subscriber: &ClusterSubscriber,
    sequence_checker: &Rc<RefCell<SequenceChecker>>,
) {
    let checker = Rc::clone(sequence_checker);
    let on_applied = Rc::new(move |replica: &_| checker.borrow_mut().on_applied(replica));
    subscriber.subscription().on_applied(on_applied);
}
