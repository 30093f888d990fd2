//! Starts the processes of lightweight gateways, sends them commands, reads their reports, and ends
//! them with the run.

use std::io::{BufRead, BufReader, Write};
use std::path::Path;
use std::process::{Child, ChildStdin, ChildStdout, Command as ProcessCommand, Stdio};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use violetgate_replicated_state::Micros;
use violetgate_test_harness::{lock, wait_until};

use super::error::FleetRunError;
use super::files::LightweightFiles;
use super::layout::program;
use super::plan::Plan;
use super::propagation::{InForceReport, InForceReports};
use crate::lightweight_gateway::protocol::{Command, Report, Totals};
use crate::lightweight_gateway::Part;

/// How long all processes may take to end by themselves before they are killed.
const EXIT_TIMEOUT: Duration = Duration::from_secs(5);
/// The interval at which the end of the processes is checked.
const EXIT_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// The number of gateways that run in a process and of those whose gates are open, and the time of
/// the last change of either. A gateway whose gate is open may send requests.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct GateCounts {
    pub at: Micros,
    pub running: usize,
    pub serving: usize,
}

/// The latest reports of one process.
#[derive(Default)]
struct Reported {
    gates: GateCounts,
    in_force: InForceReports,
    totals: Totals,
    failure: Option<String>,
}

/// The standard inputs of all processes, through which they get commands.
pub(super) struct CommandSenders(Mutex<Vec<ChildStdin>>);

impl CommandSenders {
    /// Sends a command to all processes. Write errors are ignored, as
    /// [`LightweightProcesses::check`] finds processes that have ended.
    pub(super) fn send(&self, command: &Command) {
        self.send_each(|_| command.clone());
    }

    /// Sends each process a command of its own, which `command` makes from the process's index.
    pub(super) fn send_each(&self, command: impl Fn(usize) -> Command) {
        for (process, input) in lock(&self.0).iter_mut().enumerate() {
            if let Ok(line) = serde_json::to_string(&command(process)) {
                let _ = writeln!(input, "{line}");
            }
        }
    }
}

/// All processes of lightweight gateways.
pub(super) struct LightweightProcesses {
    children: Vec<Child>,
    reported: Vec<Arc<Mutex<Reported>>>,
    senders: Arc<CommandSenders>,
}

impl Drop for LightweightProcesses {
    fn drop(&mut self) {
        // A process ends when its standard input is closed.
        lock(&self.senders.0).clear();
        let children = &mut self.children;
        wait_until(EXIT_TIMEOUT, EXIT_CHECK_INTERVAL, || {
            let mut all = children.iter_mut();
            all.all(|child| !matches!(child.try_wait(), Ok(None)))
        });
        for child in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl LightweightProcesses {
    /// Starts the processes of a plan. They run no gateways until a command starts some.
    pub(super) fn start(plan: &Plan, files: &LightweightFiles) -> Result<Self, FleetRunError> {
        let program = program("hollow-front-ends")?;
        let mut processes = LightweightProcesses {
            children: Vec::new(),
            reported: Vec::new(),
            senders: Arc::new(CommandSenders(Mutex::default())),
        };
        let mut first = 0;
        for process in 0..plan.processes {
            let count = plan.share(plan.lightweight, process);
            processes.add(spawn(&program, plan, files, first, count)?);
            first += count;
        }
        Ok(processes)
    }

    fn add(&mut self, mut child: Child) {
        let (input, output) = (child.stdin.take(), child.stdout.take());
        self.children.push(child);
        lock(&self.senders.0).extend(input);
        let reported = Arc::new(Mutex::new(Reported::default()));
        self.reported.push(Arc::clone(&reported));
        if let Some(output) = output {
            std::thread::spawn(move || read_reports(output, &reported));
        }
    }

    /// Returns the senders of commands to all processes.
    pub(super) fn senders(&self) -> &Arc<CommandSenders> {
        &self.senders
    }

    /// Returns the ids of all processes.
    pub(super) fn pids(&self) -> Vec<u32> {
        self.children.iter().map(Child::id).collect()
    }

    /// Returns an error if a process has ended or reported a failure.
    pub(super) fn check(&mut self) -> Result<(), FleetRunError> {
        let children = self.children.iter_mut().zip(&self.reported);
        for (process, (child, reported)) in children.enumerate() {
            let failure = lock(reported).failure.clone();
            let status = child.try_wait().ok().flatten();
            let ended = status.map(|status| status.to_string());
            if let Some(cause) = failure.or(ended) {
                return Err(FleetRunError::Ended {
                    name: format!("hollow-front-ends {process}"),
                    cause,
                });
            }
        }
        Ok(())
    }

    /// Returns the gates of each process.
    pub(super) fn gates(&self) -> Vec<GateCounts> {
        let reported = self.reported.iter();
        reported.map(|reported| lock(reported).gates).collect()
    }

    /// Returns the summed gates of all processes; `at` is the time of the latest change.
    pub(super) fn all_gates(&self) -> GateCounts {
        let gates = self.gates().into_iter();
        gates.fold(GateCounts::default(), |sum, gates| GateCounts {
            at: sum.at.max(gates.at),
            running: sum.running + gates.running,
            serving: sum.serving + gates.serving,
        })
    }

    /// Returns the summed latest totals of all processes.
    pub(super) fn totals(&self) -> Totals {
        let mut sum = Totals::default();
        for reported in &self.reported {
            sum.add(lock(reported).totals.clone());
        }
        sum
    }

    /// Returns each process's reports of changes in force.
    pub(super) fn in_force_reports(&self) -> Vec<InForceReports> {
        let reported = self.reported.iter();
        reported
            .map(|reported| lock(reported).in_force.clone())
            .collect()
    }
}

fn spawn(
    program: &Path,
    plan: &Plan,
    files: &LightweightFiles,
    first: usize,
    count: usize,
) -> Result<Child, FleetRunError> {
    let parts: Vec<_> = plan.parts.iter().copied().map(Part::name).collect();
    ProcessCommand::new(program)
        .arg("--config")
        .arg(&files.config)
        .arg("--settings")
        .arg(&files.settings)
        .args(["--first", &first.to_string()])
        .args(["--count", &count.to_string()])
        .args(["--seed", &plan.seed.to_string()])
        .args(["--parts", &parts.join(",")])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .map_err(FleetRunError::io("start hollow-front-ends"))
}

fn read_reports(output: ChildStdout, reported: &Mutex<Reported>) {
    let lines = BufReader::new(output).lines().map_while(Result::ok);
    for line in lines {
        let report = serde_json::from_str(&line);
        let mut reported = lock(reported);
        match report {
            Ok(Report::InForce { change, at, .. }) => {
                let number = change;
                reported.in_force.push(InForceReport { number, at });
            }
            Ok(Report::Gates {
                at,
                running,
                serving,
            }) => {
                reported.gates = GateCounts {
                    at,
                    running,
                    serving,
                }
            }
            Ok(Report::Totals(totals)) => reported.totals = totals,
            Ok(Report::Failed { cause }) => reported.failure = Some(cause),
            Err(error) => reported.failure = Some(format!("invalid report: {error}")),
        }
    }
}
