//! One instance of a cluster: its process, which threads of a test kill and pause, and calls to it.

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

/// How long a connection to an instance, and a call for its status, may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);

/// Bytes that a member holds on disk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DiskUsage {
    /// Of all its files.
    pub total_bytes: u64,
    /// Of its snapshots.
    pub snapshot_bytes: u64,
}

/// One instance.
pub struct Instance {
    /// Its member id.
    pub id: u64,
    /// Where PostgreSQL clients connect.
    pub postgres_addr: SocketAddr,
    /// Where REST clients connect.
    pub rest_addr: SocketAddr,
    /// Where operators call.
    pub api_addr: SocketAddr,
    member_folder: PathBuf,
    process: Mutex<ServerProcess>,
    /// Counts the beginnings and ends of disruptions: odd while one lasts.
    disruption_epoch: AtomicU64,
}

impl Instance {
    /// Creates an instance that is not started yet; `folder` holds its configuration and settings.
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

    /// Starts its process.
    pub(super) fn start(&self) -> Result<()> {
        lock(&self.process).start()
    }

    /// A mark of the disruptions so far. A request during which it changed, or that began at an odd
    /// one, met a disruption that was made on purpose.
    #[must_use]
    pub fn disruption_epoch(&self) -> u64 {
        self.disruption_epoch.load(SeqCst)
    }

    fn begin_disruption(&self) {
        // Even epochs become odd; a disruption within another one adds nothing.
        self.disruption_epoch.fetch_or(1, SeqCst);
    }

    fn end_disruption(&self) {
        let next = |epoch: u64| (epoch % 2 == 1).then_some(epoch + 1);
        let _ = self.disruption_epoch.fetch_update(SeqCst, SeqCst, next);
    }

    /// Kills it. If it has ended by itself before, that counts as a crash.
    pub fn kill(&self) {
        self.begin_disruption();
        lock(&self.process).kill();
    }

    /// Starts it again, with the files that it had.
    ///
    /// # Errors
    ///
    /// It can't be started.
    pub fn restart(&self) -> Result<()> {
        self.start()?;
        self.end_disruption();
        Ok(())
    }

    /// Stops its process until [`Instance::resume`].
    pub fn pause(&self) {
        self.begin_disruption();
        lock(&self.process).signal(Signal::STOP);
    }

    /// Lets a paused process go on.
    pub fn resume(&self) {
        lock(&self.process).signal(Signal::CONT);
        self.end_disruption();
    }

    /// How often its process had ended by itself before it was killed.
    #[must_use]
    pub fn crash_count(&self) -> u64 {
        lock(&self.process).crash_count()
    }

    /// Its process id, while it was not killed.
    #[must_use]
    pub fn pid(&self) -> Option<u32> {
        lock(&self.process).pid()
    }

    /// Bytes of its member's folder.
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

    /// Its log so far.
    #[must_use]
    pub fn log(&self) -> String {
        lock(&self.process).log()
    }

    /// Opens a REST connection.
    ///
    /// # Errors
    ///
    /// It can't be opened.
    pub fn connect_http(&self, timeout: Duration) -> Result<HttpClient> {
        HttpClient::new(connect(self.rest_addr)?, timeout)
    }

    /// Opens a PostgreSQL session.
    ///
    /// # Errors
    ///
    /// It can't be opened.
    pub fn connect_postgres(&self, timeout: Duration) -> Result<PostgresClient> {
        PostgresClient::new(connect(self.postgres_addr)?, timeout)
    }

    /// Makes one call to its operators' API.
    ///
    /// # Errors
    ///
    /// There is no answer within the time.
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

    /// Its view of the cluster.
    ///
    /// # Errors
    ///
    /// It does not answer.
    pub fn status(&self) -> Result<Value> {
        let reply = self.call("GET", "/v1/cluster", None, b"", STATUS_TIMEOUT)?;
        Ok(reply.json())
    }
}

fn connect(addr: SocketAddr) -> Result<TcpStream> {
    TcpStream::connect_timeout(&addr, CONNECT_TIMEOUT)
}
