//! One gateway process: its start and end, and what its metrics and log say.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::Result;
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use rustix::process::{kill_process, Pid, Signal};
use violetgate_fake_upstreams::client::{HttpClient, PostgresClient};

/// How long a call to a process may take; a stopped one does not answer.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a request may take.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);
/// How often it is checked whether a process has ended.
const EXIT_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// The file in a process's folder that gets its log.
const LOG_FILE: &str = "log";

/// A gateway process.
pub struct GatewayProcess {
    /// Its name in the fleet.
    pub name: String,
    /// Where PostgreSQL clients connect.
    pub listen: SocketAddr,
    /// The address of its management interface.
    pub management: SocketAddr,
    folder: PathBuf,
    program: PathBuf,
    child: Option<Child>,
    /// How often it had ended by itself before it was killed.
    pub crash_count: u64,
}

/// The state of a member in the metrics of another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ObservedState {
    /// It answers probes.
    Alive,
    /// It is suspected.
    Suspected,
    /// It is declared dead.
    Dead,
    /// It has left the fleet.
    Left,
}

impl ObservedState {
    /// Reads the value of the label `state`.
    fn from_label(label: &str) -> Option<Self> {
        match label {
            "alive" => Some(ObservedState::Alive),
            "suspected" => Some(ObservedState::Suspected),
            "dead" => Some(ObservedState::Dead),
            "left" => Some(ObservedState::Left),
            _ => None,
        }
    }
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

impl GatewayProcess {
    /// Creates a process that is not started yet; `folder` holds its `violetgate.hcl` and
    /// `config.json`.
    #[must_use]
    pub fn new(
        name: &str,
        listen: SocketAddr,
        management: SocketAddr,
        folder: PathBuf,
        program: &Path,
    ) -> Self {
        GatewayProcess {
            name: name.to_owned(),
            listen,
            management,
            folder,
            program: program.to_path_buf(),
            child: None,
            crash_count: 0,
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
        std::fs::read_to_string(self.folder.join(LOG_FILE)).unwrap_or_default()
    }

    /// How many lines of its log so far contain a text.
    #[must_use]
    pub fn count_log_lines(&self, text: &str) -> usize {
        let log = self.log();
        log.lines().filter(|line| line.contains(text)).count()
    }

    /// Starts it, or starts it again.
    ///
    /// # Errors
    ///
    /// Its log can't be opened, or the program can't be started.
    pub fn start(&mut self) -> Result<()> {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(LOG_FILE))?;
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

    /// Kills it. If it has ended by itself before, that counts as a crash.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let is_running = matches!(child.try_wait(), Ok(None));
            self.crash_count += u64::from(!is_running);
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends a signal to it, if it runs.
    pub fn signal(&self, signal: Signal) {
        let pid = self.pid().and_then(|pid| i32::try_from(pid).ok());
        if let Some(pid) = pid.and_then(Pid::from_raw) {
            let _ = kill_process(pid, signal);
        }
    }

    /// Waits until it has ended by itself; `false` if it has not within the time.
    pub fn wait_for_exit(&mut self, within: Duration) -> bool {
        let deadline = Instant::now() + within;
        while Instant::now() < deadline {
            let has_exited = |child: &mut Child| matches!(child.try_wait(), Ok(Some(_)));
            if self.child.as_mut().is_none_or(has_exited) {
                self.child = None;
                return true;
            }
            std::thread::sleep(EXIT_CHECK_INTERVAL);
        }
        false
    }

    /// Its metrics, by name with labels; empty if it does not answer.
    #[must_use]
    pub fn metrics(&self) -> BTreeMap<String, f64> {
        let Ok(text) = self.read_metrics() else {
            return BTreeMap::new();
        };
        let samples = text.lines().filter_map(|line| line.rsplit_once(' '));
        samples
            .filter_map(|(name, value)| Some((name.to_owned(), value.parse().ok()?)))
            .collect()
    }

    fn read_metrics(&self) -> Result<String> {
        let stream = TcpStream::connect_timeout(&self.management, CALL_TIMEOUT)?;
        let reply = HttpClient::new(stream, CALL_TIMEOUT)?.get("/admin/stats")?;
        Ok(String::from_utf8_lossy(&reply.body).into_owned())
    }

    /// The state of another member in its view.
    #[must_use]
    pub fn observed_state(&self, other: &str) -> Option<ObservedState> {
        let prefix = format!("svc_fleet_member_seconds{{member=\"{other}\"");
        let metrics = self.metrics();
        let sample = metrics.keys().find(|name| name.starts_with(&prefix))?;
        let (_, label) = sample.split_once("state=\"")?;
        ObservedState::from_label(label.split('"').next()?)
    }

    /// Whether it reports that its link to another member is cut.
    #[must_use]
    pub fn reports_cut_link(&self, other: &str) -> bool {
        let prefix = format!("svc_fleet_link_cut_seconds{{member=\"{other}\"");
        self.metrics().keys().any(|name| name.starts_with(&prefix))
    }

    /// The number of gateways that it reckons with.
    #[must_use]
    pub fn fleet_size(&self) -> Option<u32> {
        let size = self.metrics().get("svc_fleet_share").copied();
        size.map(|size| size as u32)
    }

    /// Sends one request; returns whether it was answered with rows.
    #[must_use]
    pub fn serves_request(&self, request_id: u64) -> bool {
        let request = || {
            let stream = TcpStream::connect_timeout(&self.listen, CALL_TIMEOUT)?;
            let mut client = PostgresClient::new(stream, REQUEST_TIMEOUT)?;
            client.send(&format!(
                "/* method=lookup,rid={request_id:016x},budget=2500 */ SELECT rows=1 FROM sales_17.orders"
            ))?;
            client.read()
        };
        request().is_ok_and(|rows| rows.is_ok())
    }
}
