//! Several processes of the program as one fleet on loopback: stand-in engines behind them, a relay between them, and
//! what can be done to them. What it knows of a process it reads off the process's own figures and log.

mod relay;

use std::collections::BTreeMap;
use std::io::{Error, Result};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use rustix::process::{kill_process, Pid, Signal};
use violetgate_fake_upstreams::client::{Http, Pg};
use violetgate_fake_upstreams::{Fleet, Profile};

pub use relay::{Ills, Relay};

/// How long a call to a process may take; one that is stopped answers none.
const WAIT: Duration = Duration::from_millis(500);

/// One process.
pub struct Process {
    /// Its name in the fleet.
    pub name: String,
    /// Where PostgreSQL clients connect.
    pub listen: SocketAddr,
    /// Where operators call.
    pub management: SocketAddr,
    folder: PathBuf,
    program: PathBuf,
    child: Option<Child>,
    /// Processes that ended by themselves.
    pub crashed: u64,
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Process {
    /// A process that was not started yet; `folder` holds its `violetgate.hcl` and `config.json`.
    #[must_use]
    pub fn new(
        name: &str,
        listen: SocketAddr,
        management: SocketAddr,
        folder: PathBuf,
        program: &Path,
    ) -> Self {
        let program = program.to_path_buf();
        Process {
            name: name.to_owned(),
            listen,
            management,
            folder,
            program,
            child: None,
            crashed: 0,
        }
    }

    /// Its process id, while it runs.
    #[must_use]
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Its log so far.
    #[must_use]
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }

    /// Starts it, or starts it again.
    ///
    /// # Errors
    ///
    /// It can't be started.
    pub fn start(&mut self) -> Result<()> {
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(self.folder.join("log"))?;
        let child = Command::new(&self.program)
            .arg("--settings")
            .arg(self.folder.join("violetgate.hcl"))
            .env("PROXY_CONFIG", self.folder.join("config.json"))
            .env("TMPDIR", &self.folder)
            .stdin(Stdio::null())
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Kills it. What ended by itself before is a crash.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            self.crashed += u64::from(!matches!(child.try_wait(), Ok(None)));
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends a signal to it.
    pub fn signal(&self, signal: Signal) {
        let pid = self
            .child
            .as_ref()
            .and_then(|c| i32::try_from(c.id()).ok())
            .and_then(Pid::from_raw);
        if let Some(pid) = pid {
            let _ = kill_process(pid, signal);
        }
    }

    /// Waits until it has ended by itself. False: it has not.
    pub fn ends(&mut self, within: Duration) -> bool {
        let until = Instant::now() + within;
        while Instant::now() < until {
            if self
                .child
                .as_mut()
                .is_none_or(|c| matches!(c.try_wait(), Ok(Some(_))))
            {
                self.child = None;
                return true;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        false
    }

    /// Its figures: names with their labels, and values. Nothing: it does not answer.
    #[must_use]
    pub fn figures(&self) -> BTreeMap<String, f64> {
        let read = || {
            let stream = TcpStream::connect_timeout(&self.management, WAIT)?;
            Http::over(stream, WAIT)?.get("/admin/stats")
        };
        let Ok(reply) = read() else {
            return BTreeMap::new();
        };
        let text = String::from_utf8_lossy(&reply.body).into_owned();
        let lines = text.lines().filter_map(|l| l.rsplit_once(' '));
        lines
            .filter_map(|(name, value)| Some((name.to_owned(), value.parse().ok()?)))
            .collect()
    }

    /// How it sees another: `alive`, `suspected`, `dead` or `left`.
    #[must_use]
    pub fn sees(&self, other: &str) -> Option<String> {
        let figures = self.figures();
        let about =
            |n: &&String| n.starts_with(&format!("svc_fleet_member_seconds{{member=\"{other}\""));
        let line = figures.keys().find(about)?;
        line.split("state=\"")
            .nth(1)?
            .split('"')
            .next()
            .map(str::to_owned)
    }

    /// Whether it says that its link to another is cut.
    #[must_use]
    pub fn cut_off(&self, other: &str) -> bool {
        let cut = format!("svc_fleet_link_cut_seconds{{member=\"{other}\"");
        self.figures().keys().any(|n| n.starts_with(&cut))
    }

    /// How many it reckons with.
    #[must_use]
    pub fn share(&self) -> Option<u32> {
        self.figures().get("svc_fleet_share").map(|v| *v as u32)
    }

    /// Lines of its log so far that hold a text.
    #[must_use]
    pub fn said(&self, text: &str) -> usize {
        self.log().lines().filter(|l| l.contains(text)).count()
    }

    /// One query; whether it was served.
    #[must_use]
    pub fn serves(&self, rid: u64) -> bool {
        let ask = || {
            let stream = TcpStream::connect_timeout(&self.listen, WAIT)?;
            let mut pg = Pg::over(stream, Duration::from_secs(3))?;
            pg.send(&format!(
                "/* method=lookup,rid={rid:016x},budget=2500 */ SELECT rows=1 FROM sales_17.orders"
            ))?;
            pg.read()
        };
        ask().is_ok_and(|rows| rows.is_ok())
    }
}

/// The fleet, its engines and what lies between.
pub struct Rig {
    /// The processes.
    pub all: Vec<Process>,
    /// What lies between them.
    pub relay: Relay,
    engines: Fleet,
    folder: PathBuf,
}

impl Drop for Rig {
    fn drop(&mut self) {
        self.all.iter_mut().for_each(Process::kill);
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn udp() -> Result<SocketAddr> {
    UdpSocket::bind("127.0.0.1:0")?.local_addr()
}

fn tcp() -> Result<SocketAddr> {
    std::net::TcpListener::bind("127.0.0.1:0")?.local_addr()
}

impl Rig {
    /// Starts so many processes of a program; `extra` are further lines of their `fleet` blocks.
    ///
    /// # Errors
    ///
    /// Something can't be started.
    pub fn start(program: &Path, count: usize, seed: u64, extra: &str) -> Result<Self> {
        let engines = Fleet::start(3, Profile::default())?;
        let folder =
            std::env::temp_dir().join(format!("violetgate-rig-{}-{seed}", std::process::id()));
        let listens = (0..count).map(|_| udp()).collect::<Result<Vec<_>>>()?;
        let relay = Relay::new(&listens, seed)?;
        let mut all = Vec::new();
        for (i, udp) in listens.iter().enumerate() {
            let (name, own) = (format!("front-{i}"), folder.join(format!("front-{i}")));
            std::fs::create_dir_all(&own)?;
            let (listen, management) = (tcp()?, tcp()?);
            let mut settings = violetgate_fake_upstreams::settings();
            settings["balancers"] = count.into();
            let mut config = engines.config(&name, &listen.to_string(), &settings);
            config["management"] = management.to_string().into();
            std::fs::write(own.join("config.json"), config.to_string())?;
            let at = relay
                .before
                .get(i)
                .ok_or_else(|| Error::other("no relay"))?;
            let seeds: Vec<String> = relay
                .before
                .iter()
                .take(3)
                .map(|s| format!("\"{s}\""))
                .collect();
            let block = format!(
                "fleet {{\n name = \"rig\"\n member = \"{name}\"\n listen = \"{udp}\"\n address = \"{at}\"\n \
                 seeds = [{}]\n{extra}\n}}\n",
                seeds.join(", ")
            );
            std::fs::write(own.join("violetgate.hcl"), block)?;
            let mut process = Process::new(&name, listen, management, own, program);
            process.start()?;
            all.push(process);
        }
        Ok(Rig {
            all,
            relay,
            engines,
            folder,
        })
    }

    /// How the engines fared.
    #[must_use]
    pub fn engines(&self) -> &Fleet {
        &self.engines
    }

    /// Waits for something to hold; how long that took, or `None` where it did not come to hold.
    pub fn wait(&self, within: Duration, holds: impl Fn(&Rig) -> bool) -> Option<Duration> {
        let begun = Instant::now();
        while begun.elapsed() < within {
            if holds(self) {
                return Some(begun.elapsed());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        None
    }

    /// Whether each of these sees a member like that.
    #[must_use]
    pub fn see(&self, who: &[usize], of: usize, state: &str) -> bool {
        let name = format!("front-{of}");
        who.iter().filter(|i| **i != of).all(|i| {
            self.all
                .get(*i)
                .and_then(|p| p.sees(&name))
                .is_some_and(|s| s == state)
        })
    }
}
