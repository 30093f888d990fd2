//! A process of hollow front ends: starts them, looks at each of them now and then, and reports.

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::io::{BufRead, Write};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::mpsc::{self, Receiver, TryRecvError};
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Timer;
use clap::ValueEnum;
use violetgate::control::Clock;
use violetgate::settings;
use violetgate_replicated_state::{Micros, Revision};

use super::front_end::{FrontEnd, Template};
use super::report::{now, Command, Report, SequenceCount, Totals, Traffic};
use super::HollowError;

/// How often each front end is looked at.
const LOOK: Duration = Duration::from_millis(50);
/// How often totals are reported.
const REPORT_EVERY: Micros = 250_000;
/// The most answered changes that are waited for at a time.
const MOST_ANSWERED: usize = 4_096;

/// A part of the control plane.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Part {
    /// Agreed state by subscription to observers.
    Subscription,
    /// The event bus client.
    Bus,
    /// Membership of the fleet.
    Membership,
    /// The decision module's view of engines.
    Decisions,
}

impl Part {
    /// All parts.
    #[must_use]
    pub fn all() -> Vec<Part> {
        Part::value_variants().to_vec()
    }

    /// Its name on the command line.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Part::Subscription => "subscription",
            Part::Bus => "bus",
            Part::Membership => "membership",
            Part::Decisions => "decisions",
        }
    }
}

/// What a process is given at its start.
#[derive(Debug, Clone, clap::Parser)]
#[command(about = "Runs hollow front ends, commanded on standard input until that ends")]
pub struct Given {
    /// The platform's configuration (JSON), the same for all
    #[arg(long)]
    pub config: PathBuf,
    /// The operators' settings (HCL); the port of `fleet.listen` is that of front end 0
    #[arg(long)]
    pub settings: PathBuf,
    /// The index of the first front end
    #[arg(long, default_value_t = 0)]
    pub first: usize,
    /// How many front ends
    #[arg(long)]
    pub count: usize,
    /// Where random numbers begin
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// The parts that run
    #[arg(
        long,
        value_delimiter = ',',
        default_value = "subscription,bus,membership,decisions"
    )]
    pub parts: Vec<Part>,
}

fn read(path: &Path) -> Result<String, HollowError> {
    std::fs::read_to_string(path).map_err(|cause| HollowError::File {
        path: path.to_owned(),
        cause,
    })
}

/// Runs the front ends until standard input ends.
///
/// # Errors
///
/// A file can't be used, or a front end can't start.
pub fn run(given: &Given) -> Result<(), HollowError> {
    let config = read(&given.config)?;
    let settings = settings::read(Some(&given.settings));
    let settings = settings.map_err(|cause| HollowError::Settings {
        path: given.settings.clone(),
        cause: cause.to_string(),
    })?;
    let template = Template {
        config,
        settings,
        parts: given.parts.clone(),
        clock: Clock::start(),
        seed: given.seed,
    };
    let executor = Rc::new(LocalExecutor::new());
    let process = Process::new(Rc::clone(&executor), template, given);
    async_io::block_on(executor.run(process.run(&commands())))
}

/// Reads commands in a thread of its own; the channel closes where standard input ends.
fn commands() -> Receiver<Command> {
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

fn report(report: &Report) {
    if let Ok(line) = serde_json::to_string(report) {
        // A run that no longer reads has ended, and so does this process soon.
        let _ = writeln!(std::io::stdout().lock(), "{line}");
    }
}

/// A front end's place in the process: empty while it is ended.
struct Place {
    index: usize,
    front_end: Option<FrontEnd>,
    open: bool,
}

struct Process {
    executor: Rc<LocalExecutor<'static>>,
    template: Template,
    places: RefCell<Vec<Place>>,
    starts: RefCell<Starts>,
    progress: RefCell<Progress>,
}

/// Which front ends are to start, and how fast.
#[derive(Default)]
struct Starts {
    running: usize,
    per_second: Option<u32>,
    since: Micros,
    started: u64,
}

impl Starts {
    /// How many may start now.
    fn due(&self, now: Micros) -> u64 {
        let Some(per_second) = self.per_second else {
            return u64::MAX;
        };
        let elapsed = now.saturating_sub(self.since);
        (elapsed * u64::from(per_second) / 1_000_000).saturating_sub(self.started)
    }
}

/// What was found and reported so far.
#[derive(Default)]
struct Progress {
    /// Changes answered of late, in order.
    answered: VecDeque<(Micros, Revision)>,
    /// The revision that each open gate has to stand on.
    due: Revision,
    gates_shut: u64,
    stale: u64,
    in_force: u64,
    gates: (usize, usize),
    reported: Micros,
    /// Bytes and faults of front ends that have ended.
    ended: Traffic,
    faults: super::changes::Faults,
}

impl Process {
    fn new(executor: Rc<LocalExecutor<'static>>, template: Template, given: &Given) -> Self {
        let indices = given.first..given.first + given.count;
        let places = indices
            .map(|index| Place {
                index,
                front_end: None,
                open: false,
            })
            .collect();
        Process {
            executor,
            template,
            places: RefCell::new(places),
            starts: RefCell::default(),
            progress: RefCell::default(),
        }
    }

    async fn run(&self, commands: &Receiver<Command>) -> Result<(), HollowError> {
        loop {
            loop {
                match commands.try_recv() {
                    Ok(command) => self.obey(&command),
                    Err(TryRecvError::Empty) => break,
                    Err(TryRecvError::Disconnected) => return Ok(()),
                }
            }
            self.start_due()?;
            self.look();
            Timer::after(LOOK).await;
        }
    }

    /// Starts those front ends whose time has come.
    fn start_due(&self) -> Result<(), HollowError> {
        let mut places = self.places.borrow_mut();
        let mut starts = self.starts.borrow_mut();
        let mut due = starts.due(now());
        for place in places.iter_mut().take(starts.running) {
            if due == 0 {
                break;
            }
            if place.front_end.is_none() {
                place.front_end = Some(FrontEnd::start(
                    &self.executor,
                    &self.template,
                    place.index,
                )?);
                starts.started += 1;
                due -= 1;
            }
        }
        Ok(())
    }

    fn obey(&self, command: &Command) {
        match command {
            Command::Answered { revision, at } => {
                let mut progress = self.progress.borrow_mut();
                if progress.answered.len() < MOST_ANSWERED {
                    progress.answered.push_back((*at, *revision));
                }
            }
            Command::Kill { count } => self.kill(*count),
            Command::Start {
                running,
                per_second,
            } => {
                let since = now();
                *self.starts.borrow_mut() = Starts {
                    running: *running,
                    per_second: *per_second,
                    since,
                    started: 0,
                };
            }
        }
    }

    fn kill(&self, count: usize) {
        // What was to run does not start again by itself.
        *self.starts.borrow_mut() = Starts::default();
        let mut places = self.places.borrow_mut();
        let mut progress = self.progress.borrow_mut();
        for place in places.iter_mut().take(count) {
            place.open = false;
            let Some(front_end) = place.front_end.take() else {
                continue;
            };
            progress.ended.add(front_end.traffic());
            progress.faults.add(front_end.faults());
        }
    }

    /// Looks at each gate: whether it is open, on what state, and which changes are in force at all that serve.
    fn look(&self) {
        let mut places = self.places.borrow_mut();
        let mut progress = self.progress.borrow_mut();
        progress.take_due(now(), self.template.drain_limit());
        let (mut running, mut serving, mut in_force) = (0, 0, None);
        for place in places.iter_mut() {
            let Some(front_end) = &place.front_end else {
                continue;
            };
            running += 1;
            let open = front_end.is_open();
            progress.gates_shut += u64::from(place.open && !open);
            place.open = open;
            if !open {
                continue;
            }
            serving += 1;
            progress.stale += u64::from(front_end.revision() < progress.due);
            let last = front_end.sequence().last;
            in_force = Some(in_force.map_or(last, |least: u64| least.min(last)));
        }
        progress.report_gates(running, serving);
        progress.report_in_force(in_force.unwrap_or(0), serving);
        let at = now();
        if at >= progress.reported + REPORT_EVERY {
            progress.reported = at;
            report(&Report::Totals(totals(&places, &progress, at)));
        }
    }
}

impl Progress {
    /// Moves changes that were answered longer ago than the limit to what is due.
    fn take_due(&mut self, now: Micros, limit: Micros) {
        while let Some((at, revision)) = self.answered.front().copied() {
            if at + limit >= now {
                break;
            }
            self.due = self.due.max(revision);
            self.answered.pop_front();
        }
    }

    fn report_gates(&mut self, running: usize, serving: usize) {
        if self.gates != (running, serving) {
            self.gates = (running, serving);
            report(&Report::Gates {
                at: now(),
                running,
                serving,
            });
        }
    }

    fn report_in_force(&mut self, change: u64, serving: usize) {
        if change > self.in_force {
            self.in_force = change;
            report(&Report::InForce {
                change,
                at: now(),
                serving,
            });
        }
    }
}

fn totals(places: &[Place], progress: &Progress, at: Micros) -> Totals {
    let mut totals = Totals {
        at,
        gates_shut: progress.gates_shut,
        stale: progress.stale,
        faults: progress.faults,
        traffic: progress.ended,
        ..Totals::default()
    };
    let mut sequences = BTreeMap::new();
    for place in places {
        let Some(front_end) = &place.front_end else {
            continue;
        };
        totals.running += 1;
        totals.serving += usize::from(place.open);
        totals.faults.add(front_end.faults());
        totals.traffic.add(front_end.traffic());
        totals.bus_heard += usize::from(front_end.bus_heard());
        *sequences.entry(front_end.sequence()).or_insert(0) += 1;
        if let Some(observer) = front_end.watches() {
            *totals.watching.entry(observer).or_insert(0) += 1;
        }
        if let Some(share) = front_end.share() {
            let (least, most) = totals.shares.unwrap_or((share, share));
            totals.shares = Some((least.min(share), most.max(share)));
        }
    }
    let counted = |(sequence, front_ends)| SequenceCount {
        sequence,
        front_ends,
    };
    totals.sequences = sequences.into_iter().map(counted).collect();
    totals
}
