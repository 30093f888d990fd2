//! Instances of the program as members of one cluster, each a process of its own, with links between them that can be
//! cut; and an operator's client to them.

use std::collections::BTreeMap;
use std::io::{Error, Result};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering::SeqCst};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use rustix::process::{kill_process, Pid, Signal};
use serde_json::Value;
use violetgate_fake_upstreams::client::{HttpClient, PostgresClient, Reply};
use violetgate_fake_upstreams::FakeUpstreams;

use crate::free;
use crate::mesh::Mesh;

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// One instance.
pub struct Instance {
    /// Its member id.
    pub id: u64,
    /// Where PostgreSQL clients connect.
    pub listen: String,
    /// Where REST clients connect.
    pub rest: String,
    /// Where operators call.
    pub api: String,
    folder: PathBuf,
    program: PathBuf,
    child: Mutex<Option<Child>>,
    /// Counts what was done to it; odd while it lasts. A request that sees two values, or an odd one, met trouble made
    /// on purpose.
    disturbed: AtomicU64,
    /// Processes that ended by themselves.
    pub crashed: AtomicU64,
}

impl Instance {
    fn start(&self) -> Result<()> {
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
        *lock(&self.child) = Some(child);
        Ok(())
    }

    /// A mark of the trouble so far.
    pub fn mark(&self) -> u64 {
        self.disturbed.load(SeqCst)
    }

    /// Trouble begins here, or has ended.
    fn disturb(&self, lasts: bool) {
        let step = |mark: u64| {
            Some(if (mark % 2 == 1) == lasts {
                mark
            } else {
                mark + 1
            })
        };
        let _ = self.disturbed.fetch_update(SeqCst, SeqCst, step);
    }

    /// Kills it. What ended by itself before is a crash.
    pub fn kill(&self) {
        self.disturb(true);
        if let Some(mut child) = lock(&self.child).take() {
            if !matches!(child.try_wait(), Ok(None)) {
                self.crashed.fetch_add(1, SeqCst);
            }
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Starts it again, with the disk that it had.
    ///
    /// # Errors
    ///
    /// It can't be started.
    pub fn restart(&self) -> Result<()> {
        self.start()?;
        self.disturb(false);
        Ok(())
    }

    fn signal(&self, signal: Signal) {
        let pid = lock(&self.child)
            .as_ref()
            .and_then(|c| i32::try_from(c.id()).ok())
            .and_then(Pid::from_raw);
        if let Some(pid) = pid {
            let _ = kill_process(pid, signal);
        }
    }

    /// Stops it, or lets it go on.
    pub fn pause(&self, stop: bool) {
        if stop {
            self.disturb(true);
        }
        self.signal(if stop { Signal::STOP } else { Signal::CONT });
        if !stop {
            self.disturb(false);
        }
    }

    /// Its process's id.
    pub fn pid(&self) -> Option<u32> {
        lock(&self.child).as_ref().map(Child::id)
    }

    /// Bytes in its folder, and how many of them are its snapshots.
    #[must_use]
    pub fn disk(&self) -> (u64, u64) {
        let files = std::fs::read_dir(self.folder.join("member"))
            .into_iter()
            .flatten()
            .flatten();
        let sizes: Vec<_> = files
            .filter_map(|f| Some((f.file_name().into_string().ok()?, f.metadata().ok()?.len())))
            .collect();
        let snapshots = sizes
            .iter()
            .filter(|(name, _)| name.starts_with("snapshot"));
        (
            sizes.iter().map(|s| s.1).sum(),
            snapshots.map(|s| s.1).sum(),
        )
    }

    /// Its log so far.
    #[must_use]
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }

    /// A REST connection.
    ///
    /// # Errors
    ///
    /// It can't be had.
    pub fn http(&self, wait: Duration) -> Result<HttpClient> {
        HttpClient::new(connect(&self.rest)?, wait)
    }

    /// A PostgreSQL session.
    ///
    /// # Errors
    ///
    /// It can't be had.
    pub fn pg(&self, wait: Duration) -> Result<PostgresClient> {
        PostgresClient::new(connect(&self.listen)?, wait)
    }

    /// One call to its API.
    ///
    /// # Errors
    ///
    /// It has no answer.
    pub fn call(
        &self,
        method: &str,
        path: &str,
        id: Option<&str>,
        body: &[u8],
        wait: Duration,
    ) -> Result<Reply> {
        let mut http = HttpClient::new(connect(&self.api)?, wait)?;
        let headers: Vec<_> = id.iter().map(|id| ("request-id", *id)).collect();
        http.send(method, path, &headers, body)?;
        http.read()
    }

    /// What it says of itself.
    ///
    /// # Errors
    ///
    /// It says nothing.
    pub fn status(&self) -> Result<Value> {
        Ok(self
            .call("GET", "/v1/cluster", None, b"", Duration::from_secs(1))?
            .json())
    }
}

fn connect(at: &str) -> Result<TcpStream> {
    let at: SocketAddr = at.parse().map_err(Error::other)?;
    TcpStream::connect_timeout(&at, Duration::from_secs(1))
}

/// A cluster of instances.
pub struct Cluster {
    /// The instances, in the order of their ids.
    pub instances: Vec<Instance>,
    /// What lies between them.
    pub mesh: Mesh,
    folder: PathBuf,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.instances.iter().for_each(Instance::kill);
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Cluster {
    /// Starts so many instances before a fleet. `cluster` are further lines of their `cluster` blocks.
    ///
    /// # Errors
    ///
    /// They can't be started, or agree on nothing within ten seconds.
    pub fn start(program: &Path, fleet: &FakeUpstreams, count: u64, cluster: &str) -> Result<Self> {
        static NEXT: AtomicU64 = AtomicU64::new(0);
        let name = format!(
            "violetgate-prove-daemon-{}-{}",
            std::process::id(),
            NEXT.fetch_add(1, SeqCst)
        );
        let folder = std::env::temp_dir().join(name);
        let mut places = BTreeMap::new();
        for id in 1..=count {
            let at: [String; 4] = free()?;
            places.insert(id, at);
        }
        let listens = places
            .iter()
            .filter_map(|(id, at)| Some((*id, at[0].parse().ok()?)))
            .collect();
        let mesh = Mesh::new(&listens)?;
        let mut instances = Vec::new();
        for (id, [peer, listen, rest, api]) in places {
            let own = folder.join(id.to_string());
            std::fs::create_dir_all(&own)?;
            let mut config = fleet.config(
                &format!("n{id}"),
                &listen,
                &violetgate_fake_upstreams::settings(),
            );
            config["limits"]["sockets"] = 1024.into();
            config["seed"] = format!("{:016x}", 0x8c1f_30d2_7a5b_e964_u64 ^ id).into();
            std::fs::write(own.join("config.json"), config.to_string())?;
            let mut members = format!("    \"{id}\" = \"{peer}\"\n");
            for (other, at) in mesh.seen_from(id) {
                members += &format!("    \"{other}\" = \"{at}\"\n");
            }
            let settings = format!(
                "rest {{\n  listen = \"{rest}\"\n  max_connections = 200\n}}\ncluster {{\n  name = \"proof\"\n  id = {id}\n  \
                 folder = \"{}\"\n  listen = \"{peer}\"\n  api = \"{api}\"\n  members = {{\n{members}  }}\n{cluster}}}\n",
                own.join("member").display()
            );
            let file = own.join("violetgate.hcl");
            std::fs::write(&file, settings)?;
            let made = Command::new(program)
                .args(["members", "init", "--settings"])
                .arg(&file)
                .stdout(Stdio::null())
                .status()?;
            if !made.success() {
                return Err(Error::other("a member's folder can't be made"));
            }
            instances.push(Instance {
                id,
                listen,
                rest,
                api,
                folder: own,
                program: program.to_owned(),
                child: Mutex::default(),
                disturbed: AtomicU64::new(0),
                crashed: AtomicU64::new(0),
            });
        }
        let cluster = Cluster {
            instances,
            mesh,
            folder,
        };
        for instance in &cluster.instances {
            instance.start()?;
        }
        if !cluster.settle(Duration::from_secs(10)) {
            let logs: Vec<_> = cluster.instances.iter().map(Instance::log).collect();
            return Err(Error::other(format!("nobody leads:\n{}", logs.join("\n"))));
        }
        Ok(cluster)
    }

    /// Waits until all instances route. False: they did not, in that time.
    #[must_use]
    pub fn settle(&self, within: Duration) -> bool {
        let until = Instant::now() + within;
        let routes = |i: &Instance| i.status().is_ok_and(|s| s["routes"] == true);
        while !self.instances.iter().all(routes) {
            if Instant::now() > until {
                return false;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        true
    }

    /// The instance that leads, as its own word has it, if one does and routes.
    #[must_use]
    pub fn leader(&self) -> Option<&Instance> {
        let leads = |i: &&Instance| {
            i.status()
                .is_ok_and(|s| s["role"] == "leader" && s["routes"] == true)
        };
        self.instances.iter().find(leads)
    }

    /// An instance, by any number.
    #[must_use]
    pub fn any(&self, n: u64) -> &Instance {
        let count = self.instances.len().max(1);
        #[allow(clippy::indexing_slicing)]
        &self.instances[n as usize % count]
    }
}
