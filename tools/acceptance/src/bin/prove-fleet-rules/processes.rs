//! Runs several processes in front of the same engines: under load, first with restarts one by one
//! and then with a silent event bus, and finally with clients that disconnect.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use rustix::process::Signal;
use violetgate_acceptance::{Result, Verdict};
use violetgate_fake_upstreams::Counts;
use violetgate_fleet_harness::FleetHarness;
use violetgate_test_harness::{lock, program_beside};

use crate::clients::{Load, CLASSES, TENANTS};
use crate::disconnects::{disconnect_unread, disconnect_waiting};
use crate::tally::Tally;
use crate::Arguments;

const PROCESSES: usize = 6;
const SHORT_PROCESSES: usize = 3;
/// How often each process is restarted.
const ROUNDS: usize = 3;
const SHORT_ROUNDS: usize = 1;
const CLIENTS_PER_PROCESS: usize = 4;
/// How long a process may take to end after SIGTERM.
const EXIT_TIMEOUT: Duration = Duration::from_secs(6);
/// How long a process may take until it serves a request.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// How long the load continues after the event bus has become silent.
const SILENT_BUS_SPAN: Duration = Duration::from_secs(4);
/// The number of clients that disconnect before their queries are read, and the number of those
/// that disconnect while their queries wait for a retry.
const DISCONNECTS: u64 = 20;
/// Added to the seed of the run for the seed of the relay between the processes.
const RELAY_SEED: u64 = 100;
/// The first id of the requests that show whether a process serves.
const READY_REQUEST_IDS: u64 = 0xabcd_0000_0000;

/// Sends to a draining engine have to end two seconds after the bus announced the drain; 50 ms are
/// slack.
const MAX_SEND_AFTER_DRAIN_MS: f64 = 2_050.0;
const MIN_CLASS_SERVED_FRACTION: f64 = 0.5;
const MIN_TENANT_SERVED_FRACTION: f64 = 1.0 / 3.0;
const MAX_RESTART_S: f64 = 10.0;

/// A run of several processes, and its findings.
pub struct Scenario {
    fleet: FleetHarness,
    rounds: usize,
    load: Load,
    /// The longest time from a start to the first served request.
    slowest_restart: Duration,
    /// The counts of the engines at the end of the load.
    counts: Counts,
    /// The number of attempts for clients that had disconnected.
    sent_after_disconnect: u64,
}

impl Scenario {
    /// Starts the processes and waits until each of them serves.
    pub fn start(arguments: &Arguments) -> Result<Self> {
        let (processes, rounds) = if arguments.short {
            (SHORT_PROCESSES, SHORT_ROUNDS)
        } else {
            (PROCESSES, ROUNDS)
        };
        let program = program_beside("violetgate")?;
        let fleet = FleetHarness::start(&program, processes, RELAY_SEED + arguments.seed, "")?;
        for process in 0..processes {
            wait_until_ready(&fleet, process);
        }
        let load = Load {
            gateways: fleet.processes.iter().map(|p| p.listen).collect(),
            next_number: AtomicU64::new(arguments.seed << 32),
            is_over: AtomicBool::new(false),
            tally: Mutex::new(Tally::default()),
        };
        Ok(Scenario {
            fleet,
            rounds,
            load,
            slowest_restart: Duration::ZERO,
            counts: Counts::default(),
            sent_after_disconnect: 0,
        })
    }

    /// Runs the phase under load, then the phase in which clients disconnect.
    pub fn run(&mut self) -> Result<()> {
        self.run_under_load();
        self.counts = self.fleet.engines().counts();
        let tally = lock(&self.load.tally);
        println!(
            "{} requests, of which {} met the close of an idle session and were sent again",
            tally.sent(&CLASSES),
            tally.raced_close
        );
        drop(tally);
        self.disconnect_clients()
    }

    fn run_under_load(&mut self) {
        let Scenario {
            fleet,
            rounds,
            load,
            slowest_restart,
            ..
        } = self;
        let processes = fleet.processes.len();
        let clients = CLIENTS_PER_PROCESS * processes;
        std::thread::scope(|scope| {
            let run_client = |_| scope.spawn(|| load.run_client());
            let threads: Vec<_> = (0..clients).map(run_client).collect();
            println!("{processes} processes, {clients} clients; restarts one by one:");
            for round in 0..*rounds {
                for process in 0..processes {
                    *slowest_restart = (*slowest_restart).max(restart(fleet, round, process));
                }
            }
            println!("the event bus becomes silent, and engine e-1 drains");
            fleet.engines().silence_bus();
            fleet.engines().drain("e-1");
            std::thread::sleep(SILENT_BUS_SPAN);
            load.is_over.store(true, Relaxed);
            threads.into_iter().for_each(|thread| drop(thread.join()));
        });
    }

    fn disconnect_clients(&mut self) -> Result<()> {
        println!(
            "clients disconnect before their queries are read, and during a wait for a retry:"
        );
        let unread = disconnect_unread(&self.fleet.processes[1], DISCONNECTS)?;
        let _ = wait_until_ready(&self.fleet, 1);
        let counts = self.fleet.engines().counts();
        let was_sent = |id: &&String| counts.by_request.contains_key(*id);
        let unread_sent = unread.iter().filter(was_sent).count() as u64;
        let waiting_sent = disconnect_waiting(&self.fleet, DISCONNECTS)?;
        println!(
            "  attempts after the disconnect: {unread_sent} for unread queries, {waiting_sent} for \
             queries that waited for a retry"
        );
        self.sent_after_disconnect = unread_sent + waiting_sent;
        Ok(())
    }

    /// Adds the figures of the run and their bounds.
    pub fn add_figures(&self, verdict: &mut Verdict) {
        let tally = lock(&self.load.tally);
        let effects = self.counts.effects.values();
        let repeated_effects = effects.filter(|count| **count > 1).count() as u64;
        let second_answers = tally.second_answers + repeated_effects;
        let silent_watch_ms = self.counts.longest_after_drain.as_secs_f64() * 1e3;
        let class_least = tally.least_served_fraction(&CLASSES);
        let tenant_least = tally.least_served_fraction(&TENANTS);
        let restart_s = self.slowest_restart.as_secs_f64();
        verdict.exactly("closes_unanswered", tally.unanswered, 0);
        verdict.at_most("silent_watch_ms", silent_watch_ms, MAX_SEND_AFTER_DRAIN_MS);
        verdict.exactly("second_answers", second_answers, 0);
        verdict.at_least("class_least", class_least, MIN_CLASS_SERVED_FRACTION);
        verdict.at_least("tenant_least", tenant_least, MIN_TENANT_SERVED_FRACTION);
        verdict.at_most("restart_ready_s", restart_s, MAX_RESTART_S);
        verdict.exactly("gone_sent", self.sent_after_disconnect, 0);
    }
}

/// Restarts a process. Returns the time from its start until it served a request, or
/// [`Duration::MAX`] if it did not serve one in time.
fn restart(fleet: &mut FleetHarness, round: usize, process: usize) -> Duration {
    fleet.processes[process].signal(Signal::TERM);
    let ended = fleet.processes[process].wait_for_exit(EXIT_TIMEOUT);
    if !ended {
        fleet.processes[process].kill();
    }
    let began = Instant::now();
    let _ = fleet.processes[process].start();
    let ready = wait_until_ready(fleet, process).map(|_| began.elapsed());
    println!(
        "  round {round}, process {process}: ended after SIGTERM: {ended}, waited for ready: {:?}",
        began.elapsed()
    );
    ready.unwrap_or(Duration::MAX)
}

/// Waits until a process serves a request, and returns how long that took. Returns `None` if it
/// does not serve one within [`READY_TIMEOUT`].
fn wait_until_ready(fleet: &FleetHarness, process: usize) -> Option<Duration> {
    let next_id = AtomicU64::new(READY_REQUEST_IDS + ((process as u64) << 16));
    fleet.wait_until(READY_TIMEOUT, |fleet| {
        fleet.processes[process].serves_request(next_id.fetch_add(1, Relaxed))
    })
}
