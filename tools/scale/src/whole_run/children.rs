//! The processes of hollow front ends: started, commanded, listened to, and ended with the run.

use std::io::{BufRead, BufReader, Write};
use std::path::Path;
use std::process::{Child, ChildStdin, ChildStdout, Command as Program, Stdio};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use violetgate_replicated_state::Micros;

use super::in_force::Reached;
use super::{layout, Plan, WholeRunError};
use crate::hollow::process::Part;
use crate::hollow::report::{Command, Report, Totals};

/// How long a process may take to end by itself.
const END: Duration = Duration::from_secs(5);

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// How many gates are open in a process, and since when.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Gates {
    pub at: Micros,
    pub running: usize,
    pub serving: usize,
}

/// What a process has reported.
#[derive(Default)]
struct Reported {
    gates: Gates,
    in_force: Reached,
    totals: Totals,
    failed: Option<String>,
}

/// Where commands for all processes go.
pub(super) struct Inputs(Mutex<Vec<ChildStdin>>);

impl Inputs {
    /// Sends a command to all processes. One that has ended is noticed by [`Children::check`].
    pub(super) fn send(&self, command: &Command) {
        self.send_each(|_| command.clone());
    }

    /// Sends each process its own command.
    pub(super) fn send_each(&self, command: impl Fn(usize) -> Command) {
        for (process, input) in lock(&self.0).iter_mut().enumerate() {
            if let Ok(line) = serde_json::to_string(&command(process)) {
                let _ = writeln!(input, "{line}");
            }
        }
    }
}

/// All processes of hollow front ends.
pub(super) struct Children {
    children: Vec<Child>,
    reported: Vec<Arc<Mutex<Reported>>>,
    inputs: Arc<Inputs>,
}

impl Drop for Children {
    fn drop(&mut self) {
        // The end of its input ends a process.
        lock(&self.inputs.0).clear();
        let until = Instant::now() + END;
        for child in &mut self.children {
            while matches!(child.try_wait(), Ok(None)) && Instant::now() < until {
                std::thread::sleep(Duration::from_millis(10));
            }
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Children {
    /// Starts the processes of a plan, without any front end yet.
    pub(super) fn start(
        plan: &Plan,
        config: &Path,
        settings: &Path,
    ) -> Result<Self, WholeRunError> {
        let program = layout::program("hollow-front-ends")?;
        let mut children = Children {
            children: Vec::new(),
            reported: Vec::new(),
            inputs: Arc::new(Inputs(Mutex::default())),
        };
        let parts: Vec<_> = plan.parts.iter().copied().map(Part::name).collect();
        let mut first = 0;
        for process in 0..plan.processes {
            let count = plan.share(plan.hollow, process);
            let mut child = Program::new(&program)
                .arg("--config")
                .arg(config)
                .arg("--settings")
                .arg(settings)
                .args(["--first", &first.to_string(), "--count", &count.to_string()])
                .args([
                    "--seed",
                    &plan.seed.to_string(),
                    "--parts",
                    &parts.join(","),
                ])
                .stdin(Stdio::piped())
                .stdout(Stdio::piped())
                .stderr(Stdio::null())
                .spawn()
                .map_err(WholeRunError::machine("start hollow-front-ends"))?;
            let (input, output) = (child.stdin.take(), child.stdout.take());
            children.children.push(child);
            lock(&children.inputs.0).extend(input);
            let reported = Arc::new(Mutex::new(Reported::default()));
            children.reported.push(Arc::clone(&reported));
            if let Some(output) = output {
                std::thread::spawn(move || listen(output, &reported));
            }
            first += count;
        }
        Ok(children)
    }

    /// Where commands go.
    pub(super) fn inputs(&self) -> &Arc<Inputs> {
        &self.inputs
    }

    /// Their process ids.
    pub(super) fn pids(&self) -> Vec<u32> {
        self.children.iter().map(Child::id).collect()
    }

    /// Fails if a process has ended.
    pub(super) fn check(&mut self) -> Result<(), WholeRunError> {
        for (process, child) in self.children.iter_mut().enumerate() {
            let failed = self
                .reported
                .get(process)
                .and_then(|r| lock(r).failed.clone());
            let ended = child
                .try_wait()
                .ok()
                .flatten()
                .map(|status| status.to_string());
            let Some(cause) = failed.or(ended) else {
                continue;
            };
            return Err(WholeRunError::Ended {
                name: format!("hollow-front-ends {process}"),
                cause,
            });
        }
        Ok(())
    }

    /// The gates of each process.
    pub(super) fn gates(&self) -> Vec<Gates> {
        self.reported
            .iter()
            .map(|reported| lock(reported).gates)
            .collect()
    }

    /// Front ends that run, and those whose gates are open, over all processes.
    pub(super) fn running_and_serving(&self) -> (usize, usize) {
        let gates = self.gates();
        (
            gates.iter().map(|g| g.running).sum(),
            gates.iter().map(|g| g.serving).sum(),
        )
    }

    /// The latest totals of each process.
    pub(super) fn totals(&self) -> Vec<Totals> {
        self.reported
            .iter()
            .map(|reported| lock(reported).totals.clone())
            .collect()
    }

    /// What each process has reached.
    pub(super) fn reached(&self) -> Vec<Reached> {
        self.reported
            .iter()
            .map(|reported| lock(reported).in_force.clone())
            .collect()
    }
}

fn listen(output: ChildStdout, reported: &Mutex<Reported>) {
    let lines = BufReader::new(output).lines().map_while(Result::ok);
    for line in lines {
        let mut reported = lock(reported);
        match serde_json::from_str(&line) {
            Ok(Report::InForce { change, at, .. }) => reported.in_force.push((change, at)),
            Ok(Report::Gates {
                at,
                running,
                serving,
            }) => {
                reported.gates = Gates {
                    at,
                    running,
                    serving,
                }
            }
            Ok(Report::Totals(totals)) => reported.totals = totals,
            Ok(Report::Failed { cause }) => reported.failed = Some(cause),
            Err(error) => reported.failed = Some(format!("a report can't be read: {error}")),
        }
    }
}
