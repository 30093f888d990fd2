//! What all proofs share: the program under proof, its use of the machine, and a load that does not wait for
//! answers. Each proof is a command of its own in `src/bin`, run by `make prove-NAME`.

pub mod cold;
pub mod daemon;
pub mod inside;
pub mod mesh;

use std::io::{Error, Result};
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use violetgate_fake_upstreams::client::{HttpClient, PostgresClient};
use violetgate_fake_upstreams::FakeUpstreams;

/// How long a client waits for anything.
const WAIT: Duration = Duration::from_secs(30);

/// A front end, in a process of its own.
pub struct Program {
    child: Child,
    folder: PathBuf,
    /// Where PostgreSQL clients connect.
    pub listen: String,
    /// Where REST clients connect.
    pub rest: String,
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Addresses on loopback that nobody has.
///
/// # Errors
///
/// The machine gives none.
pub fn free<const N: usize>() -> Result<[String; N]> {
    let held: Vec<_> = (0..N)
        .map(|_| std::net::TcpListener::bind("127.0.0.1:0"))
        .collect::<Result<_>>()?;
    let mut out = [const { String::new() }; N];
    for (text, listener) in out.iter_mut().zip(&held) {
        *text = listener.local_addr()?.to_string();
    }
    Ok(out)
}

impl Program {
    /// Starts the program before a fleet. `rest` are further lines of its `rest` block.
    ///
    /// # Errors
    ///
    /// It can't be started, or does not listen within ten seconds.
    pub fn start(program: &Path, fleet: &FakeUpstreams, rest: &str) -> Result<Self> {
        let [listen, at] = free()?;
        let folder = std::env::temp_dir().join(format!("violetgate-prove-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let mut config = fleet.config("n0", &listen, &violetgate_fake_upstreams::settings());
        config["limits"]["sockets"] = 4096.into();
        std::fs::write(folder.join("config.json"), config.to_string())?;
        std::fs::write(
            folder.join("violetgate.hcl"),
            format!("rest {{\n  listen = \"{at}\"\n{rest}\n}}\n"),
        )?;
        let child = Command::new(program)
            .arg("--settings")
            .arg(folder.join("violetgate.hcl"))
            .env("PROXY_CONFIG", folder.join("config.json"))
            .env("TMPDIR", &folder)
            .stdin(Stdio::null())
            .stderr(Stdio::null())
            .spawn()?;
        let program = Program {
            child,
            folder,
            listen,
            rest: at,
        };
        let until = Instant::now() + Duration::from_secs(10);
        while TcpStream::connect(&program.rest).is_err() {
            if Instant::now() > until {
                return Err(Error::other("the program does not listen"));
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        Ok(program)
    }

    /// Whether it still runs.
    pub fn runs(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// CPU time used so far, by all its threads.
    #[must_use]
    pub fn cpu(&self) -> Duration {
        let tasks = std::fs::read_dir(format!("/proc/{}/task", self.child.id()));
        let ns = tasks.into_iter().flatten().flatten().filter_map(|task| {
            let text = std::fs::read_to_string(task.path().join("schedstat")).ok()?;
            text.split(' ').next()?.parse::<u64>().ok()
        });
        Duration::from_nanos(ns.sum())
    }

    /// Memory that it holds, in bytes.
    #[must_use]
    pub fn memory(&self) -> u64 {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))
            .unwrap_or_default();
        let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:"));
        line.and_then(|l| l.split_whitespace().next())
            .and_then(|kb| kb.parse::<u64>().ok())
            .unwrap_or(0)
            * 1024
    }

    /// A REST connection.
    ///
    /// # Errors
    ///
    /// It can't be had.
    pub fn http(&self) -> Result<HttpClient> {
        HttpClient::new(TcpStream::connect(&self.rest)?, WAIT)
    }

    /// A PostgreSQL session.
    ///
    /// # Errors
    ///
    /// It can't be had.
    pub fn pg(&self) -> Result<PostgresClient> {
        PostgresClient::new(TcpStream::connect(&self.listen)?, WAIT)
    }
}

/// The exit code of a proof, which says why where it could not be made.
#[must_use]
pub fn ended(name: &str, proved: Result<bool>) -> ExitCode {
    match proved {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            println!("{name} could not run: {e}");
            ExitCode::FAILURE
        }
    }
}

/// What a load met.
pub struct Met {
    /// Latency in microseconds, each counted from when its request was due and not from when it could be sent.
    pub latency: Histogram<u64>,
    /// Requests that were served.
    pub served: u64,
    /// Requests that were not.
    pub others: u64,
    /// From the first that was due to the last answer.
    pub took: Duration,
}

impl Met {
    /// Served a second.
    #[must_use]
    pub fn rate(&self) -> f64 {
        self.served as f64 / self.took.as_secs_f64()
    }

    /// p50, p99 and p99.9, in milliseconds.
    #[must_use]
    pub fn quantiles(&self) -> [f64; 3] {
        [0.5, 0.99, 0.999].map(|q| self.latency.value_at_quantile(q) as f64 / 1e3)
    }
}

/// Sends `count` requests, one each `gap`, whether answers have come or not, over as many connections as there are
/// `clients`; each client is told the number of its request, and says whether that was served.
pub fn open_loop<C: FnMut(u64) -> bool + Send>(clients: Vec<C>, count: u64, gap: Duration) -> Met {
    let (next, start) = (
        AtomicU64::new(0),
        Instant::now() + Duration::from_millis(20),
    );
    let next = &next;
    let each = |mut client: C| {
        let mut latency =
            Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).unwrap_or_else(|_| unreachable!());
        let (mut served, mut others) = (0, 0);
        loop {
            let n = next.fetch_add(1, Ordering::Relaxed);
            if n >= count {
                return (latency, served, others);
            }
            let due = start + gap.mul_f64(n as f64);
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            if client(n) {
                served += 1;
                latency.saturating_record(
                    u64::try_from(due.elapsed().as_micros())
                        .unwrap_or(u64::MAX)
                        .max(1),
                );
            } else {
                others += 1;
            }
        }
    };
    let all: Vec<_> = std::thread::scope(|scope| {
        let threads: Vec<_> = clients
            .into_iter()
            .map(|client| scope.spawn(|| each(client)))
            .collect();
        threads.into_iter().filter_map(|t| t.join().ok()).collect()
    });
    let took = start.elapsed();
    let mut met = Met {
        latency: Histogram::new_with_bounds(1, 60_000_000, 3).unwrap_or_else(|_| unreachable!()),
        served: 0,
        others: 0,
        took,
    };
    for (latency, served, others) in all {
        let _ = met.latency.add(latency);
        met.served += served;
        met.others += others;
    }
    met
}

/// The figures of a proof, and the bounds that they missed.
#[derive(Default)]
pub struct Verdict {
    figures: Vec<String>,
    missed: Vec<String>,
}

impl Verdict {
    /// Notes a figure for the last line.
    pub fn figure(&mut self, name: &str, value: impl std::fmt::Display) {
        self.figures.push(format!("{name}={value}"));
    }

    /// Notes a figure that has to be `most` at most.
    pub fn at_most(&mut self, name: &str, value: f64, most: f64) {
        self.figures.push(format!("{name}={value:.3}"));
        if value.is_nan() || value > most {
            self.missed
                .push(format!("{name} is {value:.3}, {most} at most"));
        }
    }

    /// Notes a count that has to be this very one.
    pub fn exactly(&mut self, name: &str, value: u64, wanted: u64) {
        self.figures.push(format!("{name}={value}"));
        if value != wanted {
            self.missed.push(format!("{name} is {value}, not {wanted}"));
        }
    }

    /// Notes a figure that has to be `least` at least.
    pub fn at_least(&mut self, name: &str, value: f64, least: f64) {
        self.figures.push(format!("{name}={value:.3}"));
        if value.is_nan() || value < least {
            self.missed
                .push(format!("{name} is {value:.3}, {least} at least"));
        }
    }

    /// Prints the last line; true: every bound was kept.
    #[must_use]
    pub fn tell(&self, name: &str) -> bool {
        self.missed.iter().for_each(|m| println!("MISSED: {m}"));
        println!("{name}: {}", self.figures.join(" "));
        self.missed.is_empty()
    }
}
