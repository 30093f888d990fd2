//! Creates the parts of the gateway and connects them.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

use async_executor::LocalExecutor;
use rand_chacha::rand_core::SeedableRng;
use rand_chacha::ChaCha8Rng;
use violetgate_memory_budget::MemoryBudget;
use violetgate_policy::interface::{Class, ListScope};
use violetgate_result_store::{ResultCache, TokenSealer};

use super::error::StartError;
use super::process_budget::ProcessBudget;
use crate::clock::Clock;
use crate::config::{Config, InitialEvents, NameTable};
use crate::discovery::{DiscoveryClient, DiscoverySource, EngineIds, ListRetention};
use crate::dispatch::Dispatch;
use crate::drain::DrainState;
use crate::exchange::{AttemptEvents, ListedEngine, RequestSink, UpstreamEngines};
use crate::fence::Fence;
use crate::fleet::FleetMembership;
use crate::idempotency::IdempotencyLayer;
use crate::postgres::sessions::{SessionParts, Sessions};
use crate::replication::{ControlTargets, Participant};
use crate::rest::{result_limits, RestFrontend, RestParts};
use crate::settings::{self, Settings};
use crate::stats::Stats;
use crate::upstream::pool::Pool;

// Cancel keys and REST ids use random streams of their own, so that drawing them does not change
// the decisions' random numbers.
const CANCEL_KEY_STREAM: u64 = 1;
const REST_ID_STREAM: u64 = 2;

/// The parts of a gateway that live until the process ends.
pub(super) struct GatewayParts {
    pub executor: Rc<LocalExecutor<'static>>,
    pub clock: Clock,
    pub name: String,
    pub listen: SocketAddr,
    /// The limit of the memory that peers can make this process hold.
    pub memory: MemoryBudget,
    /// The longest deadline of all classes of requests.
    pub longest_deadline: Duration,
    pub stats: Rc<Stats>,
    pub dispatch: Rc<Dispatch>,
    pub pool: Rc<Pool>,
    pub engine_ids: Rc<EngineIds>,
    pub discovery: Rc<DiscoverySource>,
    pub drain: Rc<DrainState>,
    pub sessions: Rc<Sessions>,
    pub rest: Option<Rc<RestFrontend>>,
    pub participant: Option<Participant>,
    pub fleet: Option<Rc<FleetMembership>>,
}

impl GatewayParts {
    /// Creates all parts, and starts the tasks that follow the engine list, run timers and maintain
    /// the pool. Clients are not accepted yet.
    pub(super) fn assemble(
        clock: Clock,
        config: Config,
        settings: &Settings,
        budget: ProcessBudget,
    ) -> Result<Self, StartError> {
        let executor = Rc::new(LocalExecutor::new());
        let memory = MemoryBudget::new(budget.memory_bytes);
        let process_seed = process_seed(config.seed)?;
        let DispatchParts {
            stats,
            participant,
            pool,
            dispatch,
            fleet,
        } = DispatchParts::start(
            &executor,
            clock,
            &config,
            settings,
            process_seed,
            memory.clone(),
            budget.engines,
        )?;
        let engine_ids = Rc::new(EngineIds::default());
        let retention = participant.as_ref().map(Participant::list_retention);
        let retention = retention.unwrap_or(ListRetention::Discard);
        let discovery = Rc::new(DiscoverySource::new(config.bus, retention));
        let (names, ids) = (config.names.clone(), Rc::clone(&engine_ids));
        let client = DiscoveryClient::new(names, ids, Rc::clone(&discovery), memory.clone());
        follow_engine_list(&executor, client, clock, config.initial_events, &dispatch);
        start_background_tasks(&executor, &dispatch, &pool);
        let drain = Rc::new(DrainState::default());
        let front_ends = FrontEnds {
            executor: &executor,
            clock,
            names: &config.names,
            stats: &stats,
            drain: &drain,
            seed: config.seed,
            process_seed,
            budget,
            memory: &memory,
        };
        let classes = &config.settings.classes;
        let (sessions, rest) = front_ends.create(&dispatch, settings.rest.as_ref(), classes)?;
        Ok(GatewayParts {
            clock,
            longest_deadline: longest_deadline(classes),
            name: config.name,
            listen: config.listen,
            memory,
            stats,
            dispatch,
            pool,
            engine_ids,
            discovery,
            drain,
            sessions,
            rest,
            participant,
            fleet,
            executor,
        })
    }

    /// Returns the parts to which a cluster's shared configuration is applied.
    pub(super) fn control_targets(&self) -> ControlTargets {
        ControlTargets {
            clock: self.clock,
            dispatch: Rc::clone(&self.dispatch),
            drain: Rc::clone(&self.drain),
            engine_ids: Rc::clone(&self.engine_ids),
            discovery: Rc::clone(&self.discovery),
            rest: self.rest.clone(),
        }
    }
}

/// The dispatcher, the connection pool, and this instance's participation in a cluster and a fleet.
struct DispatchParts {
    stats: Rc<Stats>,
    participant: Option<Participant>,
    pool: Rc<Pool>,
    dispatch: Rc<Dispatch>,
    fleet: Option<Rc<FleetMembership>>,
}

impl DispatchParts {
    fn start(
        executor: &Rc<LocalExecutor<'static>>,
        clock: Clock,
        config: &Config,
        settings: &Settings,
        process_seed: u64,
        memory: MemoryBudget,
        max_engine_connections: usize,
    ) -> Result<Self, StartError> {
        let class_names = config.names.classes.iter();
        let stats = Rc::new(Stats::new(class_names.map(|class| class.name.as_str())));
        let participant = join_cluster(executor, settings, process_seed, memory.clone())?;
        let fence = participant.as_ref().map(Participant::fence);
        let pool = Pool::new(
            Rc::clone(executor),
            clock,
            config.upstream,
            Rc::clone(&stats),
            memory.clone(),
            fence.clone(),
            max_engine_connections,
        );
        let dispatch = create_dispatch(clock, config, &pool, &memory, fence);
        let fleet_size = config.settings.gateways.unwrap_or(1);
        let fleet = settings.fleet.as_ref().map(|fleet| {
            FleetMembership::start(executor, fleet, clock, process_seed, fleet_size, &dispatch)
        });
        Ok(DispatchParts {
            fleet: fleet.transpose()?.map(Rc::new),
            stats,
            participant,
            pool,
            dispatch,
        })
    }
}

fn longest_deadline(classes: &[Class]) -> Duration {
    let longest = classes.iter().filter_map(|class| class.deadline).max();
    Duration::from_micros(longest.unwrap_or(0))
}

/// Starts this instance as a member or subscriber of a cluster, if the settings name one.
fn join_cluster(
    executor: &Rc<LocalExecutor<'static>>,
    settings: &Settings,
    seed: u64,
    memory: MemoryBudget,
) -> Result<Option<Participant>, StartError> {
    let Some(cluster) = &settings.cluster else {
        return Ok(None);
    };
    let participant = Participant::start(executor, settings, cluster, seed, memory)?;
    Ok(Some(participant))
}

/// Creates the dispatcher, and connects it to the pool in both directions.
fn create_dispatch(
    clock: Clock,
    config: &Config,
    pool: &Rc<Pool>,
    memory: &MemoryBudget,
    fence: Option<Rc<dyn Fence>>,
) -> Rc<Dispatch> {
    let engines: Rc<dyn UpstreamEngines> = Rc::<Pool>::clone(pool);
    let settings = config.settings.clone();
    let dispatch = Dispatch::new(clock, settings, config.seed, engines, memory, fence);
    let events: Rc<dyn AttemptEvents> = Rc::<Dispatch>::clone(&dispatch);
    let events: Weak<dyn AttemptEvents> = Rc::downgrade(&events);
    pool.report_to(events);
    dispatch
}

/// Loads the initial engine list, and starts the task that follows the event bus. It is started
/// before the tasks that serve clients, so that events of the bus are handled before requests that
/// arrive at the same time.
fn follow_engine_list(
    executor: &LocalExecutor<'static>,
    mut client: DiscoveryClient,
    clock: Clock,
    initial: InitialEvents,
    dispatch: &Rc<Dispatch>,
) {
    let dispatch = Rc::clone(dispatch);
    let mut on_update = move |scope: ListScope, engines: &[ListedEngine]| {
        dispatch.update_engines(scope, engines);
    };
    client.load_initial(clock.now(), initial, &mut on_update);
    executor
        .spawn(async move { client.follow(&mut on_update).await })
        .detach();
}

fn start_background_tasks(
    executor: &LocalExecutor<'static>,
    dispatch: &Rc<Dispatch>,
    pool: &Rc<Pool>,
) {
    let dispatch = Rc::clone(dispatch);
    executor
        .spawn(async move { dispatch.run_timers().await })
        .detach();
    let pool = Rc::clone(pool);
    executor.spawn(async move { pool.sweep().await }).detach();
}

/// Returns the seed of the numbers by which other processes recognise what comes from this one, such
/// as the ids of requests and the numbers of probes. It differs at each start, even where the
/// configuration with its seed is not written anew.
pub(super) fn process_seed(configured: u64) -> Result<u64, StartError> {
    let mut random = [0; 8];
    getrandom::fill(&mut random).map_err(StartError::Random)?;
    Ok(configured ^ u64::from_le_bytes(random))
}

/// The parts from which the PostgreSQL and the REST front end are created.
struct FrontEnds<'a> {
    executor: &'a Rc<LocalExecutor<'static>>,
    clock: Clock,
    names: &'a NameTable,
    stats: &'a Rc<Stats>,
    drain: &'a Rc<DrainState>,
    /// The configured seed.
    seed: u64,
    /// See [`process_seed`].
    process_seed: u64,
    budget: ProcessBudget,
    memory: &'a MemoryBudget,
}

impl FrontEnds<'_> {
    /// Creates the PostgreSQL front end, and the REST front end if the settings have a `rest`
    /// block. If there is a REST front end, both submit their requests through one idempotency
    /// layer, so that an idempotency key is valid across both.
    fn create(
        &self,
        dispatch: &Rc<Dispatch>,
        rest_settings: Option<&settings::Rest>,
        classes: &[Class],
    ) -> Result<(Rc<Sessions>, Option<Rc<RestFrontend>>), StartError> {
        let dispatch: Rc<dyn RequestSink> = Rc::<Dispatch>::clone(dispatch);
        let Some(rest_settings) = rest_settings else {
            return Ok((self.create_sessions(dispatch), None));
        };
        let mut secret = [0; 32];
        getrandom::fill(&mut secret).map_err(StartError::Random)?;
        let sealer = TokenSealer::new(&secret);
        let limits = result_limits(rest_settings, self.memory.limit());
        let results = ResultCache::new(sealer, limits, self.clock.now());
        let idempotency = IdempotencyLayer::new(
            dispatch,
            Rc::clone(self.executor),
            classes,
            results.budget().clone(),
            rest_settings.idempotency_keys,
        );
        let sink: Rc<dyn RequestSink> = Rc::<IdempotencyLayer>::clone(&idempotency);
        let parts = RestParts {
            executor: Rc::clone(self.executor),
            clock: self.clock,
            sink: Rc::clone(&sink),
            names: self.names.clone(),
            stats: Rc::clone(self.stats),
            drain: Rc::clone(self.drain),
            results: Rc::new(RefCell::new(results)),
            idempotency,
            memory: self.memory.clone(),
        };
        let rng = new_rng(self.process_seed, REST_ID_STREAM);
        let rest = RestFrontend::new(parts, rest_settings, self.budget.rest, rng);
        Ok((self.create_sessions(sink), Some(rest)))
    }

    fn create_sessions(&self, sink: Rc<dyn RequestSink>) -> Rc<Sessions> {
        let parts = SessionParts {
            executor: Rc::clone(self.executor),
            sink,
            names: self.names.clone(),
            stats: Rc::clone(self.stats),
            drain: Rc::clone(self.drain),
            memory: self.memory.clone(),
        };
        let rng = new_rng(self.seed, CANCEL_KEY_STREAM);
        Sessions::new(parts, self.budget.postgres, rng)
    }
}

fn new_rng(seed: u64, stream: u64) -> ChaCha8Rng {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(stream);
    rng
}
