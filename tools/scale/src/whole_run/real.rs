//! The real front ends: `violetgate serve` before stand-in engines, watched by their own figures.

use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use violetgate_fake_upstreams::FakeUpstreams;
use violetgate_fleet_harness::GatewayProcess;
use violetgate_replicated_state::{Micros, Revision};

use super::layout::{Layout, Port};
use super::{Plan, WholeRunError};
use crate::hollow::report::now;

/// How often a real front end's figures are read: they name every member of the fleet, and cost it processor time.
const LOOK: Duration = Duration::from_secs(1);
/// How soon the watcher notices that the run ends.
const NOTICE: Duration = Duration::from_millis(50);
/// Figures of bytes that control costs.
const TRAFFIC: [&str; 6] = [
    "svc_cluster_sent_bytes_total",
    "svc_cluster_received_bytes_total",
    "svc_bus_sent_bytes_total",
    "svc_bus_received_bytes_total",
    "svc_fleet_sent_bytes_total",
    "svc_fleet_received_bytes_total",
];

/// What a real front end's figures have shown.
#[derive(Debug, Clone, Default)]
pub(super) struct Watched {
    /// Revisions applied, each with when it was first seen.
    pub revisions: Vec<(Revision, Micros)>,
    /// The gate is open.
    pub open: bool,
    /// How often an open gate was found shut.
    pub gates_shut: u64,
}

/// All real front ends.
pub(super) struct RealFrontEnds {
    processes: Arc<Mutex<Vec<GatewayProcess>>>,
    watched: Arc<Mutex<Vec<Watched>>>,
    stop: Arc<AtomicBool>,
    watcher: Option<JoinHandle<()>>,
}

impl Drop for RealFrontEnds {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(watcher) = self.watcher.take() {
            let _ = watcher.join();
        }
        lock(&self.processes)
            .iter_mut()
            .for_each(GatewayProcess::kill);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl RealFrontEnds {
    /// Starts them; `settings` gives each its settings by its index.
    pub(super) fn start(
        plan: &Plan,
        layout: &Layout,
        program: &Path,
        engines: &FakeUpstreams,
        settings: impl Fn(usize) -> String,
    ) -> Result<Self, WholeRunError> {
        let mut processes = Vec::new();
        for index in 0..plan.real {
            let name = format!("real-{index}");
            let folder = layout.folder(&name)?;
            let (listen, management) = (
                layout.real(index, Port::Clients),
                layout.real(index, Port::Management),
            );
            let mut config = engines.config(
                &name,
                &listen.to_string(),
                &violetgate_fake_upstreams::settings(),
            );
            config["management"] = management.to_string().into();
            layout.write(&folder, "config.json", &config.to_string())?;
            layout.write(&folder, "violetgate.hcl", &settings(index))?;
            let mut process = GatewayProcess::new(&name, listen, management, folder, program);
            process
                .start()
                .map_err(WholeRunError::machine("start a real front end"))?;
            processes.push(process);
        }
        let watched = Arc::new(Mutex::new(vec![Watched::default(); processes.len()]));
        let processes = Arc::new(Mutex::new(processes));
        let stop = Arc::new(AtomicBool::new(false));
        let watcher = {
            let (processes, watched, stop) = (
                Arc::clone(&processes),
                Arc::clone(&watched),
                Arc::clone(&stop),
            );
            std::thread::spawn(move || watch(&processes, &watched, &stop))
        };
        Ok(RealFrontEnds {
            processes,
            watched,
            stop,
            watcher: Some(watcher),
        })
    }

    /// What was seen of each so far.
    pub(super) fn watched(&self) -> Vec<Watched> {
        lock(&self.watched).clone()
    }

    /// How many have open gates.
    pub(super) fn serving(&self) -> usize {
        lock(&self.watched)
            .iter()
            .filter(|watched| watched.open)
            .count()
    }

    /// Their process ids.
    pub(super) fn pids(&self) -> Vec<u32> {
        lock(&self.processes)
            .iter()
            .filter_map(GatewayProcess::pid)
            .collect()
    }

    /// Bytes of control sent and received so far, over all of them.
    pub(super) fn traffic(&self) -> f64 {
        let processes = lock(&self.processes);
        let figures = processes.iter().map(GatewayProcess::metrics);
        figures
            .map(|f| TRAFFIC.iter().filter_map(|name| f.get(*name)).sum::<f64>())
            .sum()
    }

    /// How many serve a query.
    pub(super) fn answer_queries(&self) -> usize {
        lock(&self.processes)
            .iter()
            .enumerate()
            .filter(|(n, process)| process.serves_request(*n as u64 + 1))
            .count()
    }

    /// The log of the first one, for reports of failures.
    pub(super) fn log(&self) -> String {
        lock(&self.processes)
            .first()
            .map(GatewayProcess::log)
            .unwrap_or_default()
    }
}

fn watch(processes: &Mutex<Vec<GatewayProcess>>, watched: &Mutex<Vec<Watched>>, stop: &AtomicBool) {
    while !stop.load(Ordering::Relaxed) {
        for (process, watched_index) in lock(processes).iter().zip(0..) {
            let figures = process.metrics();
            let at = now();
            let Some(revision) = figures.get("svc_cluster_revision").map(|r| *r as Revision) else {
                continue;
            };
            let open = figures
                .get("svc_cluster_routes")
                .is_some_and(|routes| *routes > 0.0);
            if let Some(watched) = lock(watched).get_mut::<usize>(watched_index) {
                watched.see(revision, open, at);
            }
        }
        let until = Instant::now() + LOOK;
        while Instant::now() < until && !stop.load(Ordering::Relaxed) {
            std::thread::sleep(NOTICE);
        }
    }
}

impl Watched {
    fn see(&mut self, revision: Revision, open: bool, at: Micros) {
        if self
            .revisions
            .last()
            .is_none_or(|(before, _)| revision > *before)
        {
            self.revisions.push((revision, at));
        }
        self.gates_shut += u64::from(self.open && !open);
        self.open = open;
    }
}
