//! A set of fake engines and the event bus that lists them.

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

/// How often the background thread checks whether the last clone has been dropped.
const END_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum time that [`FakeUpstreams::wait_for`] waits.
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

/// Fake engines and their event bus. They stop when the last clone is dropped.
#[derive(Clone)]
pub struct FakeUpstreams(Arc<Inner>);

struct Inner {
    executor: Arc<Executor<'static>>,
    profile: Profile,
    bus: Arc<EventBus>,
    engines: Mutex<BTreeMap<String, Arc<Engine>>>,
    counts: Arc<Mutex<Counts>>,
    /// Dropped with the last clone, which stops the background thread.
    _alive: Sender<()>,
}

impl FakeUpstreams {
    /// Starts warm engines `e-1`, `e-2` and so on, and an event bus that lists them.
    ///
    /// # Errors
    ///
    /// Fails if a loopback address can't be bound or the thread can't be started.
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

    /// Returns the address of the event bus.
    #[must_use]
    pub fn bus(&self) -> SocketAddr {
        self.0.bus.addr
    }

    /// Returns the address of an engine, or `None` if it was killed or never started.
    #[must_use]
    pub fn addr(&self, id: &str) -> Option<SocketAddr> {
        lock(&self.0.engines).get(id).map(|engine| engine.addr)
    }

    /// Returns the ids of all engines that have not been killed.
    #[must_use]
    pub fn ids(&self) -> Vec<String> {
        lock(&self.0.engines).keys().cloned().collect()
    }

    /// Returns the configuration of a gateway in front of these engines.
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

    /// Starts another engine, which is cold, and lists it. `addr` may be the address of a killed
    /// engine.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub fn add(&self, id: &str, addr: Option<SocketAddr>) -> std::io::Result<()> {
        self.start_engine(id, addr, Some(Instant::now()))?;
        self.publish(ListUpdate::Patch, [(id, ListedState::InService)]);
        Ok(())
    }

    /// Lists an engine as draining. The engine keeps serving.
    pub fn drain(&self, id: &str) {
        lock(&self.0.counts).record_drain(id);
        self.publish(ListUpdate::Patch, [(id, ListedState::Draining)]);
    }

    /// Records that operators have cordoned or uncordoned an engine. Attempts that reach a cordoned
    /// engine are counted.
    pub fn record_cordon(&self, id: &str, is_cordoned: bool) {
        lock(&self.0.counts).record_cordon(id, is_cordoned);
    }

    /// Stops an engine as if its process had been killed: its connections are reset, and its
    /// address refuses connections. The event bus does not report it.
    pub fn kill(&self, id: &str) {
        if let Some(engine) = lock(&self.0.engines).remove(id) {
            engine.kill();
        }
    }

    /// Lists an engine as removed and kills it.
    pub fn remove(&self, id: &str) {
        lock(&self.0.counts).record_drain(id);
        self.publish(ListUpdate::Patch, [(id, ListedState::Removed)]);
        self.kill(id);
    }

    /// Sets the fault of an engine. [`Fault::None`] clears it.
    pub fn fault(&self, id: &str, fault: Fault) {
        if let Some(engine) = lock(&self.0.engines).get(id) {
            engine.set_fault(fault);
        }
    }

    /// Closes all connections to the event bus.
    pub fn break_bus(&self) {
        self.0.bus.close_connections();
    }

    /// Counts the events of the bus from 1 again, as the platform does at each start of a gateway.
    /// The first one holds the list as it is. The next configuration has to be that of
    /// [`FakeUpstreams::config`].
    pub fn restart_numbering(&self) {
        self.0.bus.restart_numbering();
    }

    /// Makes the event bus unreachable, or reachable again. Events that happen meanwhile are sent
    /// afterwards.
    pub fn set_bus_down(&self, is_down: bool) {
        self.0.bus.set_down(is_down);
    }

    /// Stops sending on the open connections of the event bus and leaves them open. New connections
    /// work as usual.
    pub fn silence_bus(&self) {
        self.0.bus.silence_connections();
    }

    /// Returns the counts of what has reached the engines so far.
    #[must_use]
    pub fn counts(&self) -> Counts {
        lock(&self.0.counts).clone()
    }

    /// Waits until a condition on the counts holds. Returns `false` if it does not hold within ten
    /// seconds.
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
