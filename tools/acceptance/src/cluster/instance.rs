//! An instance of a cluster: its process, which the threads of a test kill and pause, and the calls
//! that clients and operators make to it.

use std::io::Result;
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering::SeqCst};
use std::sync::Mutex;
use std::time::Duration;

use rustix::process::Signal;
use serde_json::Value;
use violetgate_fake_upstreams::client::{HttpClient, PostgresClient, Reply};
use violetgate_test_harness::{lock, LogTarget, ServerProcess};

use super::files::InstanceAddresses;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);

/// The disk space that a member uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DiskUsage {
    /// The size of all files in bytes.
    pub total_bytes: u64,
    /// The size of the snapshots in bytes.
    pub snapshot_bytes: u64,
}

/// A gateway process that is a member of a cluster.
pub struct Instance {
    /// The member id of the instance.
    pub id: u64,
    /// The address for PostgreSQL clients.
    pub postgres_addr: SocketAddr,
    /// The address for REST clients.
    pub rest_addr: SocketAddr,
    /// The address of the operators' API.
    pub api_addr: SocketAddr,
    member_folder: PathBuf,
    process: Mutex<ServerProcess>,
    /// Counts the starts and ends of disruptions. It is odd during a disruption.
    disruption_epoch: AtomicU64,
}

impl Instance {
    /// Creates an instance without starting its process. `folder` holds its configuration and
    /// settings.
    pub(super) fn new(id: u64, own: &InstanceAddresses, program: &Path, folder: PathBuf) -> Self {
        Instance {
            id,
            postgres_addr: own.postgres,
            rest_addr: own.rest,
            api_addr: own.api,
            member_folder: folder.join("member"),
            process: Mutex::new(ServerProcess::new(program, folder, LogTarget::File)),
            disruption_epoch: AtomicU64::new(0),
        }
    }

    /// Starts the process of the instance.
    pub(super) fn start(&self) -> Result<()> {
        lock(&self.process).start()
    }

    /// Returns the number of starts and ends of disruptions so far. A request met an injected
    /// disruption if the number was odd when the request began or changed during the request.
    #[must_use]
    pub fn disruption_epoch(&self) -> u64 {
        self.disruption_epoch.load(SeqCst)
    }

    fn begin_disruption(&self) {
        // An even epoch becomes odd. A disruption that begins during another one changes nothing.
        self.disruption_epoch.fetch_or(1, SeqCst);
    }

    fn end_disruption(&self) {
        let next = |epoch: u64| (epoch % 2 == 1).then_some(epoch + 1);
        let _ = self.disruption_epoch.fetch_update(SeqCst, SeqCst, next);
    }

    /// Kills the process. If the process has already ended by itself, that counts as a crash.
    pub fn kill(&self) {
        self.begin_disruption();
        lock(&self.process).kill();
    }

    /// Starts the process again with the files that the previous one left.
    ///
    /// # Errors
    ///
    /// The process can't be started.
    pub fn restart(&self) -> Result<()> {
        self.start()?;
        self.end_disruption();
        Ok(())
    }

    /// Stops the process with SIGSTOP until [`Instance::resume`].
    pub fn pause(&self) {
        self.begin_disruption();
        lock(&self.process).signal(Signal::STOP);
    }

    /// Continues a paused process.
    pub fn resume(&self) {
        lock(&self.process).signal(Signal::CONT);
        self.end_disruption();
    }

    /// Returns how often the process had ended by itself before it was killed.
    #[must_use]
    pub fn crash_count(&self) -> u64 {
        lock(&self.process).crash_count()
    }

    /// Returns the process id, or `None` after the process was killed.
    #[must_use]
    pub fn pid(&self) -> Option<u32> {
        lock(&self.process).pid()
    }

    /// Returns the disk space that the files of the member folder use.
    #[must_use]
    pub fn disk_usage(&self) -> DiskUsage {
        let files = std::fs::read_dir(&self.member_folder);
        let mut usage = DiskUsage {
            total_bytes: 0,
            snapshot_bytes: 0,
        };
        for file in files.into_iter().flatten().flatten() {
            let (Ok(name), Ok(metadata)) = (file.file_name().into_string(), file.metadata()) else {
                continue;
            };
            usage.total_bytes += metadata.len();
            if name.starts_with("snapshot") {
                usage.snapshot_bytes += metadata.len();
            }
        }
        usage
    }

    /// Returns the log that the process has written so far.
    #[must_use]
    pub fn log(&self) -> String {
        lock(&self.process).log()
    }

    /// Opens a REST connection.
    ///
    /// # Errors
    ///
    /// The connection can't be opened.
    pub fn connect_http(&self, timeout: Duration) -> Result<HttpClient> {
        HttpClient::new(connect(self.rest_addr)?, timeout)
    }

    /// Opens a PostgreSQL session.
    ///
    /// # Errors
    ///
    /// The session can't be opened.
    pub fn connect_postgres(&self, timeout: Duration) -> Result<PostgresClient> {
        PostgresClient::new(connect(self.postgres_addr)?, timeout)
    }

    /// Makes one call to the operators' API.
    ///
    /// # Errors
    ///
    /// The API does not answer within the timeout.
    pub fn call(
        &self,
        method: &str,
        path: &str,
        request_id: Option<&str>,
        body: &[u8],
        timeout: Duration,
    ) -> Result<Reply> {
        let mut http = HttpClient::new(connect(self.api_addr)?, timeout)?;
        let headers: Vec<_> = request_id.iter().map(|id| ("request-id", *id)).collect();
        http.send(method, path, &headers, body)?;
        http.read()
    }

    /// Returns the instance's view of the cluster.
    ///
    /// # Errors
    ///
    /// The instance does not answer within a second.
    pub fn status(&self) -> Result<Value> {
        let reply = self.call("GET", "/v1/cluster", None, b"", STATUS_TIMEOUT)?;
        Ok(reply.json())
    }
}

fn connect(addr: SocketAddr) -> Result<TcpStream> {
    TcpStream::connect_timeout(&addr, CONNECT_TIMEOUT)
}
