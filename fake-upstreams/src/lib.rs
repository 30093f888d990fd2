//! Stand-ins for what a front end talks to: engines that speak the line protocol in full, and the event bus that
//! lists them, on loopback and in threads of their own.
//!
//! Engines do as they are told by the statement's hints ([`work`]) and by faults that a test sets on them
//! ([`Fault`]); they note what reaches them ([`Counts`]). They must never know anything of the program.

mod bus;
pub mod client;
mod counts;
mod engine;
pub mod work;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use async_executor::Executor;
use async_io::Timer;
use serde_json::{json, Value};

pub use counts::Counts;
pub use engine::{Fault, Profile};

use bus::Bus;
use engine::Engine;

/// Locks what a test thread that failed may have left locked.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A fleet of stand-in engines and their bus. It ends with the last of its clones.
#[derive(Clone)]
pub struct Fleet(Arc<Inner>);

struct Inner {
    executor: Arc<Executor<'static>>,
    profile: Profile,
    bus: Arc<Bus>,
    engines: Mutex<BTreeMap<String, Arc<Engine>>>,
    counts: Arc<Mutex<Counts>>,
    /// Dropped with the fleet, which ends its thread.
    _alive: std::sync::mpsc::Sender<()>,
}

impl Fleet {
    /// Starts `engines` engines, `e-1` and so on, and a bus that lists them.
    ///
    /// # Errors
    ///
    /// Loopback gives no address, or the machine no thread.
    pub fn start(engines: usize, profile: Profile) -> std::io::Result<Self> {
        let executor = Arc::new(Executor::new());
        let (alive, ends) = std::sync::mpsc::channel::<()>();
        let run = Arc::clone(&executor);
        std::thread::Builder::new()
            .name("standin".into())
            .spawn(move || {
                async_io::block_on(run.run(async {
                    while ends.try_recv() != Err(std::sync::mpsc::TryRecvError::Disconnected) {
                        Timer::after(Duration::from_millis(100)).await;
                    }
                }));
            })?;
        let bus = Bus::start(&executor)?;
        let fleet = Fleet(Arc::new(Inner {
            executor,
            profile,
            bus,
            engines: Mutex::default(),
            counts: Arc::default(),
            _alive: alive,
        }));
        let ids: Vec<_> = (1..=engines).map(|n| format!("e-{n}")).collect();
        for id in &ids {
            fleet.raise(id, None, None)?;
        }
        fleet.tell(
            true,
            &ids.iter()
                .map(|id| (id.as_str(), "in_service"))
                .collect::<Vec<_>>(),
        );
        Ok(fleet)
    }

    /// Where the bus listens.
    #[must_use]
    pub fn bus(&self) -> SocketAddr {
        self.0.bus.addr
    }

    /// Where an engine listens.
    #[must_use]
    pub fn addr(&self, id: &str) -> Option<SocketAddr> {
        lock(&self.0.engines).get(id).map(|e| e.addr)
    }

    /// The ids of all engines that have not been killed.
    #[must_use]
    pub fn ids(&self) -> Vec<String> {
        lock(&self.0.engines).keys().cloned().collect()
    }

    /// The configuration of a front end that is to stand before this fleet.
    #[must_use]
    pub fn config(&self, name: &str, listen: &str, settings: &Value) -> Value {
        let (offset, batch) = self.0.bus.known();
        json!({
            "name": name, "listen": listen, "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "bus": self.bus().to_string(), "known": {"offset": offset, "batch": batch}, "settings": settings,
        })
    }

    fn raise(
        &self,
        id: &str,
        at: Option<SocketAddr>,
        started: Option<Instant>,
    ) -> std::io::Result<()> {
        let inner = &self.0;
        let counts = Arc::clone(&inner.counts);
        let engine = Engine::start(&inner.executor, id, at, inner.profile, started, counts)?;
        lock(&inner.engines).insert(id.to_owned(), engine);
        Ok(())
    }

    /// Starts another engine, cold, and lists it; `at` names an address that an engine gone before had.
    ///
    /// # Errors
    ///
    /// The address can't be had.
    pub fn add(&self, id: &str, at: Option<SocketAddr>) -> std::io::Result<()> {
        self.raise(id, at, Some(Instant::now()))?;
        self.tell(false, &[(id, "in_service")]);
        Ok(())
    }

    /// Lists an engine as draining; what it has it still serves.
    pub fn drain(&self, id: &str) {
        lock(&self.0.counts).drained(id);
        self.tell(false, &[(id, "terminating")]);
    }

    /// Notes that an engine is called out by operators from now on, or back: attempts that come to it are counted.
    pub fn called(&self, id: &str, out: bool) {
        lock(&self.0.counts).called(id, out);
    }

    /// Ends an engine's process: its connections are reset, its address refuses, and the bus is not told.
    pub fn kill(&self, id: &str) {
        if let Some(engine) = lock(&self.0.engines).remove(id) {
            engine.kill();
        }
    }

    /// Ends an engine and lists it as gone.
    pub fn remove(&self, id: &str) {
        lock(&self.0.counts).drained(id);
        self.tell(false, &[(id, "terminated")]);
        self.kill(id);
    }

    /// Sets a fault on an engine, or takes it away.
    pub fn fault(&self, id: &str, fault: Fault) {
        if let Some(engine) = lock(&self.0.engines).get(id) {
            engine.fault(fault);
        }
    }

    /// Breaks the bus's connections off.
    pub fn break_bus(&self) {
        self.0.bus.break_off();
    }

    /// Lets every watch that is open on the bus fall silent; new ones are as ever.
    pub fn mute_bus(&self) {
        self.0.bus.mute();
    }

    /// What has reached the engines so far.
    #[must_use]
    pub fn counts(&self) -> Counts {
        lock(&self.0.counts).clone()
    }

    /// Waits until what has reached the engines is as `wanted`, for ten seconds at most. False: it never was.
    #[must_use]
    pub fn wait_for(&self, wanted: impl Fn(&Counts) -> bool) -> bool {
        let until = Instant::now() + Duration::from_secs(10);
        while !wanted(&lock(&self.0.counts)) {
            if Instant::now() > until {
                return false;
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        true
    }

    fn tell(&self, full: bool, states: &[(&str, &str)]) {
        let servers: Vec<Value> = states
            .iter()
            .filter_map(|(id, state)| {
                let engines = lock(&self.0.engines);
                let engine = engines.get(*id)?;
                Some(json!({
                    "id": id, "addr": engine.addr.to_string(), "zone": "z", "kind": "k", "cell": 0,
                    "state": state, "weight": 1, "started_ms": engine.started.map_or(0, unix_ms),
                }))
            })
            .collect();
        self.0.bus.say(full, &servers);
    }
}

fn unix_ms(at: Instant) -> u64 {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(now.saturating_sub(at.elapsed()).as_millis()).unwrap_or(0)
}

/// Settings for a front end before a fleet of this crate: the classes `lookup` (safe to repeat), `report` and
/// `load` (keyed, in order), tenants `north` and `south`.
#[must_use]
pub fn settings() -> Value {
    json!({
        "balancers": 1,
        "classes": [
            {"name": "lookup", "deadline": 10.0, "objective": 1.5, "aim-stretch": 2.0, "credit": 1.0,
             "effect": "idempotent", "late-worth": 0.5},
            {"name": "report", "deadline": 20.0, "objective": 2.0, "aim-stretch": 2.5, "credit": 6.0,
             "effect": "idempotent", "late-worth": 0.5},
            {"name": "load", "deadline": 20.0, "objective": 3.0, "aim-stretch": 3.0, "credit": 5.0,
             "effect": "deduplicated", "group": "all", "window": 12.0, "by-arrival": true, "late-worth": 0.5}],
        "domain": {"parallelism": [1, 2, 2], "is-load": [false, false, true], "priorities": true,
                   "size-cores": [8], "tells-cost": true},
        "kinds": ["k"], "localities": ["z"], "locality": 0,
        "realms": [{"name": "north", "allowance-per-s": 5000.0}, {"name": "south", "allowance-per-s": 5000.0}],
        "limits": {"cancel": true, "connect-timeout": 0.25, "idle-close": 30.0, "max-attempts": 5,
                   "max-retry-after": 1.0, "retry-after": true, "streams-per-conn": 100},
        "rules": {"cold": 15.0, "cold-share": 0.3, "drain-grace": 2.0, "extra-share": 0.1, "fall": 3.0,
                  "fall-multiple": 2.5, "free-resends": 3.0, "resend-span": 5.0, "grace-to-answer": 0.02,
                  "turn-gap": 0.3}
    })
}
