//! The real gateways: processes of `violetgate serve` in front of fake engines, observed through
//! their metrics.

use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use violetgate_fake_upstreams::FakeUpstreams;
use violetgate_fleet_harness::GatewayProcess;
use violetgate_replicated_state::Revision;
use violetgate_test_harness::{lock, Metrics};

use super::error::FleetRunError;
use super::files::gateway_settings;
use super::fleet_monitor::record;
use super::layout::{Layout, Port};
use super::plan::Plan;
use super::propagation::SeenRevision;

/// How often a real gateway's metrics are read. The metrics name every member of the fleet, so that
/// reading them more often would add to the gateway's measured CPU time.
const READ_INTERVAL: Duration = Duration::from_secs(1);
/// How often the observing thread checks whether the run has ended.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Metrics that count the bytes that a gateway's control plane sends and receives.
const TRAFFIC_METRICS: [&str; 6] = [
    "svc_cluster_sent_bytes_total",
    "svc_cluster_received_bytes_total",
    "svc_bus_sent_bytes_total",
    "svc_bus_received_bytes_total",
    "svc_fleet_sent_bytes_total",
    "svc_fleet_received_bytes_total",
];

/// The state that a real gateway's metrics have shown so far.
#[derive(Debug, Clone, Default)]
pub(super) struct ObservedGateway {
    /// The applied revisions, each with the time at which it was first seen.
    pub revisions: Vec<SeenRevision>,
    /// Whether the gateway's gate was open at the last read.
    is_open: bool,
}

/// All real gateways, and the thread that reads their metrics.
pub(super) struct RealGateways {
    processes: Arc<Mutex<Vec<GatewayProcess>>>,
    observed: Arc<Mutex<Vec<ObservedGateway>>>,
    stop: Arc<AtomicBool>,
    observer: Option<JoinHandle<()>>,
}

impl Drop for RealGateways {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(observer) = self.observer.take() {
            let _ = observer.join();
        }
        let mut processes = lock(&self.processes);
        processes.iter_mut().for_each(GatewayProcess::kill);
    }
}

impl RealGateways {
    /// Starts the real gateways of a plan, and the thread that observes them.
    pub(super) fn start(
        plan: &Plan,
        layout: &Layout,
        program: &Path,
        engines: &FakeUpstreams,
    ) -> Result<Self, FleetRunError> {
        let processes = (0..plan.real)
            .map(|index| start_gateway(plan, layout, program, engines, index))
            .collect::<Result<Vec<_>, _>>()?;
        let observed = vec![ObservedGateway::default(); processes.len()];
        let observed = Arc::new(Mutex::new(observed));
        let processes = Arc::new(Mutex::new(processes));
        let stop = Arc::new(AtomicBool::new(false));
        let observer = {
            let processes = Arc::clone(&processes);
            let observed = Arc::clone(&observed);
            let stop = Arc::clone(&stop);
            std::thread::spawn(move || observe_until_stopped(&processes, &observed, &stop))
        };
        Ok(RealGateways {
            processes,
            observed,
            stop,
            observer: Some(observer),
        })
    }

    /// Returns the observed state of each gateway.
    pub(super) fn observed(&self) -> Vec<ObservedGateway> {
        lock(&self.observed).clone()
    }

    /// Returns the number of gateways that may route requests, as their metrics last showed.
    pub(super) fn serving(&self) -> usize {
        let observed = lock(&self.observed);
        observed.iter().filter(|gateway| gateway.is_open).count()
    }

    /// Returns the process ids of the running gateways.
    pub(super) fn pids(&self) -> Vec<u32> {
        let processes = lock(&self.processes);
        processes.iter().filter_map(GatewayProcess::pid).collect()
    }

    /// Returns the bytes that the control planes of all gateways have sent and received so far.
    pub(super) fn traffic(&self) -> f64 {
        let processes = lock(&self.processes);
        processes
            .iter()
            .map(|process| traffic_of(&process.metrics()))
            .sum()
    }

    /// Sends a query to each gateway, and returns how many serve it.
    pub(super) fn count_serving_queries(&self) -> usize {
        let processes = lock(&self.processes);
        let serves =
            |(index, process): &(usize, &GatewayProcess)| process.serves_request(*index as u64 + 1);
        processes.iter().enumerate().filter(serves).count()
    }

    /// Returns the log of the first gateway, for error messages.
    pub(super) fn first_log(&self) -> String {
        let processes = lock(&self.processes);
        processes
            .first()
            .map(GatewayProcess::log)
            .unwrap_or_default()
    }
}

fn start_gateway(
    plan: &Plan,
    layout: &Layout,
    program: &Path,
    engines: &FakeUpstreams,
    index: usize,
) -> Result<GatewayProcess, FleetRunError> {
    let name = format!("real-{index}");
    let folder = layout.folder(&name)?;
    let listen = layout.real(index, Port::Clients);
    let management = layout.real(index, Port::Management);
    let mut config = engines.config(
        &name,
        &listen.to_string(),
        &violetgate_fake_upstreams::settings(),
    );
    config["management"] = management.to_string().into();
    layout.write(&folder, "config.json", &config.to_string())?;
    let settings = gateway_settings(plan, layout, Some(index));
    layout.write(&folder, "violetgate.hcl", &settings)?;
    let mut process = GatewayProcess::new(&name, listen, management, folder, program);
    process
        .start()
        .map_err(FleetRunError::io("start a real front end"))?;
    Ok(process)
}

fn traffic_of(metrics: &Metrics) -> f64 {
    let values = TRAFFIC_METRICS.iter().filter_map(|name| metrics.get(*name));
    values.sum()
}

fn observe_until_stopped(
    processes: &Mutex<Vec<GatewayProcess>>,
    observed: &Mutex<Vec<ObservedGateway>>,
    stop: &AtomicBool,
) {
    while !stop.load(Ordering::Relaxed) {
        for (index, process) in lock(processes).iter().enumerate() {
            let metrics = process.metrics();
            if let Some(gateway) = lock(observed).get_mut(index) {
                gateway.update(&metrics);
            }
        }
        let next_read = Instant::now() + READ_INTERVAL;
        while Instant::now() < next_read && !stop.load(Ordering::Relaxed) {
            std::thread::sleep(STOP_CHECK_INTERVAL);
        }
    }
}

impl ObservedGateway {
    /// Records the state that the metrics show. If the gateway did not answer, its last known state
    /// is kept.
    fn update(&mut self, metrics: &Metrics) {
        let Some(revision) = metrics.get("svc_cluster_revision") else {
            return;
        };
        record(&mut self.revisions, *revision as Revision);
        let routes = metrics.get("svc_cluster_routes");
        self.is_open = routes.is_some_and(|routes| *routes > 0.0);
    }
}
