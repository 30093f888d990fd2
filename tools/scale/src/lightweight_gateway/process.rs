//! A process of lightweight gateways: starts them, checks each of them at a fixed interval, and
//! reports on them.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io::BufRead;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::mpsc::{self, Receiver, TryRecvError};
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Timer;
use violetgate::control::Clock;
use violetgate::settings;
use violetgate_replicated_state::Micros;

use super::gateway::{GatewayTemplate, LightweightGateway};
use super::progress::{write_report, GateCounts, Progress};
use super::protocol::{now, Command, FleetSizeRange, Report, SequenceCount, Totals};
use super::{LightweightGatewayError, Part};

/// How often each gateway is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// How often totals are reported, in microseconds.
const TOTALS_INTERVAL: Micros = 250_000;
const MICROS_PER_SECOND: Micros = 1_000_000;

/// The command-line arguments of a process.
#[derive(Debug, Clone, clap::Parser)]
#[command(about = "Runs hollow front ends by commands on standard input, until it is closed")]
pub struct Arguments {
    /// The file with the platform's configuration (JSON), the same for all front ends
    #[arg(long)]
    pub config: PathBuf,
    /// The file with the operators' settings (HCL); the port of `fleet.listen` is that of front end
    /// 0
    #[arg(long)]
    pub settings: PathBuf,
    /// The index of the first front end
    #[arg(long, default_value_t = 0)]
    pub first: usize,
    /// The number of front ends
    #[arg(long)]
    pub count: usize,
    /// The seed of random numbers
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// The parts that each front end runs
    #[arg(
        long,
        value_delimiter = ',',
        default_value = "subscription,bus,membership,decisions"
    )]
    pub parts: Vec<Part>,
}

/// Runs the gateways until standard input is closed.
///
/// # Errors
///
/// Returns an error if a file can't be read or is not valid, or if a gateway can't start.
pub fn run(arguments: &Arguments) -> Result<(), LightweightGatewayError> {
    let config = read_file(&arguments.config)?;
    let settings = settings::read(Some(&arguments.settings));
    let settings = settings.map_err(|cause| LightweightGatewayError::Settings {
        path: arguments.settings.clone(),
        cause,
    })?;
    let template = GatewayTemplate {
        config,
        settings,
        parts: arguments.parts.clone(),
        clock: Clock::start(),
        seed: arguments.seed,
    };
    let executor = Rc::new(LocalExecutor::new());
    let process = Process::new(Rc::clone(&executor), template, arguments);
    async_io::block_on(executor.run(process.run(&read_commands())))
}

fn read_file(path: &Path) -> Result<String, LightweightGatewayError> {
    std::fs::read_to_string(path).map_err(|cause| LightweightGatewayError::File {
        path: path.to_owned(),
        cause,
    })
}

/// Reads commands in a thread of its own. The channel is closed when standard input is.
fn read_commands() -> Receiver<Command> {
    let (sender, receiver) = mpsc::channel();
    std::thread::spawn(move || {
        let lines = std::io::stdin().lock().lines().map_while(Result::ok);
        for command in lines.filter_map(|line| serde_json::from_str(&line).ok()) {
            if sender.send(command).is_err() {
                return;
            }
        }
    });
    receiver
}

/// The slot of one gateway in the process. It is empty while the gateway does not run.
struct Slot {
    index: usize,
    gateway: Option<LightweightGateway>,
    /// Whether the gateway's gate was open at the last check.
    was_open: bool,
}

struct Process {
    executor: Rc<LocalExecutor<'static>>,
    template: GatewayTemplate,
    slots: RefCell<Vec<Slot>>,
    starts: RefCell<StartSchedule>,
    progress: RefCell<Progress>,
}

/// The number of gateways that should run, and the rate at which they start.
#[derive(Default)]
struct StartSchedule {
    running: usize,
    /// The rate of starts; `None` starts all gateways at once.
    per_second: Option<u32>,
    since: Micros,
    started: u64,
}

impl StartSchedule {
    /// Returns how many gateways may start now.
    fn due(&self, now: Micros) -> u64 {
        let Some(per_second) = self.per_second else {
            return u64::MAX;
        };
        let elapsed = now.saturating_sub(self.since);
        let due = elapsed * u64::from(per_second) / MICROS_PER_SECOND;
        due.saturating_sub(self.started)
    }
}

impl Process {
    fn new(
        executor: Rc<LocalExecutor<'static>>,
        template: GatewayTemplate,
        arguments: &Arguments,
    ) -> Self {
        let indices = arguments.first..arguments.first + arguments.count;
        let empty_slot = |index| Slot {
            index,
            gateway: None,
            was_open: false,
        };
        Process {
            executor,
            template,
            slots: RefCell::new(indices.map(empty_slot).collect()),
            starts: RefCell::default(),
            progress: RefCell::default(),
        }
    }

    async fn run(&self, commands: &Receiver<Command>) -> Result<(), LightweightGatewayError> {
        loop {
            loop {
                match commands.try_recv() {
                    Ok(command) => self.execute(&command),
                    Err(TryRecvError::Empty) => break,
                    Err(TryRecvError::Disconnected) => return Ok(()),
                }
            }
            self.start_due_gateways()?;
            self.check_gateways();
            Timer::after(CHECK_INTERVAL).await;
        }
    }

    fn start_due_gateways(&self) -> Result<(), LightweightGatewayError> {
        let mut slots = self.slots.borrow_mut();
        let mut starts = self.starts.borrow_mut();
        let mut due = starts.due(now());
        for slot in slots.iter_mut().take(starts.running) {
            if due == 0 {
                break;
            }
            if slot.gateway.is_none() {
                let gateway =
                    LightweightGateway::start(&self.executor, &self.template, slot.index)?;
                slot.gateway = Some(gateway);
                starts.started += 1;
                due -= 1;
            }
        }
        Ok(())
    }

    fn execute(&self, command: &Command) {
        match command {
            Command::Answered { revision, at } => {
                self.progress.borrow_mut().on_answered(*revision, *at);
            }
            Command::Kill { count } => self.kill(*count),
            Command::Start {
                running,
                per_second,
            } => {
                *self.starts.borrow_mut() = StartSchedule {
                    running: *running,
                    per_second: *per_second,
                    since: now(),
                    started: 0,
                };
            }
        }
    }

    fn kill(&self, count: usize) {
        // The schedule is cleared, so that the killed gateways don't start again before the next
        // `Start` command.
        *self.starts.borrow_mut() = StartSchedule::default();
        let mut slots = self.slots.borrow_mut();
        let mut progress = self.progress.borrow_mut();
        for slot in slots.iter_mut().take(count) {
            slot.was_open = false;
            if let Some(gateway) = slot.gateway.take() {
                progress.on_ended(&gateway);
            }
        }
    }

    /// Checks whether the gate of each gateway is open, and whether an open one has the required
    /// state. Reports the gates, the changes in force at all serving gateways, and the totals if
    /// they are due.
    fn check_gateways(&self) {
        let mut slots = self.slots.borrow_mut();
        let mut progress = self.progress.borrow_mut();
        progress.update_required_revision(now(), self.template.drain_limit());
        let mut gates = GateCounts::default();
        let mut in_force: Option<u64> = None;
        for slot in slots.iter_mut() {
            let Some(gateway) = &slot.gateway else {
                continue;
            };
            gates.running += 1;
            let is_open = gateway.is_open();
            progress.gate_closures += u64::from(slot.was_open && !is_open);
            slot.was_open = is_open;
            if !is_open {
                continue;
            }
            gates.serving += 1;
            progress.stale += u64::from(gateway.revision() < progress.required_revision);
            let last = gateway.sequence().last;
            in_force = Some(in_force.map_or(last, |least| least.min(last)));
        }
        progress.report_gates(gates);
        progress.report_in_force(in_force.unwrap_or(0), gates.serving);
        let at = now();
        if progress.take_totals_due(at, TOTALS_INTERVAL) {
            write_report(&Report::Totals(totals(&slots, &progress, at)));
        }
    }
}

fn totals(slots: &[Slot], progress: &Progress, at: Micros) -> Totals {
    let mut totals = Totals {
        at,
        gate_closures: progress.gate_closures,
        stale: progress.stale,
        faults: progress.ended_faults,
        traffic: progress.ended_traffic,
        ..Totals::default()
    };
    let mut sequences = BTreeMap::new();
    for slot in slots {
        let Some(gateway) = &slot.gateway else {
            continue;
        };
        totals.running += 1;
        totals.serving += usize::from(slot.was_open);
        totals.faults.add(gateway.faults());
        totals.traffic.add(gateway.traffic());
        totals.with_bus_events += usize::from(gateway.has_bus_events());
        *sequences.entry(gateway.sequence()).or_insert(0) += 1;
        if let Some(observer) = gateway.watched_observer() {
            *totals.gateways_by_observer.entry(observer).or_default() += 1;
        }
        let sizes = [
            totals.fleet_sizes,
            gateway.fleet_size().map(FleetSizeRange::from),
        ];
        totals.fleet_sizes = sizes.into_iter().flatten().reduce(FleetSizeRange::union);
    }
    let counted = |(sequence, gateways)| SequenceCount { sequence, gateways };
    totals.sequences = sequences.into_iter().map(counted).collect();
    totals
}
