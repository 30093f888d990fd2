//! One hollow front end: the parts that `serve` puts together, on an executor of its own, as a process has one. Dropping
//! it ends its sockets without a farewell, as a kill does.

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

use super::changes::{Faults, SeenChanges, Sequence};
use super::process::Part;
use super::report::Traffic;
use super::HollowError;

/// What all front ends of a process are made from.
pub struct Template {
    /// The platform's configuration, as text.
    pub config: String,
    /// The operators' settings.
    pub settings: Settings,
    /// The parts that run.
    pub parts: Vec<Part>,
    /// The clock of the process.
    pub clock: Clock,
    /// Where random numbers begin.
    pub seed: u64,
}

impl Template {
    /// How long state may be routed on after it was confirmed.
    #[must_use]
    pub fn drain_limit(&self) -> Micros {
        let cluster = self.settings.cluster.clone().unwrap_or_default();
        Micros::try_from(cluster.drain_limit.0.as_micros()).unwrap_or(Micros::MAX)
    }

    fn runs(&self, part: Part) -> bool {
        self.parts.contains(&part)
    }
}

/// The engine side of a front end that has no engine connections: nothing is ever sent.
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

/// Asks the subscription before every send. It does not keep it: a front end that is dropped has to end.
struct SubscriptionFence(Weak<ClusterSubscriber>);

impl Fence for SubscriptionFence {
    fn is_open(&self) -> bool {
        self.0
            .upgrade()
            .is_some_and(|subscribed| subscribed.is_open())
    }
}

/// A front end that runs.
pub struct FrontEnd {
    driver: Option<Task<()>>,
    subscribed: Option<Rc<ClusterSubscriber>>,
    seen: Rc<RefCell<SeenChanges>>,
    discovery: Rc<DiscoverySource>,
    fleet: Option<FleetMembership>,
    _dispatch: Rc<Dispatch>,
    _executor: Rc<LocalExecutor<'static>>,
}

impl Drop for FrontEnd {
    fn drop(&mut self) {
        // No task runs any more before the parts go.
        self.driver.take();
    }
}

impl FrontEnd {
    /// Starts a front end; `index` is its number in the whole run.
    ///
    /// # Errors
    ///
    /// The template can't be used, or a part can't have its address.
    pub fn start(
        process: &LocalExecutor<'static>,
        template: &Template,
        index: usize,
    ) -> Result<Self, HollowError> {
        let failed = |cause| HollowError::Start { index, cause };
        let executor = Rc::new(LocalExecutor::new());
        let name = format!("hollow-{index}");
        let overrides = Overrides {
            name: Some(name.clone()),
            ..Overrides::default()
        };
        let config = Config::parse(&template.config, overrides)
            .map_err(|error| failed(error.to_string()))?;
        let seed = template.seed.wrapping_add(index as u64);
        let gateways = config.settings.gateways.unwrap_or(1);
        let clock = template.clock;
        let subscribed = subscribe(template, &executor, &name, seed)?;
        let fence = subscribed.as_ref().map(|subscribed| {
            Rc::new(SubscriptionFence(Rc::downgrade(subscribed))) as Rc<dyn Fence>
        });
        let dispatch = Dispatch::new(clock, config.settings, seed, Rc::new(NoEngines), fence);
        let fleet = match fleet_settings(template, index, name)? {
            Some(given) => {
                let fleet =
                    FleetMembership::start(&executor, &given, clock, seed, gateways, &dispatch);
                Some(fleet.map_err(|error| failed(error.to_string()))?)
            }
            None => None,
        };
        let engine_ids = Rc::new(EngineIds::default());
        let discovery = Rc::new(DiscoverySource::new(config.bus, ListRetention::Discard));
        let mut client =
            DiscoveryClient::new(config.names, Rc::clone(&engine_ids), Rc::clone(&discovery));
        let updated = template.runs(Part::Decisions).then(|| Rc::clone(&dispatch));
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
        if template.runs(Part::Decisions) {
            let timers = Rc::clone(&dispatch);
            executor
                .spawn(async move { timers.run_timers().await })
                .detach();
        }
        let seen = Rc::new(RefCell::new(SeenChanges::default()));
        if let Some(subscribed) = &subscribed {
            let targets = ControlTargets {
                clock,
                dispatch: Rc::clone(&dispatch),
                drain: Rc::default(),
                engine_ids,
                discovery: Rc::clone(&discovery),
                rest: None,
            };
            subscribed.attach(&executor, targets);
            watch(subscribed, &seen);
        }
        let own = Rc::clone(&executor);
        let driver = process.spawn(async move { own.run(pending::<()>()).await });
        let driver = Some(driver);
        Ok(FrontEnd {
            driver,
            subscribed,
            seen,
            discovery,
            fleet,
            _dispatch: dispatch,
            _executor: executor,
        })
    }

    /// Bytes sent and received so far.
    #[must_use]
    pub fn traffic(&self) -> Traffic {
        let bus = self.discovery.traffic();
        let membership = self.fleet.as_ref().map(FleetMembership::traffic);
        let membership = membership.unwrap_or_default();
        Traffic {
            subscription: self.subscribed.as_ref().map_or(0, |s| {
                let traffic = s.subscription().traffic();
                traffic.bytes_sent + traffic.bytes_received
            }),
            bus: bus.sent_bytes + bus.received_bytes,
            membership: membership.sent_bytes + membership.received_bytes,
        }
    }

    /// Whether its gate is open: it may route.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.subscribed
            .as_ref()
            .is_none_or(|subscribed| subscribed.is_open())
    }

    /// The revision of the state that it routes on.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.seen.borrow().revision()
    }

    /// The changes that it has seen.
    #[must_use]
    pub fn sequence(&self) -> Sequence {
        self.seen.borrow().sequence()
    }

    /// What went wrong with changes.
    #[must_use]
    pub fn faults(&self) -> Faults {
        self.seen.borrow().faults()
    }

    /// The observer that it watches.
    #[must_use]
    pub fn watches(&self) -> Option<NodeId> {
        self.subscribed.as_ref()?.status().watched
    }

    /// Whether the event bus has reached it.
    #[must_use]
    pub fn bus_heard(&self) -> bool {
        self.discovery.has_received()
    }

    /// How many front ends it reckons with.
    #[must_use]
    pub fn share(&self) -> Option<u32> {
        self.fleet.as_ref().map(FleetMembership::fleet_size)
    }
}

/// The subscription of a front end, under its own name.
fn subscribe(
    template: &Template,
    executor: &Rc<LocalExecutor<'static>>,
    name: &str,
    seed: u64,
) -> Result<Option<Rc<ClusterSubscriber>>, HollowError> {
    if !template.runs(Part::Subscription) {
        return Ok(None);
    }
    let given = template.settings.cluster.clone();
    let mut given = given.ok_or(HollowError::Missing {
        block: "cluster",
        part: "subscription",
    })?;
    name.clone_into(&mut given.front_end);
    let subscriber = ClusterSubscriber::start(executor, &template.settings, &given, seed)?;
    Ok(Some(subscriber))
}

/// Checks what is applied, in the turn in which it is.
fn watch(subscribed: &ClusterSubscriber, seen: &Rc<RefCell<SeenChanges>>) {
    let seen = Rc::clone(seen);
    subscribed
        .subscription()
        .on_applied(Rc::new(move |replica| seen.borrow_mut().applied(replica)));
}

/// The template's `fleet` block as this front end has it: each has a name and a port of its own.
fn fleet_settings(
    template: &Template,
    index: usize,
    name: String,
) -> Result<Option<settings::Fleet>, HollowError> {
    if !template.runs(Part::Membership) {
        return Ok(None);
    }
    let given = template.settings.fleet.clone();
    let mut given = given.ok_or(HollowError::Missing {
        block: "fleet",
        part: "membership",
    })?;
    let port = usize::from(given.listen.port()).saturating_add(index);
    let port = u16::try_from(port).map_err(|_| HollowError::Start {
        index,
        cause: format!("port {port} for `fleet.listen` is too large: choose a lower first port"),
    })?;
    given.listen = SocketAddr::new(given.listen.ip(), port);
    given.address = given.listen;
    given.member = name;
    Ok(Some(given))
}
