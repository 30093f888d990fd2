//! Inspects the running process after it has served queries and reloaded its configuration.

use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::time::Duration;

use rustix::process::Signal;
use violetgate_acceptance::{AcceptanceError, Result, Verdict};
use violetgate_fake_upstreams::client::{HttpClient, PostgresClient};
use violetgate_fake_upstreams::{FakeUpstreams, Profile};
use violetgate_test_harness::{reserve_tcp_addresses, wait_until, KillOnDrop};

use crate::Deployment;

/// How long the program may take until it is ready, and how long a client waits for an answer.
const TIMEOUT: Duration = Duration::from_secs(20);
const READY_CHECK_INTERVAL: Duration = Duration::from_millis(20);
const QUERIES: u64 = 200;
/// The number of the query after which the program gets SIGHUP to reload its configuration.
const RELOAD_AFTER: u64 = 100;

/// The folder of the program's files. Dropping it removes the folder.
struct TemporaryFolder(PathBuf);

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Runs the command of the deploy file, and inspects the process after [`QUERIES`] queries.
pub fn check(deployment: &Deployment, program: &Path, verdict: &mut Verdict) -> Result<()> {
    let engines = FakeUpstreams::start(2, Profile::default())?;
    let [listen, management] = reserve_tcp_addresses()?;
    let process_id = std::process::id();
    let folder = std::env::temp_dir().join(format!("violetgate-prove-run-{process_id}"));
    std::fs::create_dir_all(&folder)?;
    let folder = TemporaryFolder(folder);
    let config = engines.config(
        "n0",
        &listen.to_string(),
        &violetgate_fake_upstreams::settings(),
    );
    std::fs::write(folder.0.join("config.json"), config.to_string())?;
    let process = start(deployment, &folder.0, listen, management)?;
    wait_until(TIMEOUT, READY_CHECK_INTERVAL, || is_healthy(management))
        .ok_or(AcceptanceError::NotReady)?;
    let served = send_queries(&process, listen)?;
    let findings = ProcessFindings::read(process.pid(), program)?;
    println!(
        "the process has {} threads and {} descriptors after {QUERIES} queries",
        findings.threads, findings.descriptors
    );
    verdict.exactly("served", served, QUERIES);
    findings.add_figures(verdict);
    Ok(())
}

fn start(
    deployment: &Deployment,
    folder: &Path,
    listen: SocketAddr,
    management: SocketAddr,
) -> Result<KillOnDrop> {
    let child = Command::new("/bin/sh")
        .args(["-c", &deployment.command])
        .current_dir(&deployment.root)
        .env("PROXY_CONFIG", folder.join("config.json"))
        .env("PROXY_LISTEN", listen.to_string())
        .env("PROXY_MANAGEMENT", management.to_string())
        .env("TMPDIR", folder)
        .stdin(Stdio::null())
        .stderr(Stdio::null())
        .spawn()?;
    Ok(KillOnDrop::new(child))
}

fn is_healthy(management: SocketAddr) -> bool {
    let health = || {
        let mut http = HttpClient::new(TcpStream::connect(management)?, TIMEOUT)?;
        http.get("/admin/health")
    };
    health().is_ok_and(|reply| reply.status == 200)
}

/// Sends queries, each over a new session, and triggers a reload between two of them. Returns how
/// many queries were served.
fn send_queries(process: &KillOnDrop, listen: SocketAddr) -> Result<u64> {
    let mut served = 0;
    for number in 0..QUERIES {
        let mut client = PostgresClient::new(TcpStream::connect(listen)?, TIMEOUT)?;
        client.send(&format!(
            "/* method=lookup,rid={number:016x},budget=9000 */ SELECT day FROM sales_17.plan"
        ))?;
        served += u64::from(client.read()?.is_ok());
        if number == RELOAD_AFTER {
            process.signal(Signal::HUP)?;
        }
    }
    Ok(served)
}

/// The properties of the process that `/proc` shows.
struct ProcessFindings {
    /// Whether the started process itself runs the program, and not a shell.
    runs_program: bool,
    threads: usize,
    children: usize,
    descriptors: usize,
    /// The number of io_uring descriptors.
    io_urings: usize,
    /// The number of Unix sockets with a name, to which other processes can connect. Socket pairs
    /// within a process have no name.
    named_unix_sockets: usize,
    loads_c_library: bool,
}

impl ProcessFindings {
    fn read(pid: u32, program: &Path) -> Result<Self> {
        let folder = PathBuf::from(format!("/proc/{pid}"));
        let tasks: Vec<_> = std::fs::read_dir(folder.join("task"))?
            .flatten()
            .map(|task| task.path())
            .collect();
        let children = tasks
            .iter()
            .filter_map(|task| std::fs::read_to_string(task.join("children")).ok())
            .map(|children| children.split_whitespace().count())
            .sum();
        let descriptors = descriptor_targets(&folder)?;
        let named = named_unix_sockets(&folder)?;
        let count = |is_wanted: &dyn Fn(&String) -> bool| {
            let wanted = descriptors.iter().filter(|target| is_wanted(target));
            wanted.count()
        };
        Ok(ProcessFindings {
            runs_program: folder.join("exe").canonicalize()? == program.canonicalize()?,
            threads: tasks.len(),
            children,
            descriptors: descriptors.len(),
            io_urings: count(&|target| target.contains("io_uring")),
            named_unix_sockets: count(&|target| named.contains(target)),
            loads_c_library: std::fs::read_to_string(folder.join("maps"))?.contains("libc.so.6"),
        })
    }

    fn add_figures(&self, verdict: &mut Verdict) {
        verdict.exactly("one_process", u64::from(self.runs_program), 1);
        verdict.exactly("children", self.children as u64, 0);
        verdict.exactly("rings", self.io_urings as u64, 0);
        let named_unix_sockets = self.named_unix_sockets as u64;
        verdict.exactly("unix_sockets_with_names", named_unix_sockets, 0);
        verdict.exactly("libc_loaded", u64::from(self.loads_c_library), 1);
    }
}

/// Returns the target of each descriptor of a process, from its link under `/proc`.
fn descriptor_targets(process: &Path) -> Result<Vec<String>> {
    let descriptors = std::fs::read_dir(process.join("fd"))?.flatten();
    let targets = descriptors.filter_map(|descriptor| std::fs::read_link(descriptor.path()).ok());
    Ok(targets
        .map(|target| target.to_string_lossy().into_owned())
        .collect())
}

/// Returns the descriptor targets of all Unix sockets that have a name.
fn named_unix_sockets(process: &Path) -> Result<BTreeSet<String>> {
    let table = std::fs::read_to_string(process.join("net/unix"))?;
    let inode = |line: &str| {
        let fields: Vec<_> = line.split_whitespace().collect();
        // The seventh field is the inode. The eighth is the name; sockets without one lack it.
        fields
            .get(7)
            .and(fields.get(6))
            .map(|inode| (*inode).to_owned())
    };
    let inodes = table.lines().skip(1).filter_map(inode);
    Ok(inodes.map(|inode| format!("socket:[{inode}]")).collect())
}
