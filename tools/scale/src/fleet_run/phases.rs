//! The phases of a run, in order. Each phase adds its figures.

mod faults;
mod sequences;
mod steady;

use std::time::{Duration, Instant};

use violetgate_fake_upstreams::{FakeUpstreams, Profile};
use violetgate_test_harness::ProcessUsage;

use super::change_maker::ChangeMaker;
use super::control_plane::{ControlPlane, ControlSetup};
use super::error::FleetRunError;
use super::files::LightweightFiles;
use super::fleet_monitor::FleetMonitor;
use super::layout::{program, Layout};
use super::lightweight_processes::LightweightProcesses;
use super::plan::Plan;
use super::propagation::{in_force_reports, Change, InForceReports};
use super::real_gateways::RealGateways;
use crate::figures::Figures;
use crate::lightweight_gateway::protocol::Command;
use crate::lightweight_gateway::Part;

/// How long gateways may take until all of them serve.
const SERVE_TIMEOUT: Duration = Duration::from_secs(120);
/// The interval at which the number of serving gateways is checked.
const SERVE_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// The number of lines of a log that go into an error.
const LAST_LOG_LINES: usize = 8;
const BYTES_PER_MB: f64 = 1_048_576.0;

/// A run. Its parts are dropped in the order of the fields, so the fake engines and the folder
/// outlive the processes that use them.
pub(super) struct Run<'a> {
    plan: &'a Plan,
    change_maker: Option<ChangeMaker>,
    fleet_monitor: FleetMonitor,
    lightweight: LightweightProcesses,
    real: RealGateways,
    control: ControlPlane,
    _engines: FakeUpstreams,
    _layout: Layout,
    /// The largest total resident memory of all processes so far, in bytes.
    peak_memory: u64,
}

impl<'a> Run<'a> {
    /// Starts the fake engines, the control processes, the real gateways, and the processes of
    /// lightweight gateways, without any lightweight gateway.
    pub(super) fn start(plan: &'a Plan) -> Result<Self, FleetRunError> {
        let layout = Layout::new()?;
        let serve = program("violetgate")?;
        let engines = FakeUpstreams::start(plan.engines, Profile::default())
            .map_err(FleetRunError::io("start fake engines"))?;
        let control = ControlPlane::start(&ControlSetup {
            plan,
            layout: &layout,
            program: &serve,
            engines: &engines,
        })?;
        let fleet_monitor = FleetMonitor::start(control.managements());
        let real = RealGateways::start(plan, &layout, &serve, &engines)?;
        let files = LightweightFiles::write(plan, &layout, &engines)?;
        let lightweight = LightweightProcesses::start(plan, &files)?;
        Ok(Run {
            plan,
            change_maker: None,
            fleet_monitor,
            lightweight,
            real,
            control,
            _engines: engines,
            _layout: layout,
            peak_memory: 0,
        })
    }

    /// Runs all phases and adds their figures.
    pub(super) fn measure(mut self, figures: &mut Figures) -> Result<(), FleetRunError> {
        let began = Instant::now();
        let apis = self.control.apis();
        let senders = self.lightweight.senders().clone();
        let change_maker = ChangeMaker::start(apis, self.plan.changes_per_second, senders);
        self.change_maker = Some(change_maker);
        self.grow(self.plan.first_step)?;
        let first_step_messages = self.voter_messages_per_second()?;
        self.grow(self.plan.lightweight)?;
        let serving = self.real.count_serving_queries();
        let not_answering = self.plan.real - serving.min(self.plan.real);
        figures.at_most("scale_real_not_answering", not_answering as f64, 0.0);
        self.wait(self.plan.settle)?;
        self.measure_steady(first_step_messages, figures)?;
        self.kill_observer(figures)?;
        self.kill_leader(figures)?;
        self.restart_gateways_at_once(figures)?;
        self.compare_sequences(figures)?;
        self.add_sizes(figures);
        figures.add_number("scale_run_s", began.elapsed().as_secs_f64());
        Ok(())
    }

    /// Starts lightweight gateways until `gateways` run, and waits until all of them and the real
    /// ones serve.
    fn grow(&mut self, gateways: usize) -> Result<(), FleetRunError> {
        let plan = self.plan;
        let per_second = (plan.starts_per_second / plan.processes.max(1) as u32).max(1);
        let senders = self.lightweight.senders();
        senders.send_each(|process| Command::Start {
            running: plan.share(gateways, process),
            per_second: Some(per_second),
        });
        self.wait_until_serving(gateways)
    }

    /// Waits until `gateways` lightweight gateways and all real ones serve.
    fn wait_until_serving(&mut self, gateways: usize) -> Result<(), FleetRunError> {
        let deadline = Instant::now() + SERVE_TIMEOUT;
        loop {
            self.lightweight.check()?;
            let lightweight = self.lightweight.all_gates();
            let real = self.real.serving();
            if lightweight.serving == gateways && real == self.plan.real {
                return Ok(());
            }
            if Instant::now() > deadline {
                let log = last_lines(&self.real.first_log());
                return Err(FleetRunError::Late {
                    what: format!(
                        "the start of service by {gateways} hollow and {} real front ends",
                        self.plan.real
                    ),
                    seconds: SERVE_TIMEOUT.as_secs(),
                    found: format!(
                        "{} hollow front ends run, {} of them and {real} real ones serve; {log}",
                        lightweight.running, lightweight.serving
                    ),
                });
            }
            std::thread::sleep(SERVE_CHECK_INTERVAL);
        }
    }

    /// Sleeps while the run goes on, then updates the peak memory and checks that no process of
    /// lightweight gateways has ended.
    fn wait(&mut self, time: Duration) -> Result<(), FleetRunError> {
        std::thread::sleep(time);
        self.update_peak_memory();
        self.lightweight.check()
    }

    fn update_peak_memory(&mut self) {
        let memory = ProcessUsage::sum(self.pids()).resident_bytes;
        self.peak_memory = self.peak_memory.max(memory);
    }

    /// Returns the ids of all processes of the run, including this one.
    fn pids(&self) -> Vec<u32> {
        let control = self.control.pids();
        [
            vec![std::process::id()],
            control.voters,
            control.observers,
            self.lightweight.pids(),
            self.real.pids(),
        ]
        .concat()
    }

    /// Returns the changes that were answered so far, in order.
    fn changes(&self) -> Vec<Change> {
        let change_maker = self.change_maker.as_ref();
        change_maker.map(ChangeMaker::changes).unwrap_or_default()
    }

    /// Returns the changes in force at each process of lightweight gateways, and last those in
    /// force at the whole fleet according to the observers' summaries.
    fn in_force_reports(&self) -> Vec<InForceReports> {
        let fleet = in_force_reports(&self.fleet_monitor.revisions(), &self.changes());
        let mut reports = self.lightweight.in_force_reports();
        reports.push(fleet);
        reports
    }

    /// Returns the changes in force at each real gateway, whose metrics are read once a second.
    fn real_in_force_reports(&self) -> Vec<InForceReports> {
        let changes = self.changes();
        let observed = self.real.observed();
        let observed = observed.iter();
        observed
            .map(|gateway| in_force_reports(&gateway.revisions, &changes))
            .collect()
    }

    fn add_sizes(&mut self, figures: &mut Figures) {
        self.update_peak_memory();
        let parts: Vec<_> = self.plan.parts.iter().copied().map(Part::name).collect();
        figures.add("scale_front_ends", self.plan.gateways());
        figures.add("scale_real_front_ends", self.plan.real);
        figures.add("scale_processes", self.pids().len());
        figures.add("scale_parts", parts.join("+"));
        figures.add_number(
            "scale_run_memory_mb",
            self.peak_memory as f64 / BYTES_PER_MB,
        );
        figures.at_most("scale_crashed", self.control.crash_count() as f64, 0.0);
    }

    /// Adds a figure that is a time or depends on time. Only the long form checks it against its
    /// bound; NaN, for something that never happened, fails in both forms.
    fn add_timed(&self, name: &str, value: f64, bound: f64, figures: &mut Figures) {
        let bound = if self.plan.short {
            f64::INFINITY
        } else {
            bound
        };
        figures.at_most(name, value, bound);
    }
}

/// Returns the last lines of a log, without those of the management interface.
fn last_lines(log: &str) -> String {
    let lines: Vec<_> = log
        .lines()
        .filter(|line| !line.starts_with("management"))
        .collect();
    let first = lines.len().saturating_sub(LAST_LOG_LINES);
    lines.get(first..).unwrap_or_default().join(" | ")
}
