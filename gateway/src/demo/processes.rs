//! The gateways' processes, and the commands that the user types while the demo runs.

use std::path::PathBuf;
use std::process::{Child, ExitStatus};
use std::sync::mpsc::{channel, Receiver};
use std::time::Duration;

use async_io::Timer;
use rustix::process::{kill_process, Pid, Signal};

use super::instance::Instance;
use super::DemoError;

/// The interval at which ended processes and typed commands are looked for.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// One gateway of the demo, and its process if it is running.
struct Process<'a> {
    instance: &'a Instance,
    child: Option<Child>,
}

/// The processes of all gateways of the demo.
pub(super) struct Processes<'a> {
    program: PathBuf,
    all: Vec<Process<'a>>,
}

impl<'a> Processes<'a> {
    /// Creates an empty set of processes, which will run `program`.
    pub(super) fn new(program: PathBuf) -> Self {
        Processes {
            program,
            all: Vec::new(),
        }
    }

    /// Starts a gateway. Its files must have been written before.
    pub(super) fn start(&mut self, instance: &'a Instance) -> Result<(), DemoError> {
        instance.initialize_member(&self.program)?;
        let child = Some(instance.serve(&self.program)?);
        self.all.push(Process { instance, child });
        Ok(())
    }

    /// Watches the processes until the last has ended, and carries out typed commands meanwhile. If
    /// the demo has several gateways, the end of each process is reported, and its instance can be
    /// started again. Fails if the last process to end exits with a failure.
    pub(super) async fn watch(&mut self) -> Result<(), DemoError> {
        let commands = typed_lines();
        loop {
            let last_ended = self.take_ended()?;
            if self.all.iter().all(|process| process.child.is_none()) {
                return match last_ended {
                    Some(status) if !status.success() => Err(DemoError::Failed(status)),
                    _ => Ok(()),
                };
            }
            while let Ok(command) = commands.try_recv() {
                self.carry_out(&command)?;
            }
            Timer::after(CHECK_INTERVAL).await;
        }
    }

    /// Collects the processes that have ended since the last call, and reports them if the demo has
    /// several gateways. Returns the exit status of the one with the highest instance number.
    fn take_ended(&mut self) -> Result<Option<ExitStatus>, DemoError> {
        let is_one_of_several = self.all.len() > 1;
        let mut last_ended = None;
        for process in &mut self.all {
            let Some(child) = &mut process.child else {
                continue;
            };
            let Some(status) = child.try_wait().map_err(DemoError::Wait)? else {
                continue;
            };
            process.child = None;
            last_ended = Some(status);
            if is_one_of_several {
                let id = process.instance.number;
                println!("instance {id} has ended ({status}); type `start {id}` to restart it");
            }
        }
        Ok(last_ended)
    }

    /// Carries out a typed command. The only one is `start N`.
    fn carry_out(&mut self, command: &str) -> Result<(), DemoError> {
        let number = command.trim().strip_prefix("start");
        let number = number.and_then(|number| number.trim().parse::<usize>().ok());
        let count = self.all.len();
        let process = number.and_then(|number| self.all.get_mut(number.checked_sub(1)?));
        match process {
            Some(process) if process.child.is_some() => println!("the instance is already running"),
            Some(process) => process.child = Some(process.instance.serve(&self.program)?),
            None if command.trim().is_empty() => {}
            None => println!("`start N`, N from 1 to {count}, restarts an instance"),
        }
        Ok(())
    }

    /// Terminates all processes and waits for them. Returns the first error in the order of the
    /// instances.
    pub(super) fn stop(self) -> Result<(), DemoError> {
        let children = self.all.into_iter().filter_map(|process| process.child);
        let mut children: Vec<_> = children.collect();
        children.iter().for_each(terminate);
        let results: Vec<_> = children.iter_mut().map(wait_for_success).collect();
        results.into_iter().collect()
    }
}

fn terminate(child: &Child) {
    if let Some(pid) = i32::try_from(child.id()).ok().and_then(Pid::from_raw) {
        let _ = kill_process(pid, Signal::TERM);
    }
}

fn wait_for_success(child: &mut Child) -> Result<(), DemoError> {
    match child.wait() {
        Ok(status) if status.success() => Ok(()),
        Ok(status) => Err(DemoError::Failed(status)),
        Err(error) => Err(DemoError::Wait(error)),
    }
}

/// Receives the lines that the user types. A separate thread reads standard input, because that
/// blocks. The thread ends with the program at the latest.
fn typed_lines() -> Receiver<String> {
    let (sender, lines) = channel();
    std::thread::spawn(move || {
        for line in std::io::stdin().lines().map_while(Result::ok) {
            if sender.send(line).is_err() {
                break;
            }
        }
    });
    lines
}
