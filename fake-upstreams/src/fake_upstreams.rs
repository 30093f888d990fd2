//! Several fake engines and the bus that lists them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::mpsc::{channel, Receiver, Sender, TryRecvError};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use async_executor::Executor;
use async_io::Timer;
use serde_json::{json, Value};

use crate::counts::Counts;
use crate::engine::{Engine, Fault, Profile};
use crate::event_bus::{EventBus, ListUpdate};
use crate::lock;

/// How often their thread checks whether the engines have been dropped.
const END_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How long [`FakeUpstreams::wait_for`] waits at most.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);
/// How often [`FakeUpstreams::wait_for`] checks its condition.
const WAIT_CHECK_INTERVAL: Duration = Duration::from_millis(2);

/// The state of an engine in the bus's list.
#[derive(Debug, Clone, Copy)]
enum ListedState {
    InService,
    Draining,
    Removed,
}

impl ListedState {
    fn wire_name(self) -> &'static str {
        match self {
            ListedState::InService => "in_service",
            ListedState::Draining => "terminating",
            ListedState::Removed => "terminated",
        }
    }
}

/// Fake engines and their bus. They end when the last of its clones is dropped.
#[derive(Clone)]
pub struct FakeUpstreams(Arc<Inner>);

struct Inner {
    executor: Arc<Executor<'static>>,
    profile: Profile,
    bus: Arc<EventBus>,
    engines: Mutex<BTreeMap<String, Arc<Engine>>>,
    counts: Arc<Mutex<Counts>>,
    /// Dropped with the last clone, which ends their thread.
    _alive: Sender<()>,
}

impl FakeUpstreams {
    /// Starts engines `e-1`, `e-2` and so on, warmed up, and a bus that lists them.
    ///
    /// # Errors
    ///
    /// No loopback address, or no thread, is available.
    pub fn start(engine_count: usize, profile: Profile) -> std::io::Result<Self> {
        let executor = Arc::new(Executor::new());
        let (alive, owner_dropped) = channel::<()>();
        let running = Arc::clone(&executor);
        std::thread::Builder::new()
            .name("fake-upstreams".into())
            .spawn(move || run_until_dropped(&running, &owner_dropped))?;
        let upstreams = FakeUpstreams(Arc::new(Inner {
            bus: EventBus::start(&executor)?,
            executor,
            profile,
            engines: Mutex::default(),
            counts: Arc::default(),
            _alive: alive,
        }));
        let ids: Vec<String> = (1..=engine_count).map(|n| format!("e-{n}")).collect();
        for id in &ids {
            upstreams.start_engine(id, None, None)?;
        }
        let states = ids.iter().map(|id| (id.as_str(), ListedState::InService));
        upstreams.publish(ListUpdate::Snapshot, states);
        Ok(upstreams)
    }

    /// Where the bus listens.
    #[must_use]
    pub fn bus(&self) -> SocketAddr {
        self.0.bus.addr
    }

    /// Where an engine listens.
    #[must_use]
    pub fn addr(&self, id: &str) -> Option<SocketAddr> {
        lock(&self.0.engines).get(id).map(|engine| engine.addr)
    }

    /// The ids of all engines that have not been killed.
    #[must_use]
    pub fn ids(&self) -> Vec<String> {
        lock(&self.0.engines).keys().cloned().collect()
    }

    /// The configuration of a gateway in front of these engines.
    #[must_use]
    pub fn config(&self, name: &str, listen: &str, settings: &Value) -> Value {
        let events = self.0.bus.events();
        json!({
            "name": name, "listen": listen, "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "bus": self.bus().to_string(), "known": {"offset": events.len(), "batch": events}, "settings": settings,
        })
    }

    fn start_engine(
        &self,
        id: &str,
        addr: Option<SocketAddr>,
        started_at: Option<Instant>,
    ) -> std::io::Result<()> {
        let inner = &self.0;
        let counts = Arc::clone(&inner.counts);
        let engine = Engine::start(&inner.executor, id, addr, inner.profile, started_at, counts)?;
        lock(&inner.engines).insert(id.to_owned(), engine);
        Ok(())
    }

    /// Starts another engine, which is warming up, and lists it; `addr` may be that of an engine
    /// that was killed.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub fn add(&self, id: &str, addr: Option<SocketAddr>) -> std::io::Result<()> {
        self.start_engine(id, addr, Some(Instant::now()))?;
        self.publish(ListUpdate::Patch, [(id, ListedState::InService)]);
        Ok(())
    }

    /// Lists an engine as draining; what it has it still serves.
    pub fn drain(&self, id: &str) {
        lock(&self.0.counts).record_drain(id);
        self.publish(ListUpdate::Patch, [(id, ListedState::Draining)]);
    }

    /// Records that operators have cordoned an engine, or no longer: attempts that reach a cordoned
    /// one are counted.
    pub fn record_cordon(&self, id: &str, is_cordoned: bool) {
        lock(&self.0.counts).record_cordon(id, is_cordoned);
    }

    /// Ends an engine's process: its connections are reset, its address refuses, and the bus does
    /// not say so.
    pub fn kill(&self, id: &str) {
        if let Some(engine) = lock(&self.0.engines).remove(id) {
            engine.kill();
        }
    }

    /// Ends an engine's process and lists it as removed.
    pub fn remove(&self, id: &str) {
        lock(&self.0.counts).record_drain(id);
        self.publish(ListUpdate::Patch, [(id, ListedState::Removed)]);
        self.kill(id);
    }

    /// Sets a fault on an engine; [`Fault::None`] removes it.
    pub fn fault(&self, id: &str, fault: Fault) {
        if let Some(engine) = lock(&self.0.engines).get(id) {
            engine.set_fault(fault);
        }
    }

    /// Closes all connections to the bus.
    pub fn break_bus(&self) {
        self.0.bus.close_connections();
    }

    /// Sends nothing more on the bus's open connections, which stay open; new ones work as ever.
    pub fn silence_bus(&self) {
        self.0.bus.silence_connections();
    }

    /// What has reached the engines so far.
    #[must_use]
    pub fn counts(&self) -> Counts {
        lock(&self.0.counts).clone()
    }

    /// Waits until a condition on the counts holds; `false` if it did not within ten seconds.
    #[must_use]
    pub fn wait_for(&self, condition: impl Fn(&Counts) -> bool) -> bool {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while !condition(&lock(&self.0.counts)) {
            if Instant::now() > deadline {
                return false;
            }
            std::thread::sleep(WAIT_CHECK_INTERVAL);
        }
        true
    }

    fn publish<'a>(
        &self,
        update: ListUpdate,
        states: impl IntoIterator<Item = (&'a str, ListedState)>,
    ) {
        let engines = lock(&self.0.engines).clone();
        let listed = states.into_iter().filter_map(|(id, state)| {
            let engine = engines.get(id)?;
            Some(json!({
                "id": id, "addr": engine.addr.to_string(), "zone": "z", "kind": "k", "cell": 0,
                "state": state.wire_name(), "weight": 1, "started_ms": engine.started_at.map_or(0, unix_ms),
            }))
        });
        self.0.bus.publish(update, &listed.collect::<Vec<Value>>());
    }
}

fn run_until_dropped(executor: &Executor<'static>, owner_dropped: &Receiver<()>) {
    async_io::block_on(executor.run(async {
        while owner_dropped.try_recv() != Err(TryRecvError::Disconnected) {
            Timer::after(END_CHECK_INTERVAL).await;
        }
    }));
}

fn unix_ms(at: Instant) -> u64 {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(now.saturating_sub(at.elapsed()).as_millis()).unwrap_or(0)
}
