//! `make prove-fleet-rules`: several processes of the program before one set of engines, through restarts, a silent event
//! bus and clients that leave; and many gateways in injected time before a cold engine. What each does alone is summed.

use std::collections::BTreeMap;
use std::io::{ErrorKind, Result, Write};
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use clap::Parser;
use rustix::process::Signal;
use violetgate_acceptance::{cold, ended, Verdict};
use violetgate_fake_upstreams::client::PostgresClient;
use violetgate_fake_upstreams::Fault;
use violetgate_fleet_harness::{FleetHarness, GatewayProcess};

/// Holds several front ends to the rules that they keep together.
#[derive(Parser)]
struct Given {
    /// Fewer processes and rounds
    #[arg(long)]
    short: bool,
    /// For the order of what is asked
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// How long a client waits for anything.
const WAIT: Duration = Duration::from_secs(5);
/// A request that crosses the close of a session at rest by less than this is sent again, once.
const CROSSES: Duration = Duration::from_millis(50);
/// Sends to an engine that drains end this long after the bus was told, with the rules' slack.
const GRACE_MS: f64 = 2_050.0;
const CLASSES: [&str; 3] = ["lookup", "report", "load"];
const TENANTS: [&str; 2] = ["north", "south"];

/// How requests ended, over all clients.
#[derive(Default)]
struct Tally {
    /// Asked and served, by class and by tenant.
    by: BTreeMap<&'static str, (u64, u64)>,
    /// Taken, and ended with no answer.
    unanswered: u64,
    /// Crossed a close, and sent again.
    crossed: u64,
    /// Answers that hold another request's rows, or an effect twice.
    second: u64,
}

impl Tally {
    fn least(&self, names: &[&'static str]) -> f64 {
        let share = |n: &&'static str| {
            self.by
                .get(n)
                .map_or(0.0, |(asked, served)| *served as f64 / *asked as f64)
        };
        names.iter().map(share).fold(1.0, f64::min)
    }
}

/// What the clients share.
struct Load<'a> {
    listens: Vec<std::net::SocketAddr>,
    next: &'a AtomicU64,
    over: &'a AtomicBool,
    tally: &'a Mutex<Tally>,
}

fn statement(class: &str, tenant: &str, rid: u64) -> String {
    let keyed = if class == "load" {
        format!(",token={rid:032x},obj={:016x}", rid % 7)
    } else {
        String::new()
    };
    format!("/* method={class},rid={rid:016x},budget=4000,acct={tenant}{keyed} */ SELECT 1 FROM sales_17.orders /* ms=8 */")
}

impl Load<'_> {
    fn tally(&self) -> MutexGuard<'_, Tally> {
        self.tally.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// One client: a session at each front end, one request at a time, now here and now there.
    fn run(&self) {
        let mut sessions: Vec<Option<PostgresClient>> = self.listens.iter().map(|_| None).collect();
        while !self.over.load(Ordering::Relaxed) {
            let n = self.next.fetch_add(1, Ordering::Relaxed);
            let (class, tenant) = (CLASSES[n as usize % 3], TENANTS[n as usize / 3 % 2]);
            let served = self.ask(&mut sessions, n, class, tenant);
            let mut tally = self.tally();
            for name in [class, tenant] {
                let of = tally.by.entry(name).or_default();
                (of.0, of.1) = (of.0 + 1, of.1 + u64::from(served));
            }
            drop(tally);
            std::thread::sleep(Duration::from_millis(3));
        }
    }

    fn ask(
        &self,
        sessions: &mut [Option<PostgresClient>],
        n: u64,
        class: &str,
        tenant: &str,
    ) -> bool {
        let rid = (n + 1) << 8;
        let (mut at, mut again) = (n as usize % sessions.len(), 0);
        let until = Instant::now() + WAIT;
        while Instant::now() < until {
            let rested = sessions[at].is_some();
            if !rested {
                let opened =
                    TcpStream::connect(self.listens[at]).and_then(|s| PostgresClient::new(s, WAIT));
                sessions[at] = opened.ok();
            }
            let Some(pg) = &mut sessions[at] else {
                // Nobody listens there, or it is just closing: the next one may.
                at = (at + 1) % self.listens.len();
                std::thread::sleep(Duration::from_millis(2));
                continue;
            };
            let sent = Instant::now();
            let answer = pg
                .send(&statement(class, tenant, rid + again))
                .and_then(|()| pg.read());
            let mut tally = self.tally();
            match answer {
                Ok(Ok(rows)) => {
                    let own = format!("{:016x}", rid + again);
                    tally.second += u64::from(rows.iter().any(|row| row[0] != own));
                    return true;
                }
                Ok(Err(_)) => return false,
                Err(e) => {
                    sessions[at] = None;
                    if rested
                        && again == 0
                        && sent.elapsed() < CROSSES
                        && e.kind() != ErrorKind::WouldBlock
                    {
                        tally.crossed += 1;
                        again = 1;
                        at = (at + 1) % self.listens.len();
                        continue;
                    }
                    tally.unanswered += 1;
                    return false;
                }
            }
        }
        false
    }
}

/// Sessions whose clients write a query and go before it is read: the process stands still meanwhile.
fn leave_unread(process: &GatewayProcess, count: u64) -> Result<Vec<String>> {
    let mut open = Vec::new();
    for n in 0..count {
        let stream = TcpStream::connect(process.listen)?;
        open.push((
            PostgresClient::new(stream.try_clone()?, WAIT)?,
            stream,
            0xdead_0000_0000 + n,
        ));
    }
    process.signal(Signal::STOP);
    let mut rids = Vec::new();
    for (mut pg, mut stream, rid) in open {
        pg.send(&statement("lookup", "north", rid))?;
        stream.flush()?;
        rids.push(format!("{rid:016x}"));
    }
    process.signal(Signal::CONT);
    Ok(rids)
}

fn in_progress(process: &GatewayProcess) -> f64 {
    process
        .metrics()
        .get("svc_in_progress")
        .copied()
        .unwrap_or(f64::NAN)
}

/// Clients whose requests wait for a further attempt, as all engines are full, leave: nothing of them is sent once that is
/// seen. How many attempts were.
fn leave_waiting(rig: &FleetHarness, count: u64) -> Result<u64> {
    let engines = rig.engines();
    engines
        .ids()
        .iter()
        .for_each(|id| engines.fault(id, Fault::Refuse));
    let process = &rig.processes[0];
    let (mut open, mut rids) = (Vec::new(), Vec::new());
    for n in 0..count {
        let rid = 0xbeef_0000_0000 + n;
        let mut pg = PostgresClient::new(TcpStream::connect(process.listen)?, WAIT)?;
        pg.send(&statement("lookup", "north", rid))?;
        rids.push(format!("{rid:016x}"));
        open.push(pg);
    }
    let tried = engines.wait_for(|c| rids.iter().any(|rid| c.by_request.contains_key(rid)));
    drop(open);
    let gone = rig
        .wait_until(WAIT, |rig| in_progress(&rig.processes[0]) == 0.0)
        .is_some();
    if !tried || !gone {
        return Err(std::io::Error::other(format!(
            "not held as meant: tried {tried}, gone {gone}"
        )));
    }
    let sum = || {
        rids.iter()
            .filter_map(|rid| engines.counts().by_request.get(rid).copied())
            .sum::<u32>()
    };
    let before = sum();
    engines
        .ids()
        .iter()
        .for_each(|id| engines.fault(id, Fault::None));
    let _ = rig.wait_until(WAIT, |rig| {
        rig.processes[0].serves_request(0xfeed_0000_0001)
    });
    let _ = rig.wait_until(WAIT, |rig| {
        rig.processes[0].serves_request(0xfeed_0000_0002)
    });
    Ok(u64::from(sum() - before))
}

fn ready(rig: &mut FleetHarness, i: usize) -> Option<Duration> {
    let rid = 0xabcd_0000_0000 + ((i as u64) << 16);
    let tries = AtomicU64::new(0);
    rig.wait_until(Duration::from_secs(30), |rig| {
        rig.processes[i].serves_request(rid + tries.fetch_add(1, Ordering::Relaxed))
    })
}

fn prove(given: &Given) -> Result<bool> {
    let mut verdict = Verdict::default();
    let largest = [(2, 8.0), (20, 8.0), (30, 8.0), (300, 8.0), (300, 32.0)].map(|(gateways, cores)| {
        let seeds = if given.short { 3 } else { 20 };
        let share = |seed| cold::largest_share(&cold::sent_by(gateways, cores, seed), cores);
        let most = (given.seed..given.seed + seeds).map(share).fold(0.0, f64::max);
        println!(
            "{gateways} gateways, a cold engine of {cores} cores: {most:.3} of what it bears with its chance"
        );
        most
    });
    verdict.at_most(
        "cold_sum_share",
        largest.into_iter().fold(0.0, f64::max),
        1.0,
    );

    let program: PathBuf = std::env::current_exe()?.with_file_name("violetgate");
    let count = if given.short { 3 } else { 6 };
    let mut rig = FleetHarness::start(&program, count, 100 + given.seed, "")?;
    for i in 0..count {
        ready(&mut rig, i);
    }
    let (next, over, tally) = (
        AtomicU64::new(given.seed << 32),
        AtomicBool::new(false),
        Mutex::new(Tally::default()),
    );
    let mut slowest = Duration::ZERO;
    let clients = 4 * count;
    let listens = rig.processes.iter().map(|p| p.listen).collect();
    let load = Load {
        listens,
        next: &next,
        over: &over,
        tally: &tally,
    };
    std::thread::scope(|scope| {
        let threads: Vec<_> = (0..clients).map(|_| scope.spawn(|| load.run())).collect();
        println!("{count} processes, {clients} clients; restarts one by one:");
        for round in 0..if given.short { 1 } else { 3 } {
            for i in 0..count {
                rig.processes[i].signal(Signal::TERM);
                let ended = rig.processes[i].wait_for_exit(Duration::from_secs(6));
                if !ended {
                    rig.processes[i].kill();
                }
                let begun = Instant::now();
                let _ = rig.processes[i].start();
                slowest =
                    slowest.max(ready(&mut rig, i).map_or(Duration::MAX, |_| begun.elapsed()));
                println!(
                    "  round {round}, process {i}: ended by itself {ended}, ready after {:?}",
                    begun.elapsed()
                );
            }
        }
        println!("all watches fall silent, and an engine drains:");
        rig.engines().silence_bus();
        rig.engines().drain("e-1");
        std::thread::sleep(Duration::from_secs(4));
        over.store(true, Ordering::Relaxed);
        threads.into_iter().for_each(|t| drop(t.join()));
    });
    let counts = rig.engines().counts();
    let mut tally = tally.into_inner().unwrap_or_else(PoisonError::into_inner);
    tally.second += counts.effects.values().filter(|n| **n > 1).count() as u64;
    let asked: u64 = CLASSES
        .iter()
        .filter_map(|c| tally.by.get(c))
        .map(|(asked, _)| asked)
        .sum();
    println!(
        "{asked} requests, {} crossed a close and were sent again",
        tally.crossed
    );

    println!("clients leave before they are read, and while they wait:");
    let unread = leave_unread(&rig.processes[1], 20)?;
    let _ = ready(&mut rig, 1);
    let counts = rig.engines().counts();
    let sent = unread
        .iter()
        .filter(|rid| counts.by_request.contains_key(*rid))
        .count() as u64;
    let waited = leave_waiting(&rig, 20)?;
    println!("  attempts for them: {sent} and {waited}");

    verdict.exactly("closes_unanswered", tally.unanswered, 0);
    verdict.at_most(
        "silent_watch_ms",
        counts.latest_after_drain.as_secs_f64() * 1e3,
        GRACE_MS,
    );
    verdict.exactly("second_answers", tally.second, 0);
    verdict.at_least("class_least", tally.least(&CLASSES), 0.5);
    verdict.at_least("tenant_least", tally.least(&TENANTS), 1.0 / 3.0);
    verdict.at_most("restart_ready_s", slowest.as_secs_f64(), 10.0);
    verdict.exactly("gone_sent", sent + waited, 0);
    Ok(verdict.tell("fleet-rules"))
}

fn main() -> ExitCode {
    ended("prove-fleet-rules", prove(&Given::parse()))
}
